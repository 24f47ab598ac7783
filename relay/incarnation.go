package relay

// This file defines how the box handles an upstream that has restarted under the same ID, which
// is a new incarnation. The invariants: no request is sent on a connection to an earlier
// incarnation, and no copy in its memory is used; and a run on an earlier incarnation is ended
// only if nothing can answer it any more and the request may run again.

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/mirror"
)

// handleRestart ends the use of an earlier incarnation of an upstream after a newer one was
// listed.
func (r *Relay) handleRestart(before, u balance.Upstream) {
	r.cfg.Log.Event("upstream", "started again", Fields{"upstream": u.ID, "born": u.StartedAt, "before": before.StartedAt, "address": u.Address,
		"address_before": before.Address, "service": u.Service, "age_ms": r.publishedAge().Milliseconds()})
	r.stats.count("upstreams_started_again")
	if !before.Leaving {
		r.noteEnd(before.Incarnation())
	}
	r.conns.endIncarnation(before.Incarnation())
}

// endEarlierRuns ends those runs on earlier incarnations of an upstream whose requests may run
// again; left is the incarnation before if that was leaving, else nil. At the upstream's current
// address nothing answers them any more, unless the incarnation was leaving, though its entry may be
// gone; at another address the earlier incarnation may still finish its runs, unless its host does not
// respond. A refused connection does not say that: the incarnation may have closed its listener first.
func (r *Relay) endEarlierRuns(left *balance.Incarnation, u balance.Upstream) {
	if left != nil {
		r.letFinish(*left)
	}
	for address, list := range r.earlierRuns(u) {
		if address == u.Address {
			closeAll(list)
			continue
		}
		go func() {
			c, err := dial(context.Background(), address)
			switch {
			case err == nil:
				_ = c.Close()
			case !errors.Is(err, syscall.ECONNREFUSED):
				closeAll(list)
			}
		}()
	}
}

// letFinish keeps the runs on an incarnation that was leaving: it may finish them at an address where
// the next one already listens.
func (r *Relay) letFinish(inc balance.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.runConns {
		c.finishing = c.finishing || c.incarnation == inc
	}
}

// earlierRuns returns the connections of runs on earlier incarnations of an upstream whose
// requests may run again, by address. A connection that was opened after the current
// incarnation had started already leads to it, though this box learned of the restart later;
// ending it would break a sound run on a box that receives updates late, for example while the
// store is down.
func (r *Relay) earlierRuns(u balance.Upstream) map[string][]*conn {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make(map[string][]*conn)
	for x, c := range r.runConns {
		isEarlier := u.Incarnation().After(c.incarnation) && c.openedBefore(now, u.StartedAt)
		finishes := c.finishing && c.address == u.Address
		if isEarlier && !finishes && x.route.CanRepeat() {
			runs[c.address] = append(runs[c.address], c)
		}
	}
	return runs
}

// openedBefore reports whether a connection was opened before a moment given in Unix ms by the
// clock of another machine. With clock skew, a connection opened at about that moment may be
// judged wrongly: its run is then ended too early, or only when the kernel finds the connection
// dead.
func (c *conn) openedBefore(now time.Time, start int64) bool {
	return now.Add(-now.Sub(c.opened)).UnixMilli() < start
}

func closeAll(list []*conn) {
	for _, c := range list {
		_ = c.Close()
	}
}

// listedUpstream returns the listed upstream with an ID; false if it is not listed. The caller
// holds the relay's mu.
func (r *Relay) listedUpstream(id string) (balance.Upstream, bool) {
	if u := r.fleet.Get(id); u != nil {
		return *u, true
	}
	return balance.Upstream{}, false
}

// isCurrent reports whether an upstream is still listed in the incarnation that was chosen. The
// caller holds the relay's mu.
func (r *Relay) isCurrent(u balance.Upstream) bool {
	current, isListed := r.listedUpstream(u.ID)
	return isListed && current.Incarnation() == u.Incarnation()
}

// isReplaced reports whether an upstream is now listed in another incarnation.
func (r *Relay) isReplaced(u balance.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.Get(u.ID) != nil && !r.isCurrent(u)
}

// copyHolder returns the upstream whose memory holds a copy.
func (m *move) copyHolder(c RunCopy) balance.Upstream {
	if c.Transferred {
		return m.to
	}
	return m.from
}

// triedCurrent lists the upstreams that the request was sent to in their current incarnations.
// The caller holds the relay's mu.
func (x *exchange) triedCurrent() []string {
	ids := make([]string, 0, len(x.triedInstances))
	for _, inc := range x.triedInstances {
		if u := x.relay.fleet.Get(inc.ID); u == nil || u.Incarnation() == inc {
			ids = append(ids, inc.ID)
		}
	}
	return ids
}

// noteMisdirected records that the upstream at the address of the intended one has identified
// itself as another one.
func (r *Relay) noteMisdirected(intended balance.Incarnation, actual string) {
	r.mu.Lock()
	r.fleet.NoteIdentity(r.now(), intended, actual)
	r.mu.Unlock()
	r.cfg.Log.Event("upstream", "is another", Fields{"upstream": intended.ID, "born": intended.StartedAt, "said": actual})
}

// maxRejected bounds the number of keys in members.rejected.
const maxRejected = 1 << 12

// fieldError is an error that names the invalid field.
type fieldError interface{ BadField() string }

// logRejected logs a published item that cannot be used, once for each key and content.
func (m *members) logRejected(item mirror.Item, err error) {
	hash := xxhash.Sum64(item.Value)
	if before, known := m.rejected[item.Key]; known && before == hash {
		return
	}
	if len(m.rejected) >= maxRejected {
		clear(m.rejected)
	}
	m.rejected[item.Key] = hash
	fields := Fields{"key": item.Key, "revision": item.Revision, "error": err.Error()}
	var invalid fieldError
	if errors.As(err, &invalid) {
		fields["field"] = invalid.BadField()
	}
	m.relay.stats.count("published_not_taken")
	m.relay.cfg.Log.Event("published", "not taken", fields)
}
