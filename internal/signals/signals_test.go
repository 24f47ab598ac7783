package signals

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSignalsDuringStartAreQueued guards against a box that ends when it receives SIGHUP, for changed settings, during its start,
// before a handler for the signal is installed.
func TestSignalsDuringStartAreQueued(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		signal  syscall.Signal
		channel <-chan os.Signal
	}{{syscall.SIGHUP, Reloads()}, {syscall.SIGTERM, Ends()}, {syscall.SIGINT, Ends()}} {
		is.NoErr(syscall.Kill(os.Getpid(), c.signal))
		is.Equal(<-c.channel, os.Signal(c.signal))
	}
}

// A SIGTERM behind several SIGHUPs that the daemon had not handled yet was lost.
func TestSignalToEndIsNotLostBehindReloads(t *testing.T) {
	is := is.New(t)
	for range 16 {
		is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
		time.Sleep(time.Millisecond) // the kernel merges signals that are pending at once
	}
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	time.Sleep(100 * time.Millisecond) // until it was delivered
	select {
	case got := <-Ends():
		is.Equal(got, os.Signal(syscall.SIGTERM))
	case <-time.After(time.Minute):
		t.Fatal("SIGTERM was lost")
	}
	is.Equal(<-Reloads(), os.Signal(syscall.SIGHUP))
}
