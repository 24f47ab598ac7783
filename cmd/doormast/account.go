package main

// This file defines the command that tells from logs how requests ended.

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/doormast/doormast/oplog"
	"github.com/doormast/doormast/oplog/picture"
)

// accountSpan is the length of a span unless another is given: short enough to tell a
// burst from what follows.
const accountSpan = 2 * time.Second

func relayAccountCommand() *cobra.Command {
	var span time.Duration
	var plot string
	cmd := &cobra.Command{
		Use:   "account [FILE...]",
		Short: "Tell from the boxes' logs, by class and by span of time, how requests ended and what it had to do with",
		RunE: func(cmd *cobra.Command, args []string) error {
			if span <= 0 {
				return fmt.Errorf("--span is %v, want a time above 0", span)
			}
			lines, err := readLogs(cmd, args)
			if err != nil {
				return err
			}
			account := oplog.Summarize(lines, span)
			if plot != "" {
				if err := writePicture(plot, account); err != nil {
					return err
				}
			}
			return account.Write(cmd.OutOrStdout())
		},
	}
	cmd.Flags().DurationVar(&span, "span", accountSpan, "length of a span of time")
	cmd.Flags().StringVar(&plot, "plot", "", "also draw it into this file, a PNG")
	return cmd
}

// writePicture draws an account into a file.
func writePicture(file string, a *oplog.Account) error {
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
