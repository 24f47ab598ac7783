package main

// This file defines the command that soaks boxes on one machine.

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
		Short: "Run real boxes under random faults and check the promises",
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
				return errors.New("a promise was broken")
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&cfg.Daemon, "daemon", "", "the program doormastd")
	cmd.Flags().Uint64Var(&cfg.Seed, "seed", 1, "the first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "how many seeds, one after the other")
	cmd.Flags().DurationVar(&cfg.Duration, "for", 20*time.Second, "how long each")
	cmd.Flags().IntVar(&cfg.Boxes, "boxes", 4, "boxes")
	cmd.Flags().IntVar(&cfg.Upstreams, "upstreams", 5, "upstreams")
	cmd.Flags().IntVar(&cfg.Callers, "callers", 16, "callers")
	cmd.Flags().IntVar(&cfg.Net, "net", 77, "third number of the loopback addresses")
	cmd.Flags().StringVar(&cfg.Dir, "keep", "", "folder for settings and logs, which are kept")
	_ = cmd.MarkFlagRequired("daemon")
	return cmd
}

// soakOnce runs one seed; settings and logs of one that fails are kept, and all where
// a folder for them is given.
func soakOnce(cmd *cobra.Command, cfg soak.Config) (bool, error) {
	kept := cfg.Dir != ""
	if !kept {
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
	if kept {
		return true, nil
	}
	return true, os.RemoveAll(cfg.Dir)
}
