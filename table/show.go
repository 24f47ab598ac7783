package table

// This file defines the text form of a table for operators, with aligned columns.

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Show writes the table to w as text.
func (t *Table) Show(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	row := func(cells ...any) {
		texts := make([]string, len(cells))
		for i, c := range cells {
			texts[i] = fmt.Sprint(c)
		}
		fmt.Fprintln(tw, strings.Join(texts, "\t"))
	}
	row("REVISION", t.Revision)
	row()
	row("CLASS", "TIER", "FIRST TOKEN", "WHOLE", "WEIGHT", "FLOOR", "RATE/S", "RUNNING", "QUEUE", "TOKENS", "REPEATABLE", "ON LATE", "SET", "SCOPE")
	for _, c := range t.Classes {
		row(c.Name, c.Tier, c.FirstToken.Std(), orDash(c.Whole.Std() > 0, c.Whole.Std()), c.Weight, c.Floor,
			orDash(c.Rate > 0, c.Rate), orDash(c.Concurrency > 0, c.Concurrency), orDash(c.Queue > 0, c.Queue),
			orDash(c.MaxTokens > 0, c.MaxTokens), c.Repeatable, c.OnLate, c.Set, c.Scope)
	}
	row()
	row("CUSTOMER", "KEYS", "DEFAULT CLASS", "CLASSES", "RATE/S", "RUNNING", "SCOPE")
	for _, c := range t.Customers {
		row(c.Name, len(c.KeyHashes), c.DefaultClass, orDash(len(c.Classes) > 0, strings.Join(c.Classes, " ")),
			orDash(c.Rate > 0, c.Rate), orDash(c.Concurrency > 0, c.Concurrency), c.Scope)
	}
	row()
	row("UPSTREAM", "DOMAIN", "ADDRESS", "KIND", "SET", "MODEL", "SLOTS", "CHECKS FENCE")
	for _, u := range t.Upstreams {
		row(u.Name, u.Domain, u.Address, u.Kind, u.Set, orDash(u.Model != "", u.Model), u.Slots, u.ChecksFence)
	}
	return tw.Flush()
}

func orDash(ok bool, v any) any {
	if !ok {
		return "-"
	}
	return v
}
