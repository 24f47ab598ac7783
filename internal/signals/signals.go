// Package signals receives the signals of a daemon from package initialization on. The invariant: a signal that arrives while other
// packages are initialized or the settings are read is queued instead of ending the process.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// queueSize is the number of signals that may wait while one is handled.
const queueSize = 4

var channel = make(chan os.Signal, queueSize)

func init() { signal.Notify(channel, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP) }

// Channel returns the channel that receives SIGTERM, SIGINT and SIGHUP.
func Channel() <-chan os.Signal { return channel }
