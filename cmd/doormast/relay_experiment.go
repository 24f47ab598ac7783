package main

// This file defines `relay experiment`, which compares policies for assigning prompts to
// upstreams.

import (
	"github.com/spf13/cobra"

	"github.com/doormast/doormast/experiment/placing"
)

func relayExperimentCommand() *cobra.Command {
	var seeds int
	cmd := &cobra.Command{
		Use:   "experiment FILE",
		Short: "Compare policies for assigning prompts to upstreams in simulated time",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := placing.Load(args[0])
			if err != nil {
				return err
			}
			if seeds > 0 {
				s.Seeds = seeds
			}
			return placing.Compare(cmd.OutOrStdout(), s)
		},
	}
	cmd.Flags().IntVar(&seeds, "seeds", 0, "number of seeds; overrides the file's value")
	return cmd
}
