package main

// This file defines the operators' commands for boxes that relay.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/doormast/doormast/oplog"
	"github.com/doormast/doormast/settings"
	"github.com/doormast/doormast/wire"
)

func relayCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "relay", Short: "Operate boxes that relay opaque requests"}
	cmd.AddCommand(relayStatusCommand(), relayTableCommand(), relayExplainCommand(), relayTimelineCommand(), relayAccountCommand(), relayCheckCommand(),
		relayExperimentCommand())
	return cmd
}

// states asks boxes how they see themselves. One that does not answer is named, and
// the others are still asked.
func states(ctx context.Context, errOut io.Writer, boxes []string) ([]*wire.StateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var all []*wire.StateResponse
	var failed []error
	for _, box := range boxes {
		resp, err := wire.NewMirrorsClient(http.DefaultClient, "http://"+box).State(ctx, connect.NewRequest(&wire.StateRequest{}))
		if err != nil {
			fmt.Fprintf(errOut, "box %s: %v\n", box, err)
			failed = append(failed, err)
			continue
		}
		all = append(all, resp.Msg)
	}
	if len(all) == 0 {
		return nil, errors.Join(errors.New("no box answered"), errors.Join(failed...))
	}
	return all, nil
}

func boxesFlag(cmd *cobra.Command, boxes *[]string) {
	cmd.Flags().StringSliceVar(boxes, "box", nil, "IP:port of a box's control side; may be given several times")
	_ = cmd.MarkFlagRequired("box")
}

// micros reads a time of the wire.
func micros(us uint64) time.Duration { return time.Duration(us) * time.Microsecond }

func relayStatusCommand() *cobra.Command {
	var boxes []string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show what boxes believe and what is under way",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			all, err := states(cmd.Context(), cmd.ErrOrStderr(), boxes)
			if err != nil {
				return err
			}
			return showStates(cmd.OutOrStdout(), all)
		},
	}
	boxesFlag(cmd, &boxes)
	return cmd
}

func relayTableCommand() *cobra.Command {
	var boxes []string
	cmd := &cobra.Command{
		Use:   "table",
		Short: "Show the rows of the document in force on a box",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			all, err := states(cmd.Context(), cmd.ErrOrStderr(), boxes)
			if err != nil {
				return err
			}
			return showRoutes(cmd.OutOrStdout(), all[0])
		},
	}
	boxesFlag(cmd, &boxes)
	return cmd
}

// showRoutes prints the rows of the document that a box has in force.
func showRoutes(w io.Writer, s *wire.StateResponse) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(tw, "version %d on %s, known to be the newest %v ago\n", s.Version, s.Box, micros(s.ConfirmedAge).Round(time.Millisecond))
	fmt.Fprintln(tw, "ROUTE\tHOST\tPREFIX\tREPEAT\tRANK\tTARGET\tTIMEOUT\tATTEMPTS\tPUBLIC\tSERVICES")
	for _, r := range s.Routes {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%v\t%v\t%d\t%v\t%s\n", r.Name, r.Host, r.Prefix, r.Repeat, r.Rank,
			micros(r.Target), micros(r.Timeout), r.Attempts, r.Public, r.Services)
	}
	return tw.Flush()
}

// readLogs reads the files given, or the standard input, in the order of the lines'
// times.
func readLogs(cmd *cobra.Command, files []string) ([]oplog.Line, error) {
	if len(files) == 0 {
		lines, _, err := oplog.Read(cmd.InOrStdin())
		return oplog.Merge(lines), err
	}
	var logs [][]oplog.Line
	for _, file := range files {
		lines, err := readLog(file)
		if err != nil {
			return nil, err
		}
		logs = append(logs, lines)
	}
	return oplog.Merge(logs...), nil
}

// readLog reads one file.
func readLog(file string) ([]oplog.Line, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	lines, _, err := oplog.Read(f)
	return lines, err
}

func relayExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST [FILE...]",
		Short: "Tell from the boxes' logs, files or a pipe, what happened to a request and why",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd, args[1:])
			if err != nil {
				return err
			}
			return oplog.Explain(cmd.OutOrStdout(), lines, args[0])
		},
	}
}

func relayTimelineCommand() *cobra.Command {
	var part string
	cmd := &cobra.Command{
		Use:   "timeline [FILE...]",
		Short: "Show the lines of all boxes in one order",
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd, args)
			if err != nil {
				return err
			}
			for _, l := range lines {
				if part == "" || l.Component == part {
					fmt.Fprintln(cmd.OutOrStdout(), l)
				}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&part, "part", "", "only this part, such as document, upstream, group, request")
	return cmd
}

func relayCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Say what is wrong with a relaying box's settings",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := settings.LoadRelay(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: box %s of domain %s: good\n", args[0], s.Box, s.Domain)
			return nil
		},
	}
}
