package main

// This file defines the commands that measure resource use and compute the capacity page.

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
		Short: "Measure the resource use per unit of load and write it to FILE (about two minutes)",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := capacity.Measure(func(step string) { fmt.Fprintf(cmd.ErrOrStderr(), "measuring %s\n", step) })
			if err != nil {
				return err
			}
			if previous, err := capacity.Load(args[0]); err == nil {
				s.Sweeps = previous.Sweeps // sweeps are entered by hand; keep those of the file
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
		Short: "Compute the capacity page from the measurements in FILE",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := capacity.Load(args[0])
			if err != nil {
				return err
			}
			return capacity.WritePage(cmd.OutOrStdout(), s)
		},
	}
	cmd := &cobra.Command{Use: "capacity", Short: "Measure resource use and compute what the target size needs"}
	cmd.AddCommand(measure, page)
	return cmd
}
