package decide

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// grantsByUpstream offers bids with consecutive IDs from first, releases the granted slots and
// returns the number of grants per upstream.
func grantsByUpstream(p *Pool, now Time, first uint64, bids int) map[string]int {
	for i := range uint64(bids) {
		p.Offer(now, bid(first+i, "c"))
	}
	counts := make(map[string]int)
	for _, v := range p.Decide(now) {
		if v.Kind == GrantSlot {
			counts[v.Upstream]++
			p.Release(now, v.ID, Usage{Outcome: Answered, Tokens: 10})
		}
	}
	return counts
}

// TestReportDoesNotRevokeLeavingNotice guards against a report that was taken before a leaving
// notice and arrives after it: it made the pool use the upstream again.
func TestReportDoesNotRevokeLeavingNotice(t *testing.T) {
	is := is.New(t)
	p := testPool(4, rule("c", 1, false))
	p.ApplyNotice(10*time.Second, "a", AnswerNotice{Leaving: true, Age: 100 * time.Millisecond})
	is.Equal(grantsByUpstream(p, 10*time.Second, 1, 4)["a"], 0)
	p.Report(10500*time.Millisecond, Report{Upstream: "a", Age: time.Second})
	is.Equal(grantsByUpstream(p, 10500*time.Millisecond, 11, 4)["a"], 0)
	p.Report(11*time.Second, Report{Upstream: "a"}) // same incarnation: the notice still applies
	is.Equal(grantsByUpstream(p, 11*time.Second, 21, 8)["a"], 0)
	p.Report(12*time.Second, Report{Upstream: "a", Restarted: true, Age: 3 * time.Second}) // restart reported before the notice
	is.Equal(grantsByUpstream(p, 12*time.Second, 31, 8)["a"], 0)
	p.Report(13*time.Second, Report{Upstream: "a", Restarted: true})
	is.True(grantsByUpstream(p, 13*time.Second, 41, 8)["a"] > 0)
}

// TestLeavingNoticeExpires checks an upstream whose reports do not show restarts: a report that it
// is not leaving counts only from leavingTimeout after the notice on.
func TestLeavingNoticeExpires(t *testing.T) {
	is := is.New(t)
	p := testPool(4, rule("c", 1, false))
	p.ApplyNotice(0, "a", AnswerNotice{Leaving: true})
	p.Report(leavingTimeout-time.Second, Report{Upstream: "a"})
	is.Equal(grantsByUpstream(p, leavingTimeout-time.Second, 1, 8)["a"], 0)
	p.Report(leavingTimeout, Report{Upstream: "a"})
	is.True(grantsByUpstream(p, leavingTimeout, 11, 8)["a"] > 0)
}

// TestPausedUpstreamGetsNoSlots checks that an upstream gets no requests until the latest end of
// the pauses that it asked for, and then ramps up to all of its slots.
func TestPausedUpstreamGetsNoSlots(t *testing.T) {
	is := is.New(t)
	p := testPool(8, rule("c", 1, false))
	p.ApplyNotice(0, "a", AnswerNotice{Pause: 3 * time.Second})
	p.ApplyNotice(0, "a", AnswerNotice{Pause: time.Second})
	is.Equal(grantsByUpstream(p, 0, 1, 8)["a"], 0)
	is.Equal(grantsByUpstream(p, 2900*time.Millisecond, 11, 8)["a"], 0)
	soonAfter := grantsByUpstream(p, 3100*time.Millisecond, 21, 16)
	is.Equal(soonAfter["a"], 1)
	is.Equal(soonAfter["b"], 8)
	later := grantsByUpstream(p, 9*time.Second, 41, 16)
	is.Equal(later["a"], 8)
}

// TestRetryAfterWithAllUpstreamsPaused checks that the retry time of a refusal is not before the
// first upstream may be used again.
func TestRetryAfterWithAllUpstreamsPaused(t *testing.T) {
	is := is.New(t)
	p := testPool(4, rule("c", 1, true))
	p.ApplyNotice(0, "a", AnswerNotice{Pause: 30 * time.Second})
	p.ApplyNotice(0, "b", AnswerNotice{Pause: 20 * time.Second})
	p.Offer(0, bid(1, "c"))
	p.Decide(0)
	var retryAt time.Duration
	for now := Time(0); retryAt == 0 && now < 10*time.Second; now += 100 * time.Millisecond {
		for _, v := range p.Decide(now) {
			is.Equal(v.Kind, RefuseBid)
			retryAt = now + v.RetryAfter
		}
	}
	is.True(retryAt >= 20*time.Second && retryAt <= 30*time.Second)
}
