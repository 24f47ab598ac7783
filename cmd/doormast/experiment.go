package main

// This file defines the command that compares scheduling policies in simulation.

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/doormast/doormast/experiment"
)

func experimentCommand() *cobra.Command {
	var jsonFile, scenario string
	var policies []string
	var seeds int
	cmd := &cobra.Command{
		Use:   "experiment FILE",
		Short: "Compare scheduling policies with baselines in simulated time",
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
			if scenario != "" {
				s.Only(scenario)
			}
			results := experiment.Run(s, func(r experiment.Result) {
				fmt.Fprintf(cmd.ErrOrStderr(), "done: %s, %s, seed %d, %.1f s\n", r.Scenario, r.Policy, r.Seed, r.Elapsed)
			})
			if jsonFile != "" {
				if err := writeJSONLines(jsonFile, results); err != nil {
					return err
				}
			}
			return experiment.WriteTable(cmd.OutOrStdout(), s, results)
		},
	}
	cmd.Flags().StringVar(&jsonFile, "json", "", "also write each run to this file, as one JSON object per line")
	cmd.Flags().StringVar(&scenario, "scenario", "", "run this scenario only")
	cmd.Flags().StringSliceVar(&policies, "policy", nil, "run these policies only")
	cmd.Flags().IntVar(&seeds, "seeds", 0, "number of seeds; overrides the file's value")
	return cmd
}

// writeJSONLines writes each result as a JSON object on a line of its own.
func writeJSONLines(file string, results []experiment.Result) error {
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
