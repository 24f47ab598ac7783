package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lostReport reports that connections to an upstream of newTestFleet time out.
func lostReport(id string, age time.Duration) []ReachReport {
	return []ReachReport{{Life: Incarnation{ID: id}.Key(), Age: age, Box: "other"}}
}

// reachedReport reports that an upstream of newTestFleet is reached again.
func reachedReport(id string, age time.Duration) []ReachReport {
	return []ReachReport{{Life: Incarnation{ID: id}.Key(), Reached: true, Age: age, Box: "other"}}
}

// needsVerification reports whether an upstream has to be verified before its next request.
func needsVerification(f *Fleet, id string) bool {
	begun := f.BeginVerification(Incarnation{ID: id})
	if begun {
		f.byID[id].reports.verifying = false
	}
	return begun
}

func TestLostReportLeadsToVerification(t *testing.T) {
	const now = 10 * time.Second
	tests := []struct {
		name   string
		setUp  func(f *Fleet)
		report []ReachReport
		want   bool
	}{
		{"sound upstream", func(*Fleet) {}, lostReport("u1", time.Second), true},
		{"it has answered since", func(f *Fleet) { f.Open(now, "u1", prompt(1)).Close(now, Answered) }, lostReport("u1", time.Second), false},
		{"it was full since", func(f *Fleet) { f.Open(now, "u1", prompt(1)).Close(now, Full) }, lostReport("u1", time.Second), false},
		{"a stream has begun since", func(f *Fleet) { f.Open(now, "u1", prompt(1)).NoteFirstEvent(now) }, lostReport("u1", time.Second), false},
		{"it has answered before", func(f *Fleet) { f.Open(5*time.Second, "u1", prompt(1)).Close(5*time.Second, Answered) }, lostReport("u1", time.Second), true},
		{"it is unreachable here", func(f *Fleet) { failUnreachable(f, now, "u1") }, lostReport("u1", time.Second), false},
		{"it is leaving", func(f *Fleet) { f.Leave("u1") }, lostReport("u1", time.Second), false},
		{"it is not listed", func(f *Fleet) { f.Remove("u1") }, lostReport("u1", time.Second), false},
		{"an earlier incarnation was meant", func(f *Fleet) { f.Put(now, Upstream{ID: "u1", StartedAt: 5, Service: "s", Domain: "d1", Slots: 8}) }, lostReport("u1", time.Second), false},
		{"the report is old", func(*Fleet) {}, lostReport("u1", maxReachReportAge), false},
		{"it is from the future", func(*Fleet) {}, lostReport("u1", -time.Second), false},
		{"it is reached since", func(*Fleet) {}, append(lostReport("u1", time.Second), reachedReport("u1", time.Millisecond)...), false},
		{"it was reached before", func(*Fleet) {}, append(lostReport("u1", time.Second), reachedReport("u1", 2*time.Second)...), true},
		{"half of the service is unreachable", func(f *Fleet) {
			for _, id := range []string{"u0", "u3", "u6", "u9", "u2", "u5"} {
				failUnreachable(f, now, id)
				f.Open(now, "u4", prompt(1)).Close(now, Answered) // only the report concerns u1
			}
		}, lostReport("u1", time.Second), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(12)
			tt.setUp(f)
			f.MergeReachReports(now, tt.report)
			is.Equal(needsVerification(f, "u1"), tt.want)
		})
	}
}

// A box that is cut off reports all upstreams as lost. No report changes where requests go, and
// at most half of a service has to be verified.
func TestReportsAloneTakeNoUpstreamAway(t *testing.T) {
	is := is.New(t)
	f, untouched := newTestFleet(12), newTestFleet(12)
	for i := range 12 {
		f.MergeReachReports(time.Second, lostReport(fmt.Sprint("u", i), time.Millisecond))
	}
	is.Equal(len(f.Unreachable()), 0)
	is.Equal(f.CutOffDomains(), nil)
	verify := 0
	for i := range 12 {
		if needsVerification(f, fmt.Sprint("u", i)) {
			verify++
		}
	}
	is.Equal(verify, 6)
	for id := range uint64(200) {
		r := prompt(1)
		r.Parts[0].ID = id
		got, ok := f.Place(time.Second, r, nil)
		want, _ := untouched.Place(time.Second, r, nil)
		is.True(ok)
		is.Equal(got.Upstream.ID, want.Upstream.ID)
	}
}

func TestVerificationResult(t *testing.T) {
	const began, now = 10 * time.Second, 11 * time.Second
	u1 := Incarnation{ID: "u1"}
	tests := []struct {
		name        string
		meanwhile   func(f *Fleet)
		result      VerificationResult
		unreachable int
	}{
		{"a connection", func(*Fleet) {}, VerifiedReachable, 0},
		{"none", func(*Fleet) {}, VerifiedUnreachable, 1},
		{"a refusal", func(*Fleet) {}, NotSilent, 0},
		{"a refusal, after a failure of its own", func(f *Fleet) { failUnreachable(f, now, "u1") }, NotSilent, 1},
		{"none, but an answer on an open connection", func(f *Fleet) { f.Open(began, "u1", prompt(1)).Close(now, Answered) }, VerifiedUnreachable, 0},
		{"none, after a failure of its own", func(f *Fleet) { failUnreachable(f, now, "u1") }, VerifiedUnreachable, 1},
		{"none, to an earlier incarnation", func(f *Fleet) { f.Put(now, Upstream{ID: "u1", StartedAt: 5, Service: "s", Domain: "d1", Slots: 8}) }, VerifiedUnreachable, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(12)
			f.MergeReachReports(began, lostReport("u1", time.Second))
			is.True(f.BeginVerification(u1))
			tt.meanwhile(f)
			f.EndVerification(now, began, u1, tt.result)
			is.Equal(len(f.Unreachable()), tt.unreachable)
			is.True(!needsVerification(f, "u1"))
		})
	}
}

// Two upstreams of a domain that another box reports, and that this box cannot connect to either,
// do not make the domain count as cut off: the others of it were not tried.
func TestVerificationsDoNotCutOffDomain(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(12)
	for _, id := range []string{"u1", "u4"} {
		f.MergeReachReports(time.Second, lostReport(id, time.Millisecond))
		is.True(f.BeginVerification(Incarnation{ID: id}))
		f.EndVerification(2*time.Second, time.Second, Incarnation{ID: id}, VerifiedUnreachable)
	}
	is.Equal(len(f.Unreachable()), 2)
	is.Equal(f.CutOffDomains(), nil)
}

// A request that could not verify an upstream in time avoids all others that are reported, instead
// of waiting for each of them, and other requests avoid the one that is being verified.
func TestUnverifiedUpstreamIsAvoided(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(6)
	for _, id := range []string{"u1", "u4"} { // domain d1
		f.MergeReachReports(time.Second, lostReport(id, time.Millisecond))
	}
	is.True(f.BeginVerification(Incarnation{ID: "u1"}))
	for id := range uint64(200) {
		r := prompt(1)
		r.Parts[0].ID = id
		c, ok := f.Place(time.Second, r, nil)
		is.True(ok)
		is.True(c.Upstream.ID != "u1")
		c, ok = f.Place(time.Second, r, []string{"u1"})
		is.True(ok)
		is.True(c.Upstream.Domain != "d1")
	}
	_, ok := f.Place(time.Second, prompt(1), []string{"u0", "u1", "u2", "u3", "u5"})
	is.True(ok) // the last one is used, reported or not
}

func TestReportsOfOwnObservations(t *testing.T) {
	is := is.New(t)
	const now = 10 * time.Second
	key := Incarnation{ID: "u1"}.Key()
	f := newTestFleet(12)
	f.Open(now-DialWait, "u1", prompt(1)).Close(now, Unreachable)
	failUnreachable(f, now, "u1") // known already
	is.Equal(f.TakeReachReports(now), []ReachReport{{Life: key, Age: DialWait}})
	is.Equal(len(f.TakeReachReports(now)), 0)
	f.Open(now+time.Second, "u1", prompt(1)).Close(now+time.Second, Answered)
	is.Equal(f.TakeReachReports(now+time.Second), []ReachReport{{Life: key, Reached: true}})

	f.Open(now, "u4", prompt(1)).Close(now, ConnectionRefused) // a host that refuses costs no request
	is.Equal(len(f.TakeReachReports(now)), 0)

	f.MergeReachReports(now, lostReport("u7", time.Millisecond))
	is.Equal(len(f.TakeReachReports(now)), 1) // forwarded
	f.Open(now, "u7", prompt(1)).Close(now, Unreachable)
	is.Equal(len(f.TakeReachReports(now)), 0) // all boxes have been told
	f.MergeReachReports(now+time.Second, reachedReport("u7", time.Millisecond))
	is.Equal(len(f.TakeReachReports(now+time.Second)), 1) // forwarded
	f.NoteReachable(now+time.Second, Incarnation{ID: "u7"})
	is.Equal(len(f.TakeReachReports(now+time.Second)), 0)
}

// Many boxes report the same at the same time; a leader forwards it once in reachReportInterval.
func TestEqualReportsAreForwardedOnce(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(12)
	forwarded := 0
	for i := range 50 {
		now := time.Second + time.Duration(i)*time.Millisecond
		f.MergeReachReports(now, lostReport("u1", time.Millisecond))
		forwarded += len(f.TakeReachReports(now))
	}
	is.Equal(forwarded, 1)
	f.MergeReachReports(3*time.Second, lostReport("u1", time.Millisecond))
	is.Equal(len(f.TakeReachReports(3*time.Second)), 1)
}

// An unreachable upstream that another box reaches is to be probed at once.
func TestReachedReportLeadsToProbe(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(12)
	is.Equal(len(f.MergeReachReports(time.Second, reachedReport("u1", 0))), 0)
	failUnreachable(f, time.Second, "u1")
	changes := f.MergeReachReports(2*time.Second, reachedReport("u1", 0))
	is.Equal(len(changes), 1)
	is.Equal(changes[0].ID, "u1")
	is.Equal(len(f.Unreachable()), 1) // until this box reaches it as well
}

func TestReachReportsSwitchedOff(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(12)
	f.cfg.Off = Off{ReachReports: true}
	failUnreachable(f, time.Second, "u4")
	f.MergeReachReports(time.Second, lostReport("u1", time.Millisecond))
	is.True(!needsVerification(f, "u1"))
	is.Equal(len(f.TakeReachReports(time.Second)), 0)
}
