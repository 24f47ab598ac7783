package balance

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// loseUpstreams makes upstreams unreachable for this box.
func loseUpstreams(f *Fleet, now time.Duration, ids ...string) {
	for _, id := range ids {
		f.NoteUnreachable(now, Incarnation{ID: id})
	}
}

func TestTunnelDelay(t *testing.T) {
	const now = 10 * time.Second
	u1 := Incarnation{ID: "u1"}
	tests := []struct {
		name  string
		setUp func(f *Fleet)
		delay time.Duration
		ok    bool
	}{
		{"all are reached", func(*Fleet) {}, minTunnelDelay, false},
		{"another one is not reached", func(f *Fleet) { loseUpstreams(f, now, "u2") }, minTunnelDelay, true},
		{"it is not reached", func(f *Fleet) { loseUpstreams(f, now, "u1") }, 0, true},
		{"no other box reached it", func(f *Fleet) { loseUpstreams(f, now, "u1"); f.NoteTunnel(now, u1, false) }, 0, false},
		{"that was a while ago", func(f *Fleet) { loseUpstreams(f, now, "u1"); f.NoteTunnel(now-minTunnelBackoff, u1, false) }, 0, true},
		{"a box has reached it since", func(f *Fleet) {
			loseUpstreams(f, now, "u1")
			f.NoteTunnel(now, u1, false)
			f.MergeReachReports(now, []ReachReport{{Life: u1.Key(), Reached: true, Verified: true, Age: time.Millisecond, Box: "b"}})
		}, 0, true},
		{"it is not listed", func(f *Fleet) { f.Remove("u1") }, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(4)
			tt.setUp(f)
			delay, ok := f.TunnelDelay(now, u1)
			is.Equal(ok, tt.ok)
			if ok {
				is.Equal(delay, tt.delay)
			}
		})
	}
}

// An upstream that no box reaches is asked for ever more seldom: 300 boxes ask for one that is down
// 75 times a second together.
func TestTunnelsToUpstreamThatIsDownAreTriedEverMoreSeldom(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(12)
	var lost []Incarnation
	for i := range 9 {
		lost = append(lost, Incarnation{ID: fmt.Sprint("u", i)})
		loseUpstreams(f, 0, lost[i].ID)
	}
	tried := 0
	for now := time.Second; now < 61*time.Second; now += 10 * time.Millisecond {
		for _, l := range lost {
			if f.TunnelProbeDue(now, l) {
				tried++
				f.NoteTunnel(now, l, false)
			}
		}
	}
	// Not more for nine that are down than for one.
	is.True(tried >= 15 && tried <= maxTunnelFailures+2+int(60*time.Second/maxTunnelBackoff))
}

// Boxes that have lost less than half of a service, as a domain that is cut, asked others for tunnels
// that no request would use.
func TestNoTunnelsAreTriedWhereNoneWouldBeUsed(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(12)
	for i := range 6 {
		loseUpstreams(f, time.Duration(i)*2*cutOffWindow, fmt.Sprint("u", i))
	}
	for i := range 6 {
		is.True(!f.TunnelProbeDue(time.Minute, Incarnation{ID: fmt.Sprint("u", i)}))
	}
	loseUpstreams(f, time.Minute, "u6")
	is.True(f.TunnelProbeDue(time.Minute, Incarnation{ID: "u0"}))
}

// Requests are placed behind tunnels only while a box reaches less than half of a service.
func TestRequestsGoBehindTunnelsOnlyIfTooFewAreReached(t *testing.T) {
	const now = time.Minute
	tests := []struct {
		name      string
		lost      int
		reached   bool // tunnels work
		tunnelled bool // some requests are placed behind them
	}{
		{"half are lost", 6, true, false},
		{"more than half are lost", 7, true, true},
		{"all are lost", 12, true, true},
		{"more than half are lost, and no other box reaches them", 7, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(12)
			for i := range tt.lost {
				id := fmt.Sprint("u", i)
				loseUpstreams(f, time.Duration(i)*2*cutOffWindow, id) // one by one, not as a domain
				f.NoteTunnel(now, Incarnation{ID: id}, tt.reached)
			}
			tunnelled := false
			for i := range 200 {
				r := prompt(1)
				r.Parts[0].ID = uint64(i)
				choice, ok := f.Place(now, r, nil)
				is.True(ok)
				tunnelled = tunnelled || f.IsUnreachable(choice.Upstream.Incarnation())
			}
			is.Equal(tunnelled, tt.tunnelled)
		})
	}
}

// The outcome of a request on a tunnel says nothing about this box's own path.
func TestOutcomeBehindTunnelLeavesOwnPathUnreachable(t *testing.T) {
	is := is.New(t)
	const now = 10 * time.Second
	for _, outcome := range []Outcome{Answered, Full, Unreachable, ConnectionRefused, ConnectionLost, Neutral} {
		f, u1 := newTestFleet(4), Incarnation{ID: "u1"}
		loseUpstreams(f, now, "u1")
		ticket := f.Open(now, "u1", prompt(1))
		ticket.UseTunnel()
		ticket.NoteFirstEvent(now)
		ticket.Close(now, outcome)
		is.True(f.IsUnreachable(u1))
	}
	f := newTestFleet(4)
	ticket := f.Open(now, "u1", prompt(1))
	ticket.UseTunnel()
	ticket.Close(now, Unreachable)
	is.True(!f.IsUnreachable(Incarnation{ID: "u1"}))
}

// Failures in a row with no answer in between put all paths in doubt; an answer ends that.
func TestFailuresInARowPutAllPathsInDoubt(t *testing.T) {
	const now = 10 * time.Second
	tests := []struct {
		name  string
		setUp func(f *Fleet)
		want  bool // u3 is verified before its next request
	}{
		{"one failure", func(f *Fleet) { loseUpstreams(f, now, "u1") }, false},
		{"two", func(f *Fleet) { loseUpstreams(f, now, "u1", "u2") }, true},
		{"two of one domain, which may be down", func(f *Fleet) { loseUpstreams(f, now, "u1", "u4") }, false},
		{"two of one domain, and one of another", func(f *Fleet) { loseUpstreams(f, now, "u1", "u4", "u2") }, true},
		{"two, an answer in between", func(f *Fleet) {
			loseUpstreams(f, now, "u1")
			f.Open(now, "u0", prompt(1)).Close(now, Answered)
			loseUpstreams(f, now, "u2")
		}, false},
		{"two, long apart", func(f *Fleet) { loseUpstreams(f, now-cutOffWindow-1, "u1"); loseUpstreams(f, now, "u2") }, false},
		{"it has answered since", func(f *Fleet) {
			f.Open(now, "u3", prompt(1)).Close(now, Answered)
			loseUpstreams(f, now, "u1", "u2")
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(12)
			tt.setUp(f)
			is.Equal(needsVerification(f, "u3"), tt.want)
		})
	}
}

// A box that doubts its paths verifies all upstreams. What it finds answers no other box's report, and
// was told to all of them nevertheless.
func TestVerificationsOfOwnDoubtAreNotReported(t *testing.T) {
	is := is.New(t)
	const now = 10 * time.Second
	f := newTestFleet(12)
	loseUpstreams(f, now, "u1", "u2")
	f.TakeReachReports(now)
	u3 := Incarnation{ID: "u3"}
	is.True(f.BeginVerification(u3))
	f.EndVerification(now, now, u3, VerifiedReachable)
	is.Equal(f.TakeReachReports(now), nil)

	f = newTestFleet(12)
	f.MergeReachReports(now, lostReport("u3", time.Millisecond))
	f.TakeReachReports(now)
	is.True(f.BeginVerification(u3))
	f.EndVerification(now, now, u3, VerifiedReachable)
	is.Equal(len(f.TakeReachReports(now)), 1)
}

// One report that an upstream is lost is answered once, not by each of 300 boxes as it verifies the
// upstream.
func TestReportOfLossIsAnsweredOnce(t *testing.T) {
	is := is.New(t)
	u3 := Incarnation{ID: "u3"}
	f := newTestFleet(12)
	f.MergeReachReports(10*time.Second, lostReport("u3", time.Millisecond))
	f.MergeReachReports(11*time.Second, []ReachReport{{Life: u3.Key(), Reached: true, Verified: true, Age: 10 * time.Millisecond, Box: "b"}})
	f.TakeReachReports(11 * time.Second)
	now := 13 * time.Second
	is.True(f.BeginVerification(u3))
	f.EndVerification(now, now, u3, VerifiedReachable)
	is.Equal(f.TakeReachReports(now), nil)
}

// tunnelPeers returns the boxes that a box knows: count of each domain.
func tunnelPeers(box, domain string, count int) *TunnelPeers {
	f := NewFleet(Config{Domain: domain})
	var list []TunnelPeer
	for _, d := range []string{"d0", "d1", "d2"} {
		for i := range count {
			list = append(list, TunnelPeer{Address: fmt.Sprintf("%s-%d", d, i), Domain: d})
		}
	}
	p := f.NewTunnelPeers(box)
	p.Set(0, list)
	return p
}

// Boxes of the own domain come first, then those of the upstream's domain.
func TestTunnelCandidatesByDistance(t *testing.T) {
	is := is.New(t)
	p := tunnelPeers("box", "d0", 2)
	var domains []string
	for _, address := range p.Candidates(0, Upstream{ID: "u", Domain: "d1"}, 6) {
		domain, _, _ := strings.Cut(address, "-")
		domains = append(domains, domain)
	}
	slices.Sort(domains[:4])
	is.Equal(domains, []string{"d0", "d0", "d1", "d1", "d2", "d2"})
}

// Boxes whose paths are cut ask different boxes, so that no single one carries the connections of all.
func TestTunnelsSpreadOverBoxes(t *testing.T) {
	is := is.New(t)
	for _, count := range []int{8, 85, 300} {
		carried := make(map[string]int)
		boxes := count / 2
		for b := range boxes {
			p := tunnelPeers(fmt.Sprint("cut", b), "d0", count/3)
			for range 16 {
				via := p.Candidates(0, Upstream{ID: "u", Domain: "d1"}, 1)[0]
				p.Opened(via)
				carried[via]++
			}
		}
		most := 0
		for _, n := range carried {
			most = max(most, n)
		}
		mean := float64(16*boxes) / float64(len(carried))
		t.Logf("%d boxes: %d carry, %.1f each, %d at most", count, len(carried), mean, most)
		is.True(most < 16*boxes/2) // no single box for all
	}
}

// A box that does not help is not asked again for a while: for the one upstream, or for any.
func TestBoxThatDoesNotHelpIsNotAskedAgainForAWhile(t *testing.T) {
	is := is.New(t)
	const now = 10 * time.Second
	u, other := Upstream{ID: "u", Domain: "d0"}, Upstream{ID: "v", Domain: "d0"}
	p := tunnelPeers("box", "d0", 1)
	first := p.Candidates(now, u, 1)[0]
	p.NoteUnreached(now, first, u.Incarnation())
	is.True(p.Candidates(now, u, 1)[0] != first)
	is.Equal(p.Candidates(now, other, 1)[0], first)
	is.Equal(p.Candidates(now+peerBackoff, u, 1)[0], first)
	p.Avoid(now, first)
	is.True(p.Candidates(now, other, 1)[0] != first)
	is.Equal(p.Candidates(now+peerBackoff, other, 1)[0], first)
}

// A box whose whole domain is cut learns of boxes of other domains from their leaders, and forgets
// them again.
func TestBoxesNamedByOthersAreAsked(t *testing.T) {
	is := is.New(t)
	f := NewFleet(Config{Domain: "d0"})
	p := f.NewTunnelPeers("box")
	leader := []TunnelPeer{{Address: "d1-0", Domain: "d1"}}
	p.Set(0, leader)
	p.Learn(0, "d1-0", []string{"d1-1", "d1-2"})
	p.Learn(0, "unknown", []string{"x"})
	is.Equal(len(p.Candidates(0, Upstream{ID: "u", Domain: "d1"}, 9)), 3)
	p.Set(learnedPeerTime, leader)
	is.Equal(p.Len(), 1)
}

// A box whose whole domain is cut asked six boxes of it, and nobody else.
func TestAtMostHalfOfThoseAskedAreOfOneDomain(t *testing.T) {
	is := is.New(t)
	p := tunnelPeers("box", "d0", 20)
	own := 0
	for _, address := range p.Candidates(0, Upstream{ID: "u", Domain: "d0"}, 6) {
		if strings.HasPrefix(address, "d0-") {
			own++
		}
	}
	is.Equal(own, 3)
	p = tunnelPeers("box", "d0", 2) // too few elsewhere
	is.Equal(len(p.Candidates(0, Upstream{ID: "u", Domain: "d0"}, 6)), 6)
}

// Boxes that lack paths themselves were asked anew for each upstream, and before those that do not.
func TestBoxesThatLackPathsAreAskedLast(t *testing.T) {
	const now = 10 * time.Second
	tests := []struct {
		name string
		note func(p *TunnelPeers, address string)
		last bool
	}{
		{"it does not reach one upstream", func(p *TunnelPeers, address string) { p.NoteUnreached(now, address, Incarnation{ID: "v"}) }, false},
		{"two in a row", func(p *TunnelPeers, address string) {
			p.NoteUnreached(now, address, Incarnation{ID: "v"})
			p.NoteUnreached(now, address, Incarnation{ID: "w"})
		}, true},
		{"two, and a connection in between", func(p *TunnelPeers, address string) {
			p.NoteUnreached(now, address, Incarnation{ID: "v"})
			p.Opened(address)
			p.Closed(address)
			p.NoteUnreached(now, address, Incarnation{ID: "w"})
		}, false},
		{"it states that it lacks paths", func(p *TunnelPeers, address string) { p.NoteDoubtful(now, address) }, true},
		{"that was a while ago", func(p *TunnelPeers, address string) { p.NoteDoubtful(now-doubtfulPeerTime, address) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := tunnelPeers("box", "d0", 2)
			u := Upstream{ID: "u", Domain: "d0"}
			near := p.Candidates(now, u, 1)[0]
			tt.note(p, near)
			got := p.Candidates(now, u, 6)
			is.Equal(got[0] == near, !tt.last)
			is.Equal(got[len(got)-1] == near, tt.last)
		})
	}
}

// A box that gives no answer is asked ever more seldom, until it answers.
func TestBoxThatGivesNoAnswerIsAskedEverMoreSeldom(t *testing.T) {
	is := is.New(t)
	p := NewFleet(Config{Domain: "d0"}).NewTunnelPeers("box")
	p.Set(0, []TunnelPeer{{Address: "a", Domain: "d0"}})
	asked, u := 0, Upstream{ID: "u", Domain: "d0"}
	for now := time.Second; now < 61*time.Second; now += 10 * time.Millisecond {
		if len(p.Candidates(now, u, 1)) > 0 {
			asked++
			p.Avoid(now, "a")
		}
	}
	is.True(asked >= 14 && asked <= 3+int(60*time.Second/maxPeerBackoff))
	p.Opened("a")
	p.Avoid(time.Hour, "a")
	is.Equal(len(p.Candidates(time.Hour+peerBackoff, u, 1)), 1)
}

// Five attempts that were made beside each other counted as five upstreams in a row that no box reaches:
// nobody was asked for four seconds.
func TestTunnelAttemptsBesideEachOtherCountAsOneFailure(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(12)
	for i := range 5 {
		began := time.Second + time.Duration(i)*10*time.Millisecond
		f.NoteTunnelFailure(began+DialWait, began, Incarnation{ID: fmt.Sprint("u", i)})
	}
	is.Equal(f.TunnelWait(2*time.Second), time.Duration(0))
	f.NoteTunnelFailure(3*time.Second, 2*time.Second, Incarnation{ID: "u6"})
	is.True(f.TunnelWait(3*time.Second) > 0)
}

// An upstream that was reached through another box is tried again while others are not.
func TestUpstreamReachedThroughOtherBoxIsTriedWhileOthersAreNot(t *testing.T) {
	is := is.New(t)
	const now = 10 * time.Second
	f := newTestFleet(12)
	loseUpstreams(f, now, "u1", "u2", "u3", "u4")
	f.NoteTunnel(now, Incarnation{ID: "u1"}, true)
	f.NoteTunnel(now, Incarnation{ID: "u2"}, false)
	f.NoteTunnel(now, Incarnation{ID: "u3"}, false)
	_, ok := f.TunnelDelay(now, Incarnation{ID: "u1"})
	is.True(ok)
	_, ok = f.TunnelDelay(now, Incarnation{ID: "u4"})
	is.True(!ok)
}

// Where no box reached the last upstreams, one attempt is made at a time.
func TestOneTunnelIsTriedAtATimeWhereNoneWorks(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(12)
	f.NoteTunnel(0, Incarnation{ID: "u1"}, false)
	f.NoteTunnel(0, Incarnation{ID: "u2"}, false)
	now := f.TunnelWait(0)
	is.Equal(f.TunnelWait(now), time.Duration(0))
	f.BeginTunnel(now)
	is.Equal(f.TunnelWait(now), DialWait)
}

// A box that lacks paths states it: what it does not reach may be reached by others.
func TestLacksPaths(t *testing.T) {
	const now = 10 * time.Second
	tests := []struct {
		name  string
		setUp func(f *Fleet)
		want  bool
	}{
		{"all are reached", func(*Fleet) {}, false},
		{"one is not", func(f *Fleet) { loseUpstreams(f, now, "u1") }, false},
		{"two in a row are not", func(f *Fleet) { loseUpstreams(f, now, "u1", "u2") }, true},
		{"two, and one has answered since", func(f *Fleet) {
			loseUpstreams(f, now, "u1", "u2")
			f.Open(now, "u0", prompt(1)).Close(now, Answered)
		}, false},
		{"most, and one has answered since", func(f *Fleet) {
			loseUpstreams(f, now, "u1", "u2", "u3", "u4", "u5", "u6", "u7")
			f.Open(now, "u0", prompt(1)).Close(now, Answered)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(12)
			tt.setUp(f)
			is.Equal(f.LacksPaths("s"), tt.want)
		})
	}
}

// Where all boxes lack paths, each would ask six others for every request and probe.
func TestBoxesThatAllLackPathsAskEachOtherOneAtATime(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(12)
	for i := range 12 {
		loseUpstreams(f, 0, fmt.Sprint("u", i))
	}
	attempts, busyUntil := 0, time.Duration(0)
	for now := time.Second; now < 61*time.Second; now += 10 * time.Millisecond {
		_, mayTry := f.TunnelDelay(now, Incarnation{ID: fmt.Sprint("u", attempts%12)})
		if !mayTry || now < busyUntil {
			continue
		}
		attempts++
		f.BeginTunnel(now)
		busyUntil = now + 10*time.Millisecond
		f.NoteTunnelUndecided(now+5*time.Millisecond, now)
	}
	t.Logf("%d attempts in 60 s", attempts)
	is.True(attempts <= maxUndecided+1+int(60*time.Second/undecidedBackoff))
	f.NoteTunnel(61*time.Second, Incarnation{ID: "u0"}, true)
	is.Equal(f.TunnelWait(61*time.Second), time.Duration(0))
}

// Attempts beside each other that say nothing about upstreams count once.
func TestUndecidedTunnelAttemptsBesideEachOtherCountOnce(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(12)
	for i := range 3 * maxUndecided {
		f.NoteTunnelUndecided(time.Second+DialWait, time.Second+time.Duration(i)*time.Millisecond)
	}
	is.Equal(f.TunnelWait(2*time.Second), time.Duration(0))
}
