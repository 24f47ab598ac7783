package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/doormast/doormast/experiment"
)

func experimentCommand() *cobra.Command {
	var lines, only string
	var policies []string
	var seeds int
	cmd := &cobra.Command{
		Use:   "experiment FILE",
		Short: "Measure the decisions on a virtual clock, against baselines",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := experiment.Load(args[0])
			if err != nil {
				return err
			}
			if seeds > 0 {
				s.Seeds = seeds
			}
			if len(policies) > 0 {
				s.Policies = policies
			}
			if only != "" {
				s.Only(only)
			}
			results := experiment.Run(s, func(r experiment.Result) {
				fmt.Fprintf(cmd.ErrOrStderr(), "done: %s, %s, seed %d, %.1f s\n", r.Scenario, r.Policy, r.Seed, r.Elapsed)
			})
			if lines != "" {
				if err := writeLines(lines, results); err != nil {
					return err
				}
			}
			return experiment.WriteTable(cmd.OutOrStdout(), s, results)
		},
	}
	cmd.Flags().StringVar(&lines, "json", "", "also write each run as a JSON line to this file")
	cmd.Flags().StringVar(&only, "scenario", "", "run this scenario only")
	cmd.Flags().StringSliceVar(&policies, "policy", nil, "run these policies only")
	cmd.Flags().IntVar(&seeds, "seeds", 0, "number of seeds, instead of the file's")
	return cmd
}

func writeLines(file string, results []experiment.Result) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	e := json.NewEncoder(f)
	for _, r := range results {
		if err := e.Encode(r); err != nil {
			_ = f.Close()
			return err
		}
	}
	return f.Close()
}
