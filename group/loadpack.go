package group

// This file defines loads as boxes add them up and as messages hold them. The invariant:
// equal loads make equal lists, whatever order they are kept in.

import (
	"cmp"
	"slices"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/wire"
)

// Loads are those of several upstreams, by their keys and urgency.
type Loads = map[balance.LoadKey]balance.Load

// tokenUnit is how many tokens one unit on the wire stands for: less than what an
// upstream reads in 2 ms.
const tokenUnit = 64

// addLoads adds o to l.
func addLoads(l, o Loads) {
	for key, load := range o {
		l[key] = l[key].Plus(load)
	}
}

// without is the loads less those of one box; none falls below 0.
func without(all, own Loads) Loads {
	l := make(Loads, len(all))
	for key, load := range all {
		if rest := load.Minus(own[key]); rest != (balance.Load{}) {
			l[key] = rest
		}
	}
	return l
}

// packLoads makes the wire's form, in a fixed order.
func packLoads(l Loads) []*wire.GroupLoad {
	out := make([]*wire.GroupLoad, 0, len(l))
	for key, load := range l {
		if load.Unread > 0 || load.Open > 0 {
			out = append(out, packLoad(key, load))
		}
	}
	slices.SortFunc(out, func(a, b *wire.GroupLoad) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Urgency, b.Urgency))
	})
	return out
}

func packLoad(key balance.LoadKey, load balance.Load) *wire.GroupLoad {
	return &wire.GroupLoad{
		Upstream: key.Upstream,
		Urgency:  uint32(key.Urgency),
		Unread:   uint32(max(0, load.Unread) / tokenUnit),
		Open:     uint32(max(0, load.Open)),
		Tight:    uint32(max(0, load.Tight)),
		Held:     uint32(max(0, load.Held) / tokenUnit),
	}
}

// unpackLoads reads the wire's form.
func unpackLoads(list []*wire.GroupLoad) Loads {
	l := make(Loads, len(list))
	for _, w := range list {
		key := balance.LoadKey{Upstream: w.Upstream, Urgency: int(w.Urgency)}
		l[key] = balance.Load{Unread: int(w.Unread) * tokenUnit, Open: int(w.Open), Tight: int(w.Tight), Held: int(w.Held) * tokenUnit}
	}
	return l
}

// sameLoads compares two packed lists.
func sameLoads(a, b []*wire.GroupLoad) bool {
	return slices.EqualFunc(a, b, func(x, y *wire.GroupLoad) bool {
		return x.Upstream == y.Upstream && x.Urgency == y.Urgency && x.Unread == y.Unread && x.Open == y.Open && x.Tight == y.Tight && x.Held == y.Held
	})
}
