package main

// This file defines `relay account`, which summarizes request outcomes from the boxes' logs.

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/doormast/doormast/oplog"
	"github.com/doormast/doormast/oplog/picture"
)

// defaultAccountSpan is the default length of a time span of the summary. It is short
// enough to separate a burst from the traffic that follows.
const defaultAccountSpan = 2 * time.Second

func relayAccountCommand() *cobra.Command {
	var span time.Duration
	var plot string
	cmd := &cobra.Command{
		Use:   "account [FILE...]",
		Short: "Summarize from the boxes' logs how requests ended and why, by class and time span",
		RunE: func(cmd *cobra.Command, args []string) error {
			if span <= 0 {
				return fmt.Errorf("--span is %v, want a positive duration", span)
			}
			lines, err := readLogs(cmd, args)
			if err != nil {
				return err
			}
			account := oplog.Summarize(lines, span)
			if plot != "" {
				if err := writePlot(plot, account); err != nil {
					return err
				}
			}
			return account.Write(cmd.OutOrStdout())
		},
	}
	cmd.Flags().DurationVar(&span, "span", defaultAccountSpan, "length of each time span of the summary")
	cmd.Flags().StringVar(&plot, "plot", "", "also plot the summary into this PNG file")
	return cmd
}

// writePlot plots an account into a PNG file, replacing an existing file.
func writePlot(file string, a *oplog.Account) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := picture.WritePNG(f, a); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
