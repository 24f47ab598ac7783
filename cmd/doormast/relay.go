package main

// This file defines the operator commands for boxes that relay opaque requests.

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

// fetchStates fetches the state of each box. It writes the error of a failed call to
// errOut and continues with the next box. It returns an error only if all calls fail.
func fetchStates(ctx context.Context, errOut io.Writer, boxes []string) ([]*wire.StateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var all []*wire.StateResponse
	var errs []error
	for _, box := range boxes {
		resp, err := wire.NewMirrorsClient(http.DefaultClient, "http://"+box).State(ctx, connect.NewRequest(&wire.StateRequest{}))
		if err != nil {
			fmt.Fprintf(errOut, "box %s: %v\n", box, err)
			errs = append(errs, err)
			continue
		}
		all = append(all, resp.Msg)
	}
	if len(all) == 0 {
		return nil, errors.Join(errors.New("no box answered"), errors.Join(errs...))
	}
	return all, nil
}

// addBoxFlag adds the required flag that selects the boxes to call.
func addBoxFlag(cmd *cobra.Command, boxes *[]string) {
	cmd.Flags().StringSliceVar(boxes, "box", nil, "IP:port of a box's control listener; may be repeated")
	_ = cmd.MarkFlagRequired("box")
}

// micros converts a duration in microseconds, the unit of wire messages.
func micros(us uint64) time.Duration { return time.Duration(us) * time.Microsecond }

func relayStatusCommand() *cobra.Command {
	var boxes []string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the state of boxes, their upstreams and retry budgets, and the traffic between boxes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			all, err := fetchStates(cmd.Context(), cmd.ErrOrStderr(), boxes)
			if err != nil {
				return err
			}
			return showStates(cmd.OutOrStdout(), all)
		},
	}
	addBoxFlag(cmd, &boxes)
	return cmd
}

func relayTableCommand() *cobra.Command {
	var boxes []string
	cmd := &cobra.Command{
		Use:   "table",
		Short: "Show the routes of the configuration document in force on a box",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			all, err := fetchStates(cmd.Context(), cmd.ErrOrStderr(), boxes)
			if err != nil {
				return err
			}
			return showRoutes(cmd.OutOrStdout(), all[0])
		},
	}
	addBoxFlag(cmd, &boxes)
	return cmd
}

// showRoutes prints the version and the routes of the configuration document that is in
// force on a box.
func showRoutes(w io.Writer, s *wire.StateResponse) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(tw, "version %d on %s, last confirmed as the newest %v ago\n", s.Version, s.Box, micros(s.ConfirmedAge).Round(time.Millisecond))
	fmt.Fprintln(tw, "ROUTE\tHOST\tPREFIX\tREPEAT\tRANK\tTARGET\tTIMEOUT\tATTEMPTS\tPUBLIC\tSERVICES")
	for _, r := range s.Routes {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%v\t%v\t%d\t%v\t%s\n", r.Name, r.Host, r.Prefix, r.Repeat, r.Rank,
			micros(r.Target), micros(r.Timeout), r.Attempts, r.Public, r.Services)
	}
	return tw.Flush()
}

// readLogs reads the given log files, or standard input if there are none, and returns
// their lines merged in time order.
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

// readLog reads one log file.
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
		Short: "Explain from the boxes' logs (files or standard input) what happened to a request and why",
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
		Short: "Show the log lines of all boxes, merged in time order",
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
	cmd.Flags().StringVar(&part, "part", "", "show only lines of this part, such as document, upstream, group or request")
	return cmd
}

func relayCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Validate the settings file of a relaying box",
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
