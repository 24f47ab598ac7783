package group

// This file defines the arithmetic and the wire encoding of loads. The invariant: equal loads are
// encoded as equal lists, whatever order they are stored in.

import (
	"cmp"
	"maps"
	"slices"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// Loads holds the loads of upstreams by upstream key and urgency.
type Loads = map[balance.LoadKey]balance.Load

// tokenUnit is the number of tokens per unit on the wire: less than an upstream reads in 2 ms.
const tokenUnit = 64

// addLoads adds o to l.
func addLoads(l, o Loads) {
	for key, load := range o {
		l[key] = l[key].Plus(load)
	}
}

// subtractLoads returns all loads minus those of one box. No result is negative.
func subtractLoads(all, own Loads) Loads {
	l := make(Loads, len(all))
	for key, load := range all {
		if rest := load.Minus(own[key]); rest != (balance.Load{}) {
			l[key] = rest
		}
	}
	return l
}

// roundLoads returns a list as receivers decode it.
func roundLoads(l Loads) Loads {
	out := make(Loads, len(l))
	for key, load := range l {
		if load = roundLoad(load); load != (balance.Load{}) {
			out[key] = load
		}
	}
	return out
}

func roundLoad(l balance.Load) balance.Load {
	l = l.Minus(balance.Load{}) // no field is negative
	l.Unread -= l.Unread % tokenUnit
	l.MemoryTokens -= l.MemoryTokens % tokenUnit
	if l.Unread == 0 && l.Requests == 0 {
		return balance.Load{}
	}
	return l
}

// packColumns encodes loads in a fixed order. A zero load is encoded explicitly.
func packColumns(l Loads) *wire.GroupColumns {
	keys := slices.SortedFunc(maps.Keys(l), func(a, b balance.LoadKey) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Urgency, b.Urgency))
	})
	c := new(wire.GroupColumns)
	for i, key := range keys {
		if key.Urgency < 0 || key.Urgency >= balance.UrgencyLevels {
			continue
		}
		if i == 0 || len(c.Upstream) == 0 || c.Upstream[len(c.Upstream)-1] != key.Upstream {
			c.Upstream, c.Levels = append(c.Upstream, key.Upstream), append(c.Levels, 0)
		}
		c.Levels[len(c.Levels)-1] |= 1 << key.Urgency
		load := roundLoad(l[key])
		c.Unread = append(c.Unread, uint32(load.Unread/tokenUnit))
		c.Open = append(c.Open, uint32(load.Requests))
		c.Tight = append(c.Tight, uint32(load.Tight))
		c.Held = append(c.Held, uint32(load.MemoryTokens/tokenUnit))
	}
	for _, column := range []*[]uint32{&c.Unread, &c.Open, &c.Tight, &c.Held} {
		if !slices.ContainsFunc(*column, func(v uint32) bool { return v > 0 }) {
			*column = nil
		}
	}
	return c
}

// unpackColumns decodes loads. Values missing at the end of a column count as 0.
func unpackColumns(c *wire.GroupColumns) Loads {
	l := make(Loads, len(c.Upstream))
	row := 0
	at := func(column []uint32, row int) int {
		if row < len(column) {
			return int(column[row])
		}
		return 0
	}
	for i, upstream := range c.Upstream[:min(len(c.Upstream), len(c.Levels))] {
		for urgency := range balance.UrgencyLevels {
			if c.Levels[i]&(1<<urgency) == 0 {
				continue
			}
			l[balance.LoadKey{Upstream: upstream, Urgency: urgency}] = balance.Load{Unread: at(c.Unread, row) * tokenUnit,
				Requests: at(c.Open, row), Tight: at(c.Tight, row), MemoryTokens: at(c.Held, row) * tokenUnit}
			row++
		}
	}
	return l
}

// messageLoads returns the loads in a message, in the columnar encoding or the older row
// encoding.
func messageLoads(m *wire.GroupMessage) Loads {
	if m.Columns != nil {
		return unpackColumns(m.Columns)
	}
	return unpackLoads(m.Loads)
}

// unpackLoads decodes the row encoding.
func unpackLoads(list []*wire.GroupLoad) Loads {
	l := make(Loads, len(list))
	for _, w := range list {
		key := balance.LoadKey{Upstream: w.Upstream, Urgency: int(w.Urgency)}
		l[key] = balance.Load{Unread: int(w.Unread) * tokenUnit, Requests: int(w.Open), Tight: int(w.Tight), MemoryTokens: int(w.Held) * tokenUnit}
	}
	return l
}
