// Package signals takes the signals of a daemon from its start on. The invariant: none that comes while the other packages are
// initialized or the settings are read ends the process; it waits.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// most is how many signals may wait while one is dealt with.
const most = 4

var channel = make(chan os.Signal, most)

func init() { signal.Notify(channel, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP) }

// Channel is where SIGTERM, SIGINT and SIGHUP come.
func Channel() <-chan os.Signal { return channel }
