package table

// This file defines the validation of a table. The invariant: the limits and
// floors of a table that passes check can all be met at the same time.

import (
	"encoding/hex"
	"fmt"
	"net/netip"

	"github.com/doormast/doormast/internal/jsonc"
)

const (
	maxTier = 8
	// maxFloorSum limits the sum of the floors of the classes in one set. The
	// rest of the set is shared out in tier order; floors that add up to the
	// whole set would leave the tiers without effect.
	maxFloorSum = 0.5
)

func (t *Table) check(c *jsonc.Checker) {
	c.Want(len(t.Classes) > 0, "classes", "none", "want at least one class")
	slotsBySet := make(map[string]int)
	for _, u := range t.Upstreams {
		slotsBySet[u.Set] += u.Slots
	}
	names := make(map[string]bool)
	for i := range t.Classes {
		t.checkClass(c, i, slotsBySet, names)
	}
	t.checkFloors(c)
	t.checkCustomers(c, names)
	t.checkUpstreams(c)
}

func (t *Table) checkClass(c *jsonc.Checker, i int, slotsBySet map[string]int, names map[string]bool) {
	row, path := t.Classes[i], fmt.Sprintf("classes[%d]", i)
	c.Want(row.Name != "", path+".name", `""`, "want a name")
	c.Want(!names[row.Name], path+".name", row.Name, "want a name that no other class has")
	names[row.Name] = true
	c.Want(row.Tier >= 1 && row.Tier <= maxTier, path+".tier", row.Tier, "want 1 to 8, 1 is sacrificed last")
	c.Want(row.FirstToken > 0, path+".first_token", row.FirstToken.Std(), "want a duration above 0")
	c.Want(row.Whole == 0 || row.Whole >= row.FirstToken, path+".whole", row.Whole.Std(), "want 0 or at least first_token")
	c.Want(row.Weight > 0, path+".weight", row.Weight, "want a number above 0")
	c.Want(row.Floor > 0 && row.Floor <= maxFloorSum, path+".floor", row.Floor,
		"want a share above 0 and up to 0.5, so that the class cannot starve")
	c.Want(row.Rate >= 0, path+".rate", row.Rate, "want 0 or more")
	c.Want(row.Concurrency >= 0, path+".concurrency", row.Concurrency, "want 0 or more")
	c.Want(row.Queue >= 0, path+".queue", row.Queue, "want 0 or more")
	c.Want(row.MaxTokens >= 0, path+".max_tokens", row.MaxTokens, "want 0 or more")
	c.Want(row.OnLate == Wait || row.OnLate == Refuse, path+".on_late", row.OnLate, `want "wait" or "refuse"`)
	c.Want(row.Scope == ScopeDomain || row.Scope == ScopeAll, path+".scope", row.Scope, `want "domain" or "all"`)
	slots, ok := slotsBySet[row.Set]
	c.Want(ok, path+".set", row.Set, "want a set that some upstream belongs to")
	c.Want(!ok || row.Concurrency == 0 || float64(row.Concurrency) >= row.Floor*float64(slots)/float64(max(1, t.domainCount(row.Set))),
		path+".concurrency", row.Concurrency, "want at least the class's floor of the set's slots, or the floor cannot be met")
}

// domainCount returns the number of failure domains in which a set has upstreams.
func (t *Table) domainCount(set string) int {
	seen := make(map[string]bool)
	for _, u := range t.Upstreams {
		if u.Set == set {
			seen[u.Domain] = true
		}
	}
	return len(seen)
}

// checkFloors reports the classes whose floors bring the sum of their set above
// maxFloorSum.
func (t *Table) checkFloors(c *jsonc.Checker) {
	sums := make(map[string]float64)
	for i, row := range t.Classes {
		sums[row.Set] += row.Floor
		c.Want(sums[row.Set] <= maxFloorSum+1e-9, fmt.Sprintf("classes[%d].floor", i), row.Floor,
			fmt.Sprintf("floors of set %q add up to %.3g, want at most %.3g together", row.Set, sums[row.Set], maxFloorSum))
	}
}

func (t *Table) checkCustomers(c *jsonc.Checker, classes map[string]bool) {
	names, keys := make(map[string]bool), make(map[string]bool)
	for i, row := range t.Customers {
		path := fmt.Sprintf("customers[%d]", i)
		c.Want(row.Name != "", path+".name", `""`, "want a name")
		c.Want(!names[row.Name], path+".name", row.Name, "want a name that no other customer has")
		names[row.Name] = true
		c.Want(classes[row.DefaultClass], path+".default_class", row.DefaultClass, "want a class of this table")
		c.Want(row.MayUse(row.DefaultClass), path+".default_class", row.DefaultClass, "want one of the customer's own classes")
		c.Want(row.Rate >= 0, path+".rate", row.Rate, "want 0 or more")
		c.Want(row.Concurrency >= 0, path+".concurrency", row.Concurrency, "want 0 or more")
		c.Want(row.Scope == ScopeDomain || row.Scope == ScopeAll, path+".scope", row.Scope, `want "domain" or "all"`)
		for j, name := range row.Classes {
			c.Want(classes[name], fmt.Sprintf("%s.classes[%d]", path, j), name, "want a class of this table")
		}
		for j, hash := range row.KeyHashes {
			at := fmt.Sprintf("%s.key_hashes[%d]", path, j)
			raw, err := hex.DecodeString(hash)
			c.Want(err == nil && len(raw) == 32, at, hash, "want a SHA-256 in hex, as doormast table key prints it")
			c.Want(!keys[hash], at, hash, "want a key that no other customer has")
			keys[hash] = true
		}
	}
}

func (t *Table) checkUpstreams(c *jsonc.Checker) {
	names := make(map[string]bool)
	for i, row := range t.Upstreams {
		path := fmt.Sprintf("upstreams[%d]", i)
		c.Want(row.Name != "", path+".name", `""`, "want a name")
		c.Want(!names[row.Name], path+".name", row.Name, "want a name that no other upstream has")
		names[row.Name] = true
		c.Want(row.Domain != "", path+".domain", `""`, "want a failure domain")
		c.Want(row.Set != "", path+".set", `""`, "want a set")
		c.Want(row.Slots > 0, path+".slots", row.Slots, "want 1 or more")
		c.Want(row.Kind == Engine || row.Kind == Plain, path+".kind", row.Kind, `want "engine" or "plain"`)
		_, err := netip.ParseAddrPort(row.Address)
		c.Want(err == nil, path+".address", row.Address, "want IP:port")
	}
}
