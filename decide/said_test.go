package decide

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// granted offers bids and returns how many slots of each upstream are granted.
func granted(p *Pool, now Time, first uint64, bids int) map[string]int {
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

// An upstream said in an answer that it is leaving, and a report that it had made before, and that came after, took that back.
func TestAnEarlierReportDoesNotTakeBackThatAnUpstreamIsLeaving(t *testing.T) {
	is := is.New(t)
	p := testPool(4, rule("c", 1, false))
	p.ApplyNotice(10*time.Second, "a", AnswerNotice{Leaving: true, Age: 100 * time.Millisecond})
	is.Equal(granted(p, 10*time.Second, 1, 4)["a"], 0)
	p.Report(10500*time.Millisecond, Report{Upstream: "a", Age: time.Second})
	is.Equal(granted(p, 10500*time.Millisecond, 11, 4)["a"], 0)
	p.Report(11*time.Second, Report{Upstream: "a"}) // the same start: the report knows less
	is.Equal(granted(p, 11*time.Second, 21, 8)["a"], 0)
	p.Report(12*time.Second, Report{Upstream: "a", Restarted: true, Age: 3 * time.Second}) // one before
	is.Equal(granted(p, 12*time.Second, 31, 8)["a"], 0)
	p.Report(13*time.Second, Report{Upstream: "a", Restarted: true})
	is.True(granted(p, 13*time.Second, 41, 8)["a"] > 0)
}

// An upstream that counts nothing shows no other start: that it is not leaving is believed after it must have ended.
func TestAnUpstreamThatWasLeavingIsUsedAgain(t *testing.T) {
	is := is.New(t)
	p := testPool(4, rule("c", 1, false))
	p.ApplyNotice(0, "a", AnswerNotice{Leaving: true})
	p.Report(leavesWithin-time.Second, Report{Upstream: "a"})
	is.Equal(granted(p, leavesWithin-time.Second, 1, 8)["a"], 0)
	p.Report(leavesWithin, Report{Upstream: "a"})
	is.True(granted(p, leavesWithin, 11, 8)["a"] > 0)
}

// An upstream that asks for a pause gets nothing until its latest end, and then more by and by; it is nothing else that counts against it.
func TestAnUpstreamThatAsksForAPauseGetsNoSlots(t *testing.T) {
	is := is.New(t)
	p := testPool(8, rule("c", 1, false))
	p.ApplyNotice(0, "a", AnswerNotice{Pause: 3 * time.Second})
	p.ApplyNotice(0, "a", AnswerNotice{Pause: time.Second})
	is.Equal(granted(p, 0, 1, 8)["a"], 0)
	is.Equal(granted(p, 2900*time.Millisecond, 11, 8)["a"], 0)
	just := granted(p, 3100*time.Millisecond, 21, 16)
	is.Equal(just["a"], 1)
	is.Equal(just["b"], 8)
	later := granted(p, 9*time.Second, 41, 16)
	is.Equal(later["a"], 8)
}

// Where all upstreams pause, who is refused is told when the first may be used again.
func TestWhereAllUpstreamsPauseCallersAreToldUntilWhen(t *testing.T) {
	is := is.New(t)
	p := testPool(4, rule("c", 1, true))
	p.ApplyNotice(0, "a", AnswerNotice{Pause: 30 * time.Second})
	p.ApplyNotice(0, "b", AnswerNotice{Pause: 20 * time.Second})
	p.Offer(0, bid(1, "c"))
	p.Decide(0)
	var told time.Duration
	for now := Time(0); told == 0 && now < 10*time.Second; now += 100 * time.Millisecond {
		for _, v := range p.Decide(now) {
			is.Equal(v.Kind, RefuseBid)
			told = now + v.RetryAfter
		}
	}
	is.True(told >= 20*time.Second && told <= 30*time.Second)
}
