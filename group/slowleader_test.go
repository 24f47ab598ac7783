package group

import (
	"testing"
	"time"
)

// The leader of 100 boxes with links of 10 Mbit/s sent more than its link carries: heartbeats waited
// behind loads and prompt parts for about as long as members wait for a leader, and on a played day
// with callers' traffic on the same links leaders changed every few seconds.
func TestLeaderWithSlowLinkSendsHeartbeatsInTime(t *testing.T) {
	const (
		linkRate  = 10e6 / 8
		perSecond = 2 // requests of each box
		upstreams = 64
	)
	maxQueuing := DefaultTiming.LeaderTimeout - DefaultTiming.HeartbeatInterval // longer, and members take the leader for failed
	l := layout{3, 1}
	w := newWorkload(startRegionsWithLinks(t, 1, l, 300, linkRate), l)
	w.perSecond, w.upstreams = perSecond, upstreams
	var longest time.Duration
	for range 80 {
		w.advance(100 * time.Millisecond)
		for _, b := range w.boxes {
			longest = max(longest, b.datagramsUntil-w.now)
		}
	}
	if longest > maxQueuing {
		t.Errorf("datagrams waited for %v, want at most %v", longest, maxQueuing)
	}
}
