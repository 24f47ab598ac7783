package main

// This file defines the daemon of a box that relays on the users' platform.

import (
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/group"
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
	// maxSignals is how many signals may wait while one is dealt with.
	maxSignals = 4
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
	signals := make(chan os.Signal, maxSignals)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryShare * megabyte))
	}
	log := relay.NewLog(s.Box, os.Stdout)
	defer func() { _ = log.Close() }()
	box, err := startRelay(s, log)
	if err != nil {
		return err
	}
	for sig := range signals {
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
	callers, err := net.Listen("tcp", s.Listen.Callers)
	if err != nil {
		return nil, eris.Wrap(err, "listen for callers")
	}
	ready, err := net.Listen("tcp", s.Listen.Ready)
	if err != nil {
		return nil, eris.Wrap(err, "listen for readiness checks")
	}
	control, err := net.Listen("tcp", s.Listen.Control)
	if err != nil {
		return nil, eris.Wrap(err, "listen for other boxes")
	}
	box, err := relay.Start(relay.Config{
		Box:        s.Box,
		Domain:     s.Domain,
		Callers:    callers,
		Ready:      ready,
		Control:    control,
		Self:       self(s),
		Seeds:      s.SeedAddresses(),
		Timing:     group.DefaultTiming,
		Protocol:   platform.Protocol(),
		Publisher:  platform.NewStore(s.Platform),
		Decode:     platform.Decode,
		Log:        log,
		Budget:     balance.BudgetConfig{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow()},
		Tuning:     balance.DefaultTuning,
		FirstStart: s.FirstStart,
		Boxes:      boxesAssumed,
		Grace:      s.Bounds.Grace(),
	})
	if err != nil {
		return nil, err
	}
	go serveMetrics(s.Listen.Metrics, box, log)
	return box, nil
}

// self is the box as the others know it. Its start is told by the time of day,
// since nothing outlives a process here.
func self(s *settings.Relay) *wire.GroupBox {
	return &wire.GroupBox{Name: s.Box, Domain: s.Domain, Address: s.PeerAddress(s.Listen.IP), Pulls: s.Listen.Control,
		Strength: s.Strength(), Boot: uint64(time.Now().UnixNano())}
}

// serveMetrics serves the box's figures until the process ends.
func serveMetrics(address string, box *relay.Relay, log *relay.Log) {
	err := http.ListenAndServe(address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { box.WriteMetrics(w) }))
	log.Event("metrics", "not served", relay.Fields{"error": err.Error()})
}
