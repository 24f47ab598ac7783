package main

// This file defines the command that runs the router in one process with simulated callers,
// upstreams and platform.

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/doormast/doormast/demo"
)

func demoCommand() *cobra.Command {
	cfg := demo.Config{}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run boxes with simulated callers, upstreams and platform in one process",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg.Out = cmd.OutOrStdout()
			return demo.Run(cmd.Context(), cfg)
		},
	}
	cmd.Flags().DurationVar(&cfg.For, "for", 20*time.Second, "how long callers send requests")
	cmd.Flags().StringVar(&cfg.Listen, "listen", "", "IP:port on which the first box accepts callers")
	return cmd
}
