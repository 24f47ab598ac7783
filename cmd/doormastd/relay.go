package main

// This file defines the relay subcommand, which runs an entry box that forwards
// opaque requests and takes its routes from the users' platform.

import (
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/doormast/doormast"
	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/group"
	"github.com/doormast/doormast/internal/signals"
	"github.com/doormast/doormast/platform"
	"github.com/doormast/doormast/relay"
	"github.com/doormast/doormast/settings"
	"github.com/doormast/doormast/wire"
)

func relayCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "relay --settings FILE",
		Short: "Run one entry box that relays opaque requests",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return runRelay(file) },
	}
	cmd.Flags().StringVar(&file, "settings", "", "path of the settings file (JSON with comments)")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

const (
	// goMemoryFraction is the fraction of the box's memory that is set as the Go
	// runtime's soft memory limit; the rest is left for stacks and kernel buffers.
	goMemoryFraction = 0.5
	bytesPerMB       = 1 << 20
	// bytesPerMegabit converts link bandwidths, which use decimal megabits.
	bytesPerMegabit = 1e6 / 8
	// processMemoryMB is reserved for the process itself: code, cluster state and log.
	processMemoryMB = 48
	// bufferFraction is the fraction of the remaining memory that may hold data
	// buffered for callers and upstreams. It is one half because the heap can
	// double before the garbage collector runs.
	bufferFraction = 0.5
	// minBufferMB is the lower bound of the buffer limit on small boxes.
	minBufferMB = 8
	// assumedBoxes is the number of boxes assumed to share limits until the others
	// are discovered. It is derived, with a margin, from the number of boxes that
	// remain in current deployments after the loss of a failure domain.
	assumedBoxes = 10
)

// runRelay runs a box until it receives SIGTERM or SIGINT. SIGHUP validates the
// settings file again.
func runRelay(file string) error {
	s, err := settings.LoadRelay(file)
	if err != nil {
		return err
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB) * goMemoryFraction * bytesPerMB))
	}
	log := relay.NewLog(s.Box, os.Stdout)
	defer func() { _ = log.Close() }()
	box, err := startRelay(s, log)
	if err != nil {
		return err
	}
	go revalidateAtReloads(file, log)
	<-signals.Ends()
	box.Stop()
	return nil
}

// revalidateAtReloads calls revalidate at each SIGHUP. A file that is slow to load does not hold up a stop.
func revalidateAtReloads(file string, log *relay.Log) {
	for range signals.Reloads() {
		revalidate(file, log)
	}
}

// revalidate loads the settings file and logs the result. Settings take effect only
// at startup; the check reports an invalid file before the next restart.
func revalidate(file string, log *relay.Log) {
	if _, err := settings.LoadRelay(file); err != nil {
		log.Event("settings", "not taken", relay.Fields{"error": err.Error()})
		return
	}
	log.Event("settings", "read again", nil)
}

// startRelay opens the listeners, starts the box and serves its metrics.
func startRelay(s *settings.Relay, log *relay.Log) (*relay.Relay, error) {
	cfg := relayConfig(s)
	cfg.Log = log
	if err := listen(s, &cfg); err != nil {
		return nil, err
	}
	box, err := relay.Start(cfg)
	if err != nil {
		return nil, err
	}
	go serveMetrics(s.Listen.Metrics, box, log)
	return box, nil
}

// listen opens the listeners for callers, readiness checks and other boxes and stores
// them in cfg. On error, listeners already open are left to be closed at process exit.
func listen(s *settings.Relay, cfg *relay.Config) error {
	for _, l := range []struct {
		target  *net.Listener
		address string
		purpose string
	}{
		{&cfg.CallerListener, s.Listen.Callers, "listen for callers"},
		{&cfg.ReadinessListener, s.Listen.Ready, "listen for readiness checks"},
		{&cfg.ControlListener, s.Listen.Control, "listen for other boxes"},
		{&cfg.TunnelListener, s.PeerAddress(s.Listen.IP), "listen for connections of other boxes to upstreams"},
	} {
		if l.target == &cfg.TunnelListener && cfg.Disabled[balance.Tunnels] {
			continue
		}
		var err error
		if *l.target, err = net.Listen("tcp", l.address); err != nil {
			return eris.Wrap(err, l.purpose)
		}
	}
	return nil
}

// relayConfig converts settings to a relay configuration without listeners and log.
func relayConfig(s *settings.Relay) relay.Config {
	disabled, _ := balance.ParseOff(s.Off) // LoadRelay has validated s.Off
	return relay.Config{
		Box:           s.Box,
		Version:       version(),
		Domain:        s.Domain,
		Regions:       s.Regions,
		Self:          self(s),
		Seeds:         s.SeedAddresses(),
		LinkBandwidth: s.LinkMbps * bytesPerMegabit,
		Timing:        group.TimingFor(s.Bounds.PublishDeadline()),
		Protocol:      platform.Protocol(),
		Publisher:     platform.NewStore(s.Platform),
		Decode:        platform.Decode,
		Budget:        balance.BudgetConfig{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow()},
		Cold:          relay.ColdBounds{Overshoot: s.Bounds.ColdOvershoot, Slack: s.Bounds.ColdSlack},
		Limits:        s.Bounds.Limits(),
		Tuning:        s.Links.Tuning(),
		Disabled:      disabled,
		MaxTunnels:    s.Tunnels(),
		FirstStart:    s.FirstStart,
		Boxes:         assumedBoxes,
		StopTimeout:   s.Bounds.Grace(),
		Memory:        bufferLimit(s.MemoryMB),
	}
}

// version returns the version of the program, with the revision it was built from if known.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return doormast.Version
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return doormast.Version + " " + s.Value
		}
	}
	return doormast.Version
}

// bufferLimit returns how many bytes a box may buffer for callers and upstreams, or
// 0 (no limit) if the box's memory size is unknown (memoryMB <= 0).
func bufferLimit(memoryMB int) int64 {
	if memoryMB <= 0 {
		return 0
	}
	return bytesPerMB * int64(max(bufferFraction*float64(memoryMB-processMemoryMB), minBufferMB))
}

// self returns the description of this box that is sent to other boxes. Boot is the
// wall-clock start time in nanoseconds, because no counter persists across restarts.
func self(s *settings.Relay) *wire.GroupBox {
	return &wire.GroupBox{Name: s.Box, Domain: s.Domain, Region: s.Regions[s.Domain], Address: s.PeerAddress(s.Listen.IP), Pulls: s.Listen.Control,
		Strength: s.Strength(), Boot: uint64(time.Now().UnixNano())}
}

// serveMetrics serves the box's metrics over HTTP until the process exits, and logs
// an error if the server fails.
func serveMetrics(address string, box *relay.Relay, log *relay.Log) {
	err := http.ListenAndServe(address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { box.WriteMetrics(w) }))
	log.Event("metrics", "not served", relay.Fields{"error": err.Error()})
}
