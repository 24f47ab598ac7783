package balance

// This file records when a box sent requests to an upstream recently. Invariant: the history of
// an incarnation is kept as long as any of its requests is younger than historyFor, whether the
// incarnation is listed or not.

import (
	"maps"
	"slices"
	"time"
)

// historyFor is how long a request is recorded: twice the longest span over which requests are
// counted, so that a request that takes a while to be sent is included.
const historyFor = 10 * time.Second

// history holds the times of requests sent to an incarnation of an upstream, the oldest first.
type history struct{ sent []time.Duration }

// note records a request and removes expired ones.
func (h *history) note(now time.Duration) {
	h.forget(now)
	h.sent = append(h.sent, now)
}

// forget removes expired requests.
func (h *history) forget(now time.Duration) {
	old := 0
	for old < len(h.sent) && now-h.sent[old] >= historyFor {
		old++
	}
	h.sent = h.sent[old:]
}

// undo removes a request that was recorded and not sent.
func (h *history) undo(at time.Duration) {
	if i := slices.Index(h.sent, at); i >= 0 {
		h.sent = slices.Delete(h.sent, i, i+1)
	}
}

// within returns the number of requests sent in the given span before now.
func (h *history) within(now, span time.Duration) int {
	n := 0
	for i := len(h.sent) - 1; i >= 0 && now-h.sent[i] < span; i-- {
		n++
	}
	return n
}

// historyOf returns the history of an incarnation and creates it if needed.
func (f *Fleet) historyOf(key uint32) *history {
	h := f.histories[key]
	if h == nil {
		h = new(history)
		f.histories[key] = h
	}
	return h
}

// forgetHistory removes the history of an unlisted incarnation if it has no recent requests.
// Other expired histories are removed once every historyFor: scanning all of them for each
// removed upstream would take seconds when a whole domain is removed.
func (f *Fleet) forgetHistory(now time.Duration, key uint32) {
	if h := f.histories[key]; h != nil && f.byKey[key] == nil {
		h.forget(now)
		if len(h.sent) == 0 {
			delete(f.histories, key)
		}
	}
	if now-f.historiesSweptAt >= historyFor {
		f.historiesSweptAt = now
		f.forgetHistories(now)
		f.forgetServices(now)
	}
}

// forgetHistories removes the histories of unlisted incarnations without recent requests.
func (f *Fleet) forgetHistories(now time.Duration) {
	maps.DeleteFunc(f.histories, func(key uint32, h *history) bool {
		h.forget(now)
		return f.byKey[key] == nil && len(h.sent) == 0
	})
}

// Sent returns the number of requests that this box sent to an incarnation in the given span
// before now.
func (f *Fleet) Sent(now time.Duration, l Incarnation, span time.Duration) int {
	if h := f.histories[l.Key()]; h != nil {
		return h.within(now, span)
	}
	return 0
}
