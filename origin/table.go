package origin

// This file defines Table, the records that a box holds. The invariants: a table holds at most its
// maximum number of records, and no more than its memory allows; and a key for which two origins
// were recorded is ambiguous until both have expired.

import "time"

// Origin is where a stream began.
type Origin struct {
	Service  string
	Software string // version of the software of the service's upstreams
}

// Record tells where a stream began.
type Record struct {
	Key    Key
	Origin Origin
	Life   time.Duration // for how long it is kept
}

// Result is the result of looking up a key.
type Result uint8

// The results.
const (
	NotFound  Result = iota
	Found            // where the stream began is known
	Ambiguous        // streams of different origins have the same key
)

// recordBytes is charged for a record: its entries in the map and in the list by expiry.
const recordBytes = 96

// maxInterned bounds the origins that records share.
const maxInterned = 1 << 10

// TableConfig configures a Table.
type TableConfig struct {
	Max     int                    // records
	Reserve func(bytes int64) bool // takes memory for a record; false: there is none
	Release func(bytes int64)      // returns it
}

// held is a record in a table.
type held struct {
	origin    *Origin
	expires   time.Duration
	ambiguous bool
}

// Table holds records until they expire. It is not safe for concurrent use.
type Table struct {
	cfg      TableConfig
	records  map[Key]held
	byExpiry map[int64][]Key // by second of expiry, or an earlier one
	nextSec  int64           // seconds before it are expired
	interned map[Origin]*Origin
}

// NewTable returns an empty table.
func NewTable(cfg TableConfig) *Table {
	return &Table{cfg: cfg, records: make(map[Key]held), byExpiry: make(map[int64][]Key), interned: make(map[Origin]*Origin)}
}

// Put records where a stream began. It returns false if there is no room.
func (t *Table) Put(now time.Duration, r Record) bool {
	t.Expire(now)
	expires := now + r.Life
	old, known := t.records[r.Key]
	if known {
		old.ambiguous = old.ambiguous || *old.origin != r.Origin
		old.expires = max(old.expires, expires) // the list by expiry is corrected when the earlier time is reached
		t.records[r.Key] = old
		return true
	}
	if len(t.records) >= t.cfg.Max || !t.cfg.Reserve(recordBytes) {
		return false
	}
	t.records[r.Key] = held{origin: t.intern(r.Origin), expires: expires}
	t.schedule(r.Key, expires)
	return true
}

// Get returns where a stream began.
func (t *Table) Get(now time.Duration, key Key) (Origin, Result) {
	r, known := t.records[key]
	switch {
	case !known || r.expires <= now:
		return Origin{}, NotFound
	case r.ambiguous:
		return Origin{}, Ambiguous
	}
	return *r.origin, Found
}

// All returns the records that are kept, with the rest of their time.
func (t *Table) All(now time.Duration) []Record {
	list := make([]Record, 0, len(t.records))
	for key, r := range t.records {
		if r.expires > now && !r.ambiguous {
			list = append(list, Record{key, *r.origin, r.expires - now})
		}
	}
	return list
}

// Len returns the number of records, some of which may have expired.
func (t *Table) Len() int { return len(t.records) }

// Expire removes the records that have expired.
func (t *Table) Expire(now time.Duration) {
	for ; t.nextSec < second(now); t.nextSec++ {
		due := t.byExpiry[t.nextSec]
		delete(t.byExpiry, t.nextSec)
		for _, key := range due {
			if r := t.records[key]; r.expires > now {
				t.schedule(key, r.expires)
				continue
			}
			delete(t.records, key)
			t.cfg.Release(recordBytes)
		}
	}
}

// schedule lists a key for its expiry.
func (t *Table) schedule(key Key, expires time.Duration) {
	at := max(second(expires), t.nextSec)
	t.byExpiry[at] = append(t.byExpiry[at], key)
}

func second(d time.Duration) int64 { return int64(d / time.Second) }

// intern returns an origin that equal ones share.
func (t *Table) intern(o Origin) *Origin {
	if p := t.interned[o]; p != nil {
		return p
	}
	if len(t.interned) >= maxInterned {
		clear(t.interned)
	}
	t.interned[o] = &o
	return &o
}
