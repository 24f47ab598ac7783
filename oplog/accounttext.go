package oplog

// This file defines how an account is printed. The invariant: each row's fates add up to
// its requests.

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// columnGap is the space between two columns.
const columnGap = 2

// Write prints the account as two tables: by class, and by span of time and class.
func (a *Account) Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', tabwriter.AlignRight)
	writeHead(tw, "class")
	for _, g := range a.Classes {
		writeRow(tw, g.Class, g)
	}
	fmt.Fprintln(tw)
	writeHead(tw, "from\tclass")
	for _, g := range a.Spans {
		at := g.From.Sub(a.From).Round(time.Millisecond)
		writeRow(tw, fmt.Sprintf("%v\t%s", at, g.Class), g)
	}
	if a.LeftOut > 0 {
		fmt.Fprintf(tw, "\nboxes left out %d lines, so that requests are missing\n", a.LeftOut)
	}
	return tw.Flush()
}

// writeHead names the columns.
func writeHead(w io.Writer, first string) {
	fmt.Fprintf(w, "%s\trequests\t", first)
	for _, name := range FateNames {
		fmt.Fprintf(w, "%s\t", name)
	}
	fmt.Fprintln(w, "came back\tsent again\tnot kept\tfetched\tmoved\ttokens before\tfirst ms\trest ms\t")
}

// writeRow prints one group; tokens before it are the mean of a request, its times those of an
// answer that began.
func writeRow(w io.Writer, name string, g Group) {
	fmt.Fprintf(w, "%s\t%d\t", name, g.Requests)
	for _, n := range g.Fates {
		fmt.Fprintf(w, "%d\t", n)
	}
	begun := time.Duration(max(g.Begun, 1))
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", g.CameBack, g.Again, g.Unkept, g.Fetched, g.Moved, g.Ahead/g.Requests,
		(g.First / begun).Milliseconds(), (g.Rest / begun).Milliseconds())
}
