// Command doormastd is the daemon that runs on each entry box.
//
// It loads the settings file and serves until it receives SIGTERM or SIGINT, or
// until an operator requests a drain. It then stops gracefully; a second signal
// ends the graceful stop immediately.
package main

import (
	"context"
	"fmt"
	"os"

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
	cmd.Flags().StringVar(&file, "settings", "", "path of the settings file (JSON with comments)")
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
	log := newLogger(s.Log)
	box, err := doormast.Start(context.Background(), doormast.Config{Settings: *s, Log: log})
	if err != nil {
		return err
	}
	go logReloads(log)
	endsAtOnce := 1 // signals from here on after which the stop ends at once
	select {
	case <-signals.Ends():
	case <-box.DrainAsked():
		endsAtOnce = 2
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for range endsAtOnce {
			<-signals.Ends()
		}
		cancel()
	}()
	return box.Stop(ctx)
}

// logReloads logs each SIGHUP, which has no other effect.
func logReloads(log *logrus.Logger) {
	for range signals.Reloads() {
		log.Info("SIGHUP ignored: settings are read only at startup")
	}
}

func newLogger(s settings.Log) *logrus.Logger {
	log := logrus.New()
	if level, err := logrus.ParseLevel(s.Level); err == nil {
		log.SetLevel(level)
	}
	if s.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log
}
