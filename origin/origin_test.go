package origin

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func newTestTable(limit int, bytes int64) *Table {
	return NewTable(TableConfig{Max: limit,
		Reserve: func(n int64) bool { bytes -= n; return bytes >= 0 },
		Release: func(n int64) { bytes += n }})
}

func TestTable(t *testing.T) {
	v1, v2 := Origin{"s", "v1"}, Origin{"s", "v2"}
	const life = 3 * time.Second
	for _, c := range []struct {
		name string
		puts []Record
		at   time.Duration
		want Result
	}{
		{"no record", nil, 0, NotFound},
		{"held", []Record{{1, v1, life}}, life - 1, Found},
		{"expired", []Record{{1, v1, life}}, life, NotFound},
		{"told twice", []Record{{1, v1, life}, {1, v1, 2 * life}}, 2*life - 1, Found},
		{"told again for a shorter time", []Record{{1, v1, life}, {1, v1, 0}}, life - 1, Found},
		{"two streams with one id", []Record{{1, v1, life}, {1, v2, life}}, 0, Ambiguous},
		{"two services", []Record{{1, v1, life}, {1, Origin{"other", "v1"}, life}}, 0, Ambiguous},
		{"another stream", []Record{{2, v1, life}}, 0, NotFound},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := newTestTable(10, 1<<20)
			for _, r := range c.puts {
				is.True(table.Put(0, r))
			}
			table.Expire(c.at)
			_, got := table.Get(c.at, 1)
			is.Equal(got, c.want)
		})
	}
}

// However many streams there are, a table stays within its bounds, and it is empty once they are over.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := newTestTable(10, 1<<20)
	for i := range Key(20) {
		is.Equal(table.Put(0, Record{i, Origin{}, time.Second}), i < 10)
	}
	table.Expire(2 * time.Second)
	is.Equal(table.Len(), 0)
	is.Equal(len(table.byExpiry), 0)
	is.True(table.Put(2*time.Second, Record{1, Origin{}, time.Second}))
	small := newTestTable(10, recordBytes)
	is.True(small.Put(0, Record{1, Origin{}, time.Second}))
	is.True(!small.Put(0, Record{2, Origin{}, time.Second})) // no memory
}

// A record is found exactly until the latest of its ends, over any sequence of records and times.
func TestTableKeepsRecordsForTheirTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, ends, now := newTestTable(1000, 1<<20), make(map[Key]time.Duration), time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			key := Key(rapid.IntRange(0, 9).Draw(t, "key"))
			life := time.Duration(rapid.IntRange(0, 5000).Draw(t, "life")) * time.Millisecond
			table.Put(now, Record{key, Origin{"s", "v1"}, life})
			ends[key] = max(ends[key], now+life)
			for k, end := range ends {
				if _, got := table.Get(now, k); (got == Found) != (end > now) {
					t.Fatalf("key %d with end %v at %v: %v", k, end, now, got)
				}
			}
		}
	})
}

func TestKeyTellsCustomersApart(t *testing.T) {
	is := is.New(t)
	is.Equal(KeyOf("a", "1"), KeyOf("a", "1"))
	is.True(KeyOf("a", "1") != KeyOf("b", "1"))
	is.True(KeyOf("a", "b1") != KeyOf("ab", "1"))
	long := strings.Repeat("x", 4<<20)
	is.True(KeyOf("a", long+"1") != KeyOf("a", long+"2"))
}

// anywhere allows records in all domains.
func anywhere(string) bool { return true }

// testBoxes returns the boxes of a fleet; the first of each domain leads it.
func testBoxes(domains, perDomain int) []Peer {
	var list []Peer
	for d := range domains {
		for i := range perDomain {
			list = append(list, Peer{Address: fmt.Sprintf("10.%d.0.%d:1", d, i), Domain: fmt.Sprint("d", d), Leads: i == 0})
		}
	}
	return list
}

// knownTo returns the boxes that a box knows: its domain, and the leaders of the others.
func knownTo(self Peer, fleet []Peer) Peers {
	return NewPeers(self.Domain, slices.DeleteFunc(slices.Clone(fleet), func(x Peer) bool {
		return x.Address == self.Address || x.Domain != self.Domain && !x.Leads
	}))
}

// A box of the same domain asks all boxes that the stream's box has told; one of another domain asks those outside the stream's.
func TestEveryHolderIsAsked(t *testing.T) {
	for _, size := range [][2]int{{1, 2}, {1, 9}, {4, 2}, {3, 29}, {6, 40}} {
		is := is.New(t)
		fleet := testBoxes(size[0], size[1])
		for key := range Key(60) {
			from := fleet[int(key)%len(fleet)]
			told := knownTo(from, fleet)
			holders := told.Holders(key, anywhere)
			is.True(len(holders) <= ownHolders+otherHolders)
			for _, self := range fleet {
				if self == from {
					continue
				}
				peers := knownTo(self, fleet)
				asked := peers.Asked(key, anywhere)
				is.True(len(asked) <= ownAsked+otherAsked+1)
				for _, h := range holders {
					knows := self.Domain == from.Domain || domainOf(fleet, h) != from.Domain // of other domains only leaders are known
					is.True(h == self.Address || slices.Contains(asked, h) || !knows)
				}
			}
		}
	}
}

func domainOf(fleet []Peer, address string) string {
	i := slices.IndexFunc(fleet, func(x Peer) bool { return x.Address == address })
	return fleet[i].Domain
}

// A record stays where the request's homes allow it.
func TestRecordStaysInAllowedDomains(t *testing.T) {
	is := is.New(t)
	fleet := testBoxes(4, 3)
	peers := knownTo(fleet[0], fleet)
	for key := range Key(50) {
		for _, h := range append(peers.Holders(key, func(d string) bool { return d == "d2" }), peers.Asked(key, func(d string) bool { return d == "d2" })...) {
			d := domainOf(fleet, h)
			is.True(d == "d0" || d == "d2")
		}
	}
}

// Customers that name streams that never were leave lookups for others.
func TestLookupsAreBounded(t *testing.T) {
	is := is.New(t)
	l := NewLimiter()
	allowed := 0
	for range 10_000 {
		if l.Allow(0, "one") {
			allowed++
		}
	}
	is.Equal(allowed, int(customerShare*maxBurst))
	is.True(l.Allow(0, "another"))
	for i := range 10_000 {
		if l.Allow(0, fmt.Sprint("made up ", i)) {
			allowed++
		}
	}
	is.True(allowed < maxBurst)
	is.True(len(l.byCustomer) <= maxCustomers)
	is.True(!l.Allow(0, "another"))
	is.True(l.Allow(time.Second, "another"))
}
