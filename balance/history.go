package balance

// This file defines when a box sent requests to an upstream lately. The invariant: a life keeps its
// history as long as anything in it is younger than historyFor, whether it is listed or not.

import (
	"maps"
	"slices"
	"time"
)

// historyFor is how long a request counts: twice the longest span over which an upstream is
// looked at, so that one under way to it for a while counts as well.
const historyFor = 10 * time.Second

// history is when requests were sent to a life of an upstream, the oldest first.
type history struct{ sent []time.Duration }

// note notes a request, and forgets what is old.
func (h *history) note(now time.Duration) {
	h.forget(now)
	h.sent = append(h.sent, now)
}

func (h *history) forget(now time.Duration) {
	old := 0
	for old < len(h.sent) && now-h.sent[old] >= historyFor {
		old++
	}
	h.sent = h.sent[old:]
}

// undo takes back a request that was noted and not sent.
func (h *history) undo(at time.Duration) {
	if i := slices.Index(h.sent, at); i >= 0 {
		h.sent = slices.Delete(h.sent, i, i+1)
	}
}

// within counts the requests of the span before a moment.
func (h *history) within(now, span time.Duration) int {
	n := 0
	for i := len(h.sent) - 1; i >= 0 && now-h.sent[i] < span; i-- {
		n++
	}
	return n
}

// historyOf is the history of a life.
func (f *Fleet) historyOf(key uint32) *history {
	h := f.histories[key]
	if h == nil {
		h = new(history)
		f.histories[key] = h
	}
	return h
}

// forgetHistory forgets that of a life which is listed no more, if it was sent nothing lately. Those that were go once that
// is long ago: to look through all for each upstream that goes would take seconds where a domain does.
func (f *Fleet) forgetHistory(now time.Duration, key uint32) {
	if h := f.histories[key]; h != nil && f.byKey[key] == nil {
		h.forget(now)
		if len(h.sent) == 0 {
			delete(f.histories, key)
		}
	}
	if now-f.forgot >= historyFor {
		f.forgot = now
		f.forgetHistories(now)
	}
}

// forgetHistories forgets those of lives that are not listed and were sent nothing lately.
func (f *Fleet) forgetHistories(now time.Duration) {
	maps.DeleteFunc(f.histories, func(key uint32, h *history) bool {
		h.forget(now)
		return f.byKey[key] == nil && len(h.sent) == 0
	})
}

// Sent is how many requests this box sent to an upstream in the span before a moment.
func (f *Fleet) Sent(now time.Duration, l Incarnation, span time.Duration) int {
	if h := f.histories[l.Key()]; h != nil {
		return h.within(now, span)
	}
	return 0
}
