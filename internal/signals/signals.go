// Package signals receives the signals of a daemon from package initialization on. The invariant: a signal to end that
// arrives while other packages are initialized, the settings are read or any number of SIGHUPs wait is queued instead of
// ending the process or being lost.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// maxEnds is the number of signals to end that are told apart: the second one ends a planned stop at once.
const maxEnds = 2

var (
	ends    = make(chan os.Signal, maxEnds)
	reloads = make(chan os.Signal, 1)
)

func init() {
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
}

// Ends returns the channel that receives SIGTERM and SIGINT.
func Ends() <-chan os.Signal { return ends }

// Reloads returns the channel that receives SIGHUP. Those that arrive while one waits count as one.
func Reloads() <-chan os.Signal { return reloads }
