package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newTwoServiceFleet is newTestFleet(6) with as many upstreams of a service o.
func newTwoServiceFleet() *Fleet {
	f := newTestFleet(6)
	for i := range 6 {
		f.Put(0, Upstream{ID: fmt.Sprint("o", i), Service: "o", Address: fmt.Sprintf("10.0.1.%d:1", i), Domain: fmt.Sprint("d", i%3), Slots: 8})
	}
	return f
}

// answer lets an upstream answer a request.
func answer(f *Fleet, now time.Duration, id string) {
	r := prompt(1)
	r.Service = f.byID[id].Service
	f.Open(now, id, r).Close(now, Answered)
}

// While another service answered, a box learned of each path to a service by a request that was lost.
func TestFailuresOfOneServicePutItsPathsInDoubt(t *testing.T) {
	const now = 10 * time.Second
	tests := []struct {
		name        string
		between     string // upstream that answers between two failures
		wantService bool
		wantOther   bool
	}{
		{"none answers", "", true, true},
		{"another service answers", "o1", true, false},
		{"the service answers", "u5", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newTwoServiceFleet()
			loseUpstreams(f, now, "u1")
			if tt.between != "" {
				answer(f, now, tt.between)
			}
			loseUpstreams(f, now, "u2")
			is.Equal(needsVerification(f, "u0"), tt.wantService)
			is.Equal(needsVerification(f, "o0"), tt.wantOther)
		})
	}
}

func TestPathsSampledAfterOneFailure(t *testing.T) {
	const now = 10 * time.Second
	tests := []struct {
		name  string
		setUp func(f *Fleet)
		want  int
	}{
		{"nothing has answered", func(*Fleet) {}, maxPathSamples},
		{"one has answered before", func(f *Fleet) { answer(f, now-time.Second, "u5") }, maxPathSamples},
		{"one has answered since", func(f *Fleet) { answer(f, now, "u5") }, 0},
		{"one of another service has answered since", func(f *Fleet) { answer(f, now, "o5") }, maxPathSamples},
		{"some were sampled just before", func(f *Fleet) { f.SuspectPath(now, now, Incarnation{ID: "u4"}) }, 0},
		{"three are unreachable", func(f *Fleet) {
			loseUpstreams(f, now-2*cutOffWindow, "u2")
			loseUpstreams(f, now-2*cutOffWindow, "u3", "u4")
			f.services["s"].sampledAt, f.services["s"].pathFailures.count, f.pathFailures.count = longAgo, 0, 0
		}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newTwoServiceFleet()
			tt.setUp(f)
			f.TakeNewlyUnreachable()
			loseUpstreams(f, now, "u1")
			samples := f.TakeNewlyUnreachable()[0].ToSample
			is.Equal(len(samples), tt.want)
			for i, u := range samples {
				is.Equal(u.Service, "s")
				is.True(u.ID != "u1" && !f.IsUnreachable(u.Incarnation()))
				is.True(i == 0 || samples[i-1].Domain != "d1" || u.Domain == "d1") // other domains first
			}
		})
	}
}

// Where no sample answers, all paths to the service are in doubt; one that answers ends that.
func TestSamplesDecideWhetherPathsAreInDoubt(t *testing.T) {
	const sent, now, later = 10 * time.Second, 10200 * time.Millisecond, 10250 * time.Millisecond
	tests := []struct {
		name   string
		result VerificationResult // of one sample
		ended  bool               // it is known when the others have had their time
		want   bool               // u5 is in doubt
	}{
		{"none has answered", VerifiedUnreachable, false, true},
		{"one has answered", VerifiedReachable, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(6)
			samples := f.SuspectPath(now, sent, Incarnation{ID: "u1"})
			is.Equal(len(samples), maxPathSamples)
			for _, u := range samples {
				is.True(f.BeginSample(now, u.Incarnation()))
			}
			if tt.ended {
				f.EndVerification(later, now, samples[0].Incarnation(), tt.result)
			}
			count := f.DoubtUnanswered(later, sent, "s")
			is.Equal(count > 0, tt.want)
			is.Equal(needsVerification(f, "u4"), tt.want) // neither suspected nor a sample
			_, mayTunnel := f.TunnelDelay(later, Incarnation{ID: "u4"})
			is.Equal(mayTunnel, tt.want)
		})
	}
}

// Samples that fail count like failures of requests.
func TestFailedSamplesPutAllPathsInDoubt(t *testing.T) {
	is := is.New(t)
	const now = 10 * time.Second
	f := newTestFleet(12)
	loseUpstreams(f, now, "u1")
	sample := f.TakeNewlyUnreachable()[0].ToSample[0]
	is.True(f.BeginSample(now, sample.Incarnation()))
	f.EndVerification(now+DialWait, now, sample.Incarnation(), VerifiedUnreachable)
	is.True(f.IsUnreachable(sample.Incarnation()))
	is.True(f.TakeNewlyUnreachable()[0].ToVerify > 0)
}

// A loss that a box has suspected itself before is reported to others.
func TestSuspectedLossIsReported(t *testing.T) {
	is := is.New(t)
	const now = 10 * time.Second
	f := newTestFleet(6)
	f.SuspectPath(now, now-DialWait, Incarnation{ID: "u1"})
	f.NoteDial(now+DialWait, now, Incarnation{ID: "u1"}, Unreachable)
	is.Equal(len(f.TakeReachReports(now+DialWait)), 1)
}

// Doubt is switched off with the mechanisms by which a path in doubt is left.
func TestNoPathsAreDoubtedWithoutTunnels(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(6)
	f.cfg.Off = Off{Tunnels: true}
	is.Equal(len(f.SuspectPath(time.Second, 0, Incarnation{ID: "u1"})), 0)
	loseUpstreams(f, time.Second, "u1", "u2")
	is.True(!needsVerification(f, "u3"))
}

// When a third of the upstreams went dark, boxes that looked at the paths of several requests took whole
// domains for cut off: 5,390 upstreams in 4 s, 191 before paths were looked at sooner.
func TestLostPathsCutOffNoDomain(t *testing.T) {
	is := is.New(t)
	const now = 10 * time.Second
	f := newTestFleet(12)
	for _, id := range []string{"u1", "u4", "u7"} { // all of one domain
		f.NoteDial(now, now-DialWait, Incarnation{ID: id}, Unreachable)
	}
	is.Equal(f.CutOffDomains(), nil)
	is.Equal(len(f.Unreachable()), 3)
	is.True(needsVerification(f, "u10")) // the last one there
	is.True(!needsVerification(f, "u3"))
}
