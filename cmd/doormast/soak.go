package main

// This file defines the command that runs a soak test with boxes on one machine.

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/doormast/doormast/soak"
)

func soakCommand() *cobra.Command {
	var cfg soak.Config
	var seeds int
	cmd := &cobra.Command{
		Use:   "soak --daemon FILE",
		Short: "Run real boxes under random faults and check the router's guarantees",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			failed := 0
			for range seeds {
				ok, err := soakOnce(cmd, cfg)
				if err != nil {
					return err
				}
				if !ok {
					failed++
				}
				cfg.Seed++
			}
			if failed > 0 {
				return errors.New("a guarantee was violated")
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&cfg.Daemon, "daemon", "", "path of the doormastd executable")
	cmd.Flags().Uint64Var(&cfg.Seed, "seed", 1, "the first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "number of seeds, run one after another")
	cmd.Flags().DurationVar(&cfg.Duration, "for", 20*time.Second, "duration of the run of each seed")
	cmd.Flags().IntVar(&cfg.Boxes, "boxes", 4, "number of boxes")
	cmd.Flags().IntVar(&cfg.Upstreams, "upstreams", 5, "number of upstreams")
	cmd.Flags().IntVar(&cfg.Callers, "callers", 16, "number of concurrent callers")
	cmd.Flags().DurationVar(&cfg.RetryWindow, "retry-window", 10*time.Second, "window of the retry budget; a third of --for should exceed it")
	cmd.Flags().BoolVar(&cfg.OnlyFailures, "only-failures", false, "no faults other than failing upstreams that requests are slow to reach")
	cmd.Flags().BoolVar(&cfg.OnlyKills, "only-kills", false, "no faults other than boxes that are killed, up to half at once, and streams that break")
	cmd.Flags().BoolVar(&cfg.OnlyEnds, "only-ends", false, "no faults other than upstreams that end, and boxes that are killed or stopped")
	cmd.Flags().BoolVar(&cfg.OnlyStops, "only-stops", false, "no faults other than planned stops of boxes, up to half at once, with reloads and changes beside them")
	cmd.Flags().BoolVar(&cfg.OnlyFatal, "only-fatal", false, "no faults other than requests under which upstreams crash")
	cmd.Flags().DurationVar(&cfg.CallerPause, "caller-pause", 10*time.Millisecond, "pause of a caller between two requests")
	cmd.Flags().IntVar(&cfg.Net, "net", 77, "third octet of the loopback addresses; give concurrent runs different values")
	cmd.Flags().StringVar(&cfg.Dir, "keep", "", "directory in which settings and logs are kept")
	_ = cmd.MarkFlagRequired("daemon")
	return cmd
}

// soakOnce runs one seed and reports whether all guarantees held. Settings and logs are
// kept if the seed fails or if a directory is given for them.
func soakOnce(cmd *cobra.Command, cfg soak.Config) (bool, error) {
	keep := cfg.Dir != ""
	if !keep {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return false, err
		}
		cfg.Dir = dir
	}
	report, err := soak.Run(cmd.Context(), cfg)
	if err != nil {
		return false, fmt.Errorf("seed %d: %w", cfg.Seed, err)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "seed %d: %s\n", cfg.Seed, report)
	if len(report.Violations) > 0 {
		fmt.Fprintf(cmd.OutOrStdout(), "logs: %s\n", cfg.Dir)
		return false, nil
	}
	if keep {
		return true, nil
	}
	return true, os.RemoveAll(cfg.Dir)
}
