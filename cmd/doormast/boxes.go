package main

// This file defines the operator commands that call running boxes (status, timeline,
// explain, drain) and the command that checks a settings file.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/doormast/doormast"
	"github.com/doormast/doormast/internal/ops"
	"github.com/doormast/doormast/settings"
	"github.com/doormast/doormast/timeline"
	"github.com/doormast/doormast/wire"
)

// boxFlags holds the flags that select the boxes to call and the operator key.
type boxFlags struct {
	boxes   []string
	keyFile string
}

// callTimeout limits each call to one box; the relay commands apply it to all
// their calls together.
const callTimeout = 10 * time.Second

func (f *boxFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringSliceVar(&f.boxes, "box", nil, "IP:port of a box's operator API; may be repeated")
	cmd.Flags().StringVar(&f.keyFile, "key-file", "", "file that contains the operator key (default: environment variable DOORMAST_OPS_KEY)")
	_ = cmd.MarkFlagRequired("box")
}

// key returns the operator key from the key file or, without one, from the environment.
func (f *boxFlags) key() (string, error) {
	if f.keyFile == "" {
		return os.Getenv("DOORMAST_OPS_KEY"), nil
	}
	b, err := os.ReadFile(f.keyFile)
	return strings.TrimSpace(string(b)), err
}

// each runs call once per box. It writes the error of a failed call to errOut and
// continues with the next box. It returns an error only if the key file cannot be read or
// all calls fail.
func (f *boxFlags) each(ctx context.Context, errOut io.Writer, call func(context.Context, *ops.Client) error) error {
	key, err := f.key()
	if err != nil {
		return err
	}
	var errs []error
	for _, address := range f.boxes {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		c := ops.Dial(address, key)
		if err := call(ctx, c); err != nil {
			fmt.Fprintf(errOut, "box %s: %v\n", address, err)
			errs = append(errs, err)
		}
		_ = c.Close()
		cancel()
	}
	if len(errs) == len(f.boxes) {
		return errors.Join(errors.New("no box answered"), errs[0])
	}
	return nil
}

func statusCommand() *cobra.Command {
	var f boxFlags
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show load, target attainment, and waiting, running and refused requests by class",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var all []*wire.StatusResponse
			err := f.each(cmd.Context(), cmd.ErrOrStderr(), func(ctx context.Context, c *ops.Client) error {
				s, err := c.Status(ctx)
				if err == nil {
					all = append(all, s)
				}
				return err
			})
			if err != nil {
				return err
			}
			return showStatus(cmd.OutOrStdout(), all)
		},
	}
	f.add(cmd)
	return cmd
}

// showStatus prints one row per box, then one row per class with the sums over all
// boxes, ordered by tier.
func showStatus(w io.Writer, all []*wire.StatusResponse) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "BOX\tDOMAIN\tTABLE\tLIST\tLEAVING\tSEES\tOWNS")
	classes := make(map[string]*wire.ClassStatus)
	var names []string
	for _, s := range all {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%v\t%s\t%s\n", s.Box, s.Domain, s.TableRevision, s.RosterRevision, s.Leaving,
			strings.Join(s.Live, " "), strings.Join(s.OwnedSets, " "))
		for _, c := range s.Classes {
			if classes[c.Class] == nil {
				classes[c.Class] = &wire.ClassStatus{Class: c.Class, Tier: c.Tier, Refused: make(map[string]uint64)}
				names = append(names, c.Class)
			}
			addStatus(classes[c.Class], c)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return int(classes[a].Tier) - int(classes[b].Tier) })
	fmt.Fprintln(tw, "\nCLASS\tTIER\tOFFERED\tWAITING\tRUNNING\tANSWERED\tIN TARGET\tWASTED TOKENS\tREFUSED")
	for _, name := range names {
		c := classes[name]
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f %%\t%d\t%s\n", name, c.Tier, c.Offered, c.Waiting, c.Running, c.Answered,
			100*float64(c.InTarget)/float64(max(c.Offered, 1)), c.WastedTokens, refusals(c.Refused))
	}
	return tw.Flush()
}

// addStatus adds the counters of c to sum.
func addStatus(sum, c *wire.ClassStatus) {
	sum.Offered += c.Offered
	sum.Waiting += c.Waiting
	sum.Running += c.Running
	sum.Answered += c.Answered
	sum.InTarget += c.InTarget
	sum.WastedTokens += c.WastedTokens
	for reason, n := range c.Refused {
		sum.Refused[reason] += n
	}
}

// refusals formats the number of refusals by reason, sorted by reason.
func refusals(m map[string]uint64) string {
	var parts []string
	for reason, n := range m {
		parts = append(parts, fmt.Sprintf("%s %d", strings.ReplaceAll(reason, "_", " "), n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// gather fetches the events that match req from all boxes and merges them into one order.
func (f *boxFlags) gather(cmd *cobra.Command, req *wire.TimelineRequest) ([]timeline.Event, error) {
	var lists [][]timeline.Event
	err := f.each(cmd.Context(), cmd.ErrOrStderr(), func(ctx context.Context, c *ops.Client) error {
		resp, err := c.Timeline(ctx, req)
		if err != nil {
			return err
		}
		var list []timeline.Event
		for _, e := range resp.Events {
			list = append(list, doormast.EventFromWire(e))
		}
		lists = append(lists, list)
		return nil
	})
	return timeline.Merge(lists...), err
}

func timelineCommand() *cobra.Command {
	var f boxFlags
	var format, request, class, name string
	cmd := &cobra.Command{
		Use:   "timeline",
		Short: "Show the events of all boxes, merged into one order",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			events, err := f.gather(cmd, &wire.TimelineRequest{Request: request, Class: class})
			if err != nil {
				return err
			}
			events = timeline.Filter(events, 0, "", name)
			switch format {
			case "text":
				return timeline.WriteText(cmd.OutOrStdout(), events)
			case "json":
				return timeline.WriteJSON(cmd.OutOrStdout(), events)
			case "trace":
				return timeline.WriteTrace(cmd.OutOrStdout(), events)
			}
			return fmt.Errorf("--format: got %q, want text, json or trace", format)
		},
	}
	f.add(cmd)
	cmd.Flags().StringVar(&format, "format", "text", "output format: text, json (one object per line) or trace (Chrome trace format)")
	cmd.Flags().StringVar(&request, "request", "", "show only events of this request")
	cmd.Flags().StringVar(&class, "class", "", "show only events of this class")
	cmd.Flags().StringVar(&name, "name", "", "show only events of the box with this name")
	return cmd
}

func explainCommand() *cobra.Command {
	var f boxFlags
	cmd := &cobra.Command{
		Use:   "explain REQUEST",
		Short: "Explain in sentences what happened to a request and why",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			id, err := strconv.ParseUint(args[0], 16, 64)
			if err != nil {
				return fmt.Errorf("request: got %q, want the 16 hex digits of the X-Request-Id header", args[0])
			}
			events, err := f.gather(cmd, &wire.TimelineRequest{Request: args[0]})
			if err != nil {
				return err
			}
			return timeline.Explain(cmd.OutOrStdout(), events, id)
		},
	}
	f.add(cmd)
	return cmd
}

func drainCommand() *cobra.Command {
	var f boxFlags
	cmd := &cobra.Command{
		Use:   "drain",
		Short: "Start a graceful stop of the given boxes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return f.each(cmd.Context(), cmd.ErrOrStderr(), func(ctx context.Context, c *ops.Client) error {
				r, err := c.Drain(ctx)
				if err == nil {
					fmt.Fprintf(cmd.OutOrStdout(), "draining, %d requests in progress\n", r.InProgress)
				}
				return err
			})
		},
	}
	f.add(cmd)
	return cmd
}

func settingsCommand() *cobra.Command {
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Validate a daemon's settings file",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := settings.Load(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: box %s of domain %s: good\n", args[0], s.Box, s.Domain)
			return nil
		},
	}
	cmd := &cobra.Command{Use: "settings", Short: "Validate a daemon's settings"}
	cmd.AddCommand(check)
	return cmd
}
