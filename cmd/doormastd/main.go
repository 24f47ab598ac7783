// Command doormastd is the daemon of one entry box.
//
// It reads its settings, starts a box and waits: SIGTERM or SIGINT begins a
// planned stop, a second one ends it at once.
package main

import (
	"context"
	"fmt"
	"os"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/doormast/doormast"
	"github.com/doormast/doormast/internal/signals"
	"github.com/doormast/doormast/settings"
)

func main() {
	var file string
	cmd := &cobra.Command{
		Use:           "doormastd --settings FILE",
		Short:         "Run one entry box of the doormast router",
		Version:       doormast.Version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(file) },
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file, JSON with comments")
	_ = cmd.MarkFlagRequired("settings")
	cmd.AddCommand(relayCommand())
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	log := newLog(s.Log)
	box, err := doormast.Start(context.Background(), doormast.Config{Settings: *s, Log: log})
	if err != nil {
		return err
	}
	stops := stopSignals(log)
	select {
	case <-stops:
	case <-box.DrainAsked():
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-stops
		cancel()
	}()
	return box.Stop(ctx)
}

// stopSignals gets an entry for each signal that asks for the daemon's end.
func stopSignals(log *logrus.Logger) <-chan struct{} {
	stops := make(chan struct{})
	go func() {
		for s := range signals.Channel() {
			if s == syscall.SIGHUP {
				log.Info("settings: They are read at the start only.")
				continue
			}
			stops <- struct{}{}
		}
	}()
	return stops
}

func newLog(s settings.Log) *logrus.Logger {
	log := logrus.New()
	if level, err := logrus.ParseLevel(s.Level); err == nil {
		log.SetLevel(level)
	}
	if s.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log
}
