package oplog

// This file defines the text form of an Account. The invariant: the outcomes in each row add up
// to its number of requests.

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// columnPadding is the number of spaces between two columns.
const columnPadding = 2

// Write prints the account as two tables: by class, and by span of time and class.
func (a *Account) Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', tabwriter.AlignRight)
	writeHeader(tw, "class")
	for _, g := range a.Classes {
		writeRow(tw, g.Class, g)
	}
	fmt.Fprintln(tw)
	writeHeader(tw, "from\tclass")
	for _, g := range a.Spans {
		at := g.Start.Sub(a.Start).Round(time.Millisecond)
		writeRow(tw, fmt.Sprintf("%v\t%s", at, g.Class), g)
	}
	if a.DroppedLines > 0 {
		fmt.Fprintf(tw, "\nboxes left out %d lines, so that requests are missing\n", a.DroppedLines)
	}
	return tw.Flush()
}

// writeHeader prints the column names.
func writeHeader(w io.Writer, first string) {
	fmt.Fprintf(w, "%s\trequests\t", first)
	for _, name := range OutcomeNames {
		fmt.Fprintf(w, "%s\t", name)
	}
	fmt.Fprintln(w, "came back\tsent again\tnot kept\tfetched\tmoved\ttokens before\tfirst ms\trest ms\t")
}

// writeRow prints one group. The tokens are the mean over all its requests, the times the means
// over the requests whose answer began.
func writeRow(w io.Writer, name string, g Group) {
	fmt.Fprintf(w, "%s\t%d\t", name, g.Requests)
	for _, n := range g.Outcomes {
		fmt.Fprintf(w, "%d\t", n)
	}
	started := time.Duration(max(g.Started, 1))
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", g.RetriedAfterRefusal, g.MultipleRuns, g.CacheMisses, g.CacheFetches, g.Migrated, g.TokensAhead/g.Requests,
		(g.TimeToFirst / started).Milliseconds(), (g.TimeAfterFirst / started).Milliseconds())
}
