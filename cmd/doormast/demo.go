package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/doormast/doormast/demo"
)

func demoCommand() *cobra.Command {
	cfg := demo.Config{}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run the main job in one process, with stand-ins for all around it",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg.Out = cmd.OutOrStdout()
			return demo.Run(cmd.Context(), cfg)
		},
	}
	cmd.Flags().DurationVar(&cfg.For, "for", 20*time.Second, "how long callers come")
	cmd.Flags().StringVar(&cfg.Listen, "listen", "", "IP:port where the first box takes callers")
	return cmd
}
