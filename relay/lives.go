package relay

// This file defines what becomes of an earlier life of an upstream that has started again under
// its id. The invariants: no request is sent on a connection to an earlier life, and no copy in
// its memory is used; and a run on it is ended only where nobody can answer any more and the
// request may run again.

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/mirror"
)

// startedAgain ends what is left of a life that another one of the upstream has followed.
func (r *Relay) startedAgain(before, u balance.Upstream) {
	r.cfg.Log.Event("upstream", "started again", Fields{"upstream": u.ID, "born": u.StartedAt, "before": before.StartedAt, "address": u.Address,
		"address_before": before.Address, "service": u.Service, "age_ms": r.age().Milliseconds()})
	r.stats.count("upstreams_started_again")
	if !before.Leaving {
		r.noteEnd(before.Incarnation())
	}
	r.conns.end(before.Incarnation())
}

// endEarlierRuns ends the runs on earlier lives of an upstream that may run again. At its own
// address nobody answers them any more; at another one the earlier life may still serve to the
// end what it has begun, unless nobody listens there.
func (r *Relay) endEarlierRuns(u balance.Upstream) {
	for address, list := range r.earlierRuns(u) {
		if address == u.Address {
			closeAll(list)
			continue
		}
		go func() {
			c, err := dial(context.Background(), address)
			if err != nil {
				closeAll(list)
				return
			}
			_ = c.Close()
		}()
	}
}

// earlierRuns are the connections on which requests that may run again run on lives of an
// upstream before the present one, by address. Those that were opened after it had started lead
// to the present one already: this box only had not heard of it. Without that, a box that heard
// late, as while the store is down, would end what runs well.
func (r *Relay) earlierRuns(u balance.Upstream) map[string][]*conn {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make(map[string][]*conn)
	for x, c := range r.runConns {
		if x.route.Again() && u.Incarnation().After(c.life) && c.openedBefore(now, u.StartedAt) {
			address := c.RemoteAddr().String()
			runs[address] = append(runs[address], c)
		}
	}
	return runs
}

// openedBefore reports whether a connection was opened before a moment, Unix ms by the clock of
// another machine. Where clocks differ, what was opened about that moment is taken wrongly: it
// ends too early, or when the kernel finds that nobody answers.
func (c *conn) openedBefore(now time.Time, moment int64) bool {
	return now.Add(-now.Sub(c.opened)).UnixMilli() < moment
}

func closeAll(list []*conn) {
	for _, c := range list {
		_ = c.Close()
	}
}

// listed is what is known of an upstream; false where it is not listed. The caller holds the
// relay's mu.
func (r *Relay) listed(id string) (balance.Upstream, bool) {
	if u := r.fleet.Get(id); u != nil {
		return *u, true
	}
	return balance.Upstream{}, false
}

// lifeOf is the life that an upstream is listed in.
func (r *Relay) lifeOf(id string) balance.Incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	u, _ := r.listed(id)
	return balance.Incarnation{ID: id, StartedAt: u.StartedAt}
}

// isPresent reports whether an upstream is listed in the life that it was chosen in. The caller
// holds the relay's mu.
func (r *Relay) isPresent(u balance.Upstream) bool {
	present, isListed := r.listed(u.ID)
	return isListed && present.Incarnation() == u.Incarnation()
}

// isOver reports whether another life of an upstream has followed.
func (r *Relay) isOver(u balance.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.Get(u.ID) != nil && !r.isPresent(u)
}

// liesAt is the upstream in whose memory a copy lies.
func (m *move) liesAt(c RunCopy) balance.Upstream {
	if c.Transferred {
		return m.to
	}
	return m.from
}

// triedPresent lists the upstreams that the request was sent to in their present lives. The
// caller holds the relay's mu.
func (x *exchange) triedPresent() []string {
	ids := make([]string, 0, len(x.triedInstances))
	for _, l := range x.triedInstances {
		if u := x.relay.fleet.Get(l.ID); u == nil || u.Incarnation() == l {
			ids = append(ids, l.ID)
		}
	}
	return ids
}

// takeName takes in that an upstream that was meant answered that it is another.
func (r *Relay) takeName(meant balance.Incarnation, said string) {
	r.mu.Lock()
	r.fleet.NoteIdentity(r.now(), meant, said)
	r.mu.Unlock()
	r.cfg.Log.Event("upstream", "is another", Fields{"upstream": meant.ID, "born": meant.StartedAt, "said": said})
}

// maxRefused bounds the entries that are known to have been named in the log.
const maxRefused = 1 << 12

// fieldError is an error that names the field that is wrong.
type fieldError interface{ BadField() string }

// logRefused names something published that cannot be used, once for each key and content.
func (m *members) logRefused(item mirror.Item, err error) {
	hash := xxhash.Sum64(item.Value)
	if before, known := m.refused[item.Key]; known && before == hash {
		return
	}
	if len(m.refused) >= maxRefused {
		clear(m.refused)
	}
	m.refused[item.Key] = hash
	fields := Fields{"key": item.Key, "revision": item.Revision, "error": err.Error()}
	var wrong fieldError
	if errors.As(err, &wrong) {
		fields["field"] = wrong.BadField()
	}
	m.relay.stats.count("published_not_taken")
	m.relay.cfg.Log.Event("published", "not taken", fields)
}
