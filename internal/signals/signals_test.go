package signals

import (
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// A box was told that its settings had changed while it started, and ended: nobody listened for that signal yet.
func TestSignalsOfTheStartAreTaken(t *testing.T) {
	is := is.New(t)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
		is.NoErr(syscall.Kill(os.Getpid(), s))
		is.Equal(<-Channel(), os.Signal(s))
	}
}
