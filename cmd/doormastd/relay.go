package main

// This file defines the daemon of a box that relays on the users' platform.

import (
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

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
	cmd.Flags().StringVar(&file, "settings", "", "settings file, JSON with comments")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

const (
	// memoryShare is the share of the box's memory up to which the collector may
	// let the heap grow; the rest is for stacks and the kernel's buffers.
	memoryShare = 0.5
	megabyte    = 1 << 20
	// bytesOfMegabit is the bytes of a megabit, as links are counted.
	bytesOfMegabit = 1e6 / 8
	// ownMemoryMB is kept for the process itself: its code, what it believes, its log.
	ownMemoryMB = 48
	// keptShare is the share of the rest that may be kept on behalf of callers and
	// upstreams: the collector lets as much again build up before it runs.
	keptShare = 0.5
	// leastKeptMB is what may be kept however small the box is.
	leastKeptMB = 8
	// boxesAssumed is how many boxes share limits while the others are not known:
	// what a failure domain's loss leaves of today's deployments, with room to spare.
	boxesAssumed = 10
)

// runRelay runs a box until it is told to stop.
func runRelay(file string) error {
	s, err := settings.LoadRelay(file)
	if err != nil {
		return err
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryShare * megabyte))
	}
	log := relay.NewLog(s.Box, os.Stdout)
	defer func() { _ = log.Close() }()
	box, err := startRelay(s, log)
	if err != nil {
		return err
	}
	for sig := range signals.Channel() {
		if sig != syscall.SIGHUP {
			break
		}
		reload(file, log)
	}
	box.Stop()
	return nil
}

// reload reads the settings again. What they hold is only used at the start; a
// reading that fails is worth knowing all the same.
func reload(file string, log *relay.Log) {
	if _, err := settings.LoadRelay(file); err != nil {
		log.Event("settings", "not taken", relay.Fields{"error": err.Error()})
		return
	}
	log.Event("settings", "read again", nil)
}

// startRelay starts a box with its listeners.
func startRelay(s *settings.Relay, log *relay.Log) (*relay.Relay, error) {
	cfg := configOf(s)
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

// listen opens the box's listeners. What is open when one fails ends with the process.
func listen(s *settings.Relay, cfg *relay.Config) error {
	for _, l := range []struct {
		to      *net.Listener
		address string
		purpose string
	}{
		{&cfg.CallerListener, s.Listen.Callers, "listen for callers"},
		{&cfg.ReadinessListener, s.Listen.Ready, "listen for readiness checks"},
		{&cfg.ControlListener, s.Listen.Control, "listen for other boxes"},
	} {
		var err error
		if *l.to, err = net.Listen("tcp", l.address); err != nil {
			return eris.Wrap(err, l.purpose)
		}
	}
	return nil
}

// configOf is what the settings say of a box, without its listeners and its log.
func configOf(s *settings.Relay) relay.Config {
	off, _ := balance.ParseOff(s.Off) // the settings have been checked
	return relay.Config{
		Box:           s.Box,
		Domain:        s.Domain,
		Regions:       s.Regions,
		Self:          self(s),
		Seeds:         s.SeedAddresses(),
		LinkBandwidth: s.LinkMbps * bytesOfMegabit,
		Timing:        group.TimingFor(s.Bounds.PublishDeadline()),
		Protocol:      platform.Protocol(),
		Publisher:     platform.NewStore(s.Platform),
		Decode:        platform.Decode,
		Budget:        balance.BudgetConfig{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow()},
		Cold:          relay.ColdBounds{Overshoot: s.Bounds.ColdOvershoot, Slack: s.Bounds.ColdSlack},
		Limits:        s.Bounds.Limits(),
		Tuning:        s.Links.Tuning(),
		Disabled:      off,
		FirstStart:    s.FirstStart,
		Boxes:         boxesAssumed,
		StopTimeout:   s.Bounds.Grace(),
		Memory:        keptMemory(s.MemoryMB),
	}
}

// keptMemory is how many bytes a box may keep on behalf of callers and upstreams; 0,
// without a bound, where its memory is not known.
func keptMemory(memoryMB int) int64 {
	if memoryMB <= 0 {
		return 0
	}
	return megabyte * int64(max(keptShare*float64(memoryMB-ownMemoryMB), leastKeptMB))
}

// self is the box as the others know it. Its start is told by the time of day,
// since nothing outlives a process here.
func self(s *settings.Relay) *wire.GroupBox {
	return &wire.GroupBox{Name: s.Box, Domain: s.Domain, Region: s.Regions[s.Domain], Address: s.PeerAddress(s.Listen.IP), Pulls: s.Listen.Control,
		Strength: s.Strength(), Boot: uint64(time.Now().UnixNano())}
}

// serveMetrics serves the box's figures until the process ends.
func serveMetrics(address string, box *relay.Relay, log *relay.Log) {
	err := http.ListenAndServe(address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { box.WriteMetrics(w) }))
	log.Event("metrics", "not served", relay.Fields{"error": err.Error()})
}
