package table

// This file defines the difference between two tables: Diff lists it for
// operators by row and column, and Delta encodes it for boxes in fewer bytes
// than the whole document. The invariant: Apply accepts a delta only on the
// revision it was computed from, and the resulting table has the digest of the
// table it was computed to.

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Change is one difference between two tables.
type Change struct {
	Row    string // kind and name of the row, such as "class chat"
	Column string // JSON name of the column; "" where the whole row was added or removed
	From   string // old value in JSON; "" where the row was added
	To     string // new value in JSON; "" where the row was removed
}

func (c Change) String() string {
	switch {
	case c.Column == "" && c.From == "":
		return c.Row + ": added"
	case c.Column == "":
		return c.Row + ": removed"
	}
	return fmt.Sprintf("%s: %s: %s -> %s", c.Row, c.Column, c.From, c.To)
}

// Diff lists the changes from a to b, row by row. It ignores the order of rows.
func Diff(a, b *Table) []Change {
	var out []Change
	out = diffRows(out, "class ", a.Classes, b.Classes, func(r Class) string { return r.Name })
	out = diffRows(out, "customer ", a.Customers, b.Customers, func(r Customer) string { return r.Name })
	out = diffRows(out, "set ", a.Sets, b.Sets, func(r Set) string { return r.Name })
	return diffRows(out, "upstream ", a.Upstreams, b.Upstreams, func(r Upstream) string { return r.Name })
}

func diffRows[R any](out []Change, kind string, a, b []R, name func(R) string) []Change {
	before := make(map[string]R, len(a))
	for _, r := range a {
		before[name(r)] = r
	}
	for _, r := range b {
		old, ok := before[name(r)]
		if !ok {
			out = append(out, Change{Row: kind + name(r), To: "new"})
			continue
		}
		delete(before, name(r))
		out = diffColumns(out, kind+name(r), old, r)
	}
	for _, r := range a {
		if _, removed := before[name(r)]; removed {
			out = append(out, Change{Row: kind + name(r), From: "old"})
		}
	}
	return out
}

func diffColumns(out []Change, row string, a, b any) []Change {
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range va.NumField() {
		x, y := va.Field(i).Interface(), vb.Field(i).Interface()
		if !reflect.DeepEqual(x, y) {
			column, _, _ := strings.Cut(va.Type().Field(i).Tag.Get("json"), ",")
			out = append(out, Change{row, column, encodeValue(x), encodeValue(y)})
		}
	}
	return out
}

// encodeValue returns a column's value in JSON, as in the document.
func encodeValue(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(b)
}

// Delta holds the rows of a table that differ from those of an older revision.
type Delta struct {
	From      uint64             `json:"from"`          // revision that the delta applies to
	To        uint64             `json:"to"`            // revision of the resulting table
	Digest    uint64             `json:"digest,string"` // of the resulting table
	Classes   RowDelta[Class]    `json:"classes"`
	Customers RowDelta[Customer] `json:"customers"`
	Sets      RowDelta[Set]      `json:"sets"`
	Upstreams RowDelta[Upstream] `json:"upstreams"`
}

// RowDelta holds the changes of one list of rows. Changed has the added and
// modified rows. Order has the names of all rows of the result if their order or
// number changes, and is empty otherwise.
type RowDelta[R any] struct {
	Changed []R      `json:"changed,omitempty"`
	Order   []string `json:"order,omitempty"`
}

// MakeDelta returns the delta from a to b.
func MakeDelta(a, b *Table) *Delta {
	return &Delta{
		From: a.Revision, To: b.Revision, Digest: b.Digest(),
		Classes:   rowDelta(a.Classes, b.Classes, func(r Class) string { return r.Name }),
		Customers: rowDelta(a.Customers, b.Customers, func(r Customer) string { return r.Name }),
		Sets:      rowDelta(a.Sets, b.Sets, func(r Set) string { return r.Name }),
		Upstreams: rowDelta(a.Upstreams, b.Upstreams, func(r Upstream) string { return r.Name }),
	}
}

func rowDelta[R any](a, b []R, name func(R) string) RowDelta[R] {
	var d RowDelta[R]
	before := make(map[string]R, len(a))
	for _, r := range a {
		before[name(r)] = r
	}
	sameOrder := len(a) == len(b)
	var order []string
	for i, r := range b {
		order = append(order, name(r))
		sameOrder = sameOrder && name(a[i]) == name(r)
		if old, ok := before[name(r)]; !ok || !reflect.DeepEqual(old, r) {
			d.Changed = append(d.Changed, r)
		}
	}
	if !sameOrder {
		d.Order = order
	}
	return d
}

// Apply returns the table that results from applying d to t, and leaves t
// unchanged. It fails if d was computed from another revision or if the result
// has another digest than d names; the caller then has to fetch the whole
// document.
func (t *Table) Apply(d *Delta) (*Table, error) {
	if t.Revision != d.From || d.To <= d.From {
		return nil, fmt.Errorf("table: delta from revision %d to %d does not apply to revision %d", d.From, d.To, t.Revision)
	}
	n := &Table{
		Revision:  d.To,
		Classes:   applyRows(t.Classes, d.Classes, func(r Class) string { return r.Name }),
		Customers: applyRows(t.Customers, d.Customers, func(r Customer) string { return r.Name }),
		Sets:      applyRows(t.Sets, d.Sets, func(r Set) string { return r.Name }),
		Upstreams: applyRows(t.Upstreams, d.Upstreams, func(r Upstream) string { return r.Name }),
	}
	n.index()
	if n.digest != d.Digest {
		return nil, fmt.Errorf("table: result of the delta to revision %d has the wrong digest", d.To)
	}
	return n, nil
}

func applyRows[R any](rows []R, d RowDelta[R], name func(R) string) []R {
	byName := make(map[string]R, len(rows))
	var order []string
	for _, r := range rows {
		byName[name(r)] = r
		order = append(order, name(r))
	}
	for _, r := range d.Changed {
		byName[name(r)] = r
	}
	if d.Order != nil {
		order = d.Order
	}
	var out []R
	for _, n := range order {
		out = append(out, byName[n])
	}
	return out
}

// Undone lists the changes from base to current that edit, a modified copy of
// base, lacks and would therefore revert if it replaced current.
func Undone(base, current, edit *Table) []Change {
	inEdit := make(map[Change]bool)
	for _, c := range Diff(base, edit) {
		inEdit[c] = true
	}
	var out []Change
	for _, c := range Diff(base, current) {
		if !inEdit[c] {
			out = append(out, c)
		}
	}
	return out
}

// Size returns the length of the JSON encoding of the delta, in bytes.
func (d *Delta) Size() int {
	b, err := json.Marshal(d)
	if err != nil {
		return 0
	}
	return len(b)
}
