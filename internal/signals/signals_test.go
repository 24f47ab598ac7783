package signals

import (
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// TestSignalsDuringStartAreQueued guards against a box that ends when it receives SIGHUP, for changed settings, during its start,
// before a handler for the signal is installed.
func TestSignalsDuringStartAreQueued(t *testing.T) {
	is := is.New(t)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
		is.NoErr(syscall.Kill(os.Getpid(), s))
		is.Equal(<-Channel(), os.Signal(s))
	}
}
