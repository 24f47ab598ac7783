package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/doormast/doormast/capacity"
)

func capacityCommand() *cobra.Command {
	measure := &cobra.Command{
		Use:   "measure FILE",
		Short: "Measure the slopes and write them to FILE, in about two minutes",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := capacity.Measure(func(what string) { fmt.Fprintf(cmd.ErrOrStderr(), "measuring %s\n", what) })
			if err != nil {
				return err
			}
			if before, err := capacity.Load(args[0]); err == nil {
				s.Sweeps = before.Sweeps
			}
			b, err := json.MarshalIndent(s, "", "  ")
			if err != nil {
				return err
			}
			return os.WriteFile(args[0], append(b, '\n'), 0o644)
		},
	}
	page := &cobra.Command{
		Use:   "page FILE",
		Short: "Work out the capacity page from the slopes in FILE",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := capacity.Load(args[0])
			if err != nil {
				return err
			}
			return capacity.WritePage(cmd.OutOrStdout(), s)
		},
	}
	cmd := &cobra.Command{Use: "capacity", Short: "Measure slopes and work out what the target size needs"}
	cmd.AddCommand(measure, page)
	return cmd
}
