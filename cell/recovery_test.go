package cell

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// cutDomain cuts a domain off from all others and from the platform, or
// reconnects it.
func (s *simulation) cutDomain(domain string, on bool) {
	s.platformCut[domain] = on
	for _, a := range s.names {
		for _, b := range s.names {
			if s.boxes[a].domain == domain && s.boxes[b].domain != domain {
				s.cutBoth(a, b, on)
			}
		}
	}
}

// TestDomainCutAndRejoined cuts a domain off while the table is changed
// twice: it continues with its table, and adopts the newest one when it is
// reconnected.
func TestDomainCutAndRejoined(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 21, 2, 3, 2)
	s.startAll()
	s.waitReady()
	s.cutDomain("d1", true)
	for revision := uint64(2); revision <= 3; revision++ {
		s.table = s.table.WithRevision(revision)
		s.run(30 * time.Second)
	}
	for i := range 30 {
		s.arrive(s.names[i%len(s.names)], "review", "")
	}
	s.run(20 * time.Second)
	is.Equal(s.answered, 30) // both sides answer requests
	for _, b := range s.boxes {
		want := uint64(3)
		if b.domain == "d1" {
			want = 1
		}
		is.Equal(b.node.Table().Revision, want)
	}
	s.cutDomain("d1", false)
	reconnectedAt := s.now
	s.runUntil("all boxes to have the newest table", 10*time.Second, func() bool {
		for _, b := range s.boxes {
			if b.node.Table().Revision != 3 {
				return false
			}
		}
		return true
	})
	t.Logf("newest table in force %v after the domain was reconnected", s.now-reconnectedAt)
	s.checkGuarantees()
}

// TestListedAsLeaving marks an upstream as leaving on the platform's list
// only: within seconds no new request is sent to it, not even in kept slots.
func TestListedAsLeaving(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 22, 1, 3, 2)
	s.startAll()
	s.waitReady()
	s.roster.Revision++
	s.roster.Leaving = []string{"e0.0"}
	start := s.now
	s.runUntil("all boxes to have the list", 10*time.Second, func() bool {
		for _, b := range s.boxes {
			if b.node.Roster().Revision != s.roster.Revision {
				return false
			}
		}
		return true
	})
	is.True(s.now-start < 4*time.Second)
	before := s.engines["e0.0"].starts
	for i := range 24 {
		s.arrive(s.names[i%3], "review", "")
	}
	s.run(20 * time.Second)
	is.Equal(s.engines["e0.0"].starts, before)
	is.Equal(s.answered, 24)
	s.checkGuarantees()
}

// TestRollingReplacement replaces all boxes of a domain one after another
// under load: each is drained first, and no request is lost.
func TestRollingReplacement(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 23, 1, 3, 2)
	s.startAll()
	s.waitReady()
	sent := 0
	load := func(except string) {
		for _, name := range s.names {
			if name != except {
				s.arrive(name, "review", "")
				sent++
			}
		}
	}
	for _, name := range s.names {
		load("")
		b := s.boxes[name]
		b.node.Drain(s.now)
		s.perform(b)
		s.runUntil(name+" to have no requests", 60*time.Second, func() bool {
			load(name) // the load balancer sends to the others
			s.run(200 * time.Millisecond)
			return b.node.InProgress() == 0
		})
		s.crash(name)
		s.run(500 * time.Millisecond)
		s.startBox(name)
		s.run(3 * time.Second)
	}
	s.run(60 * time.Second)
	is.Equal(s.answered, sent)
	is.Equal(len(s.finals), 0)
	s.checkGuarantees()
}

// TestWholeDomainRestarts restarts all boxes at once: the number of platform
// calls stays bounded, and requests are soon answered again.
func TestWholeDomainRestarts(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 24, 1, 12, 4)
	s.startAll()
	s.waitReady()
	for _, name := range s.names {
		s.crash(name)
	}
	s.run(time.Second)
	calls := s.platformCalls
	for _, name := range s.names {
		s.startBox(name)
	}
	start := s.now
	s.runUntil("all boxes to have the table", 20*time.Second, func() bool {
		for _, b := range s.boxes {
			if b.node.Table() == nil || !b.node.joined {
				return false
			}
		}
		return true
	})
	elapsed := s.now - start
	calls = s.platformCalls - calls
	answered := s.answered
	for _, name := range s.names {
		s.arrive(name, "review", "")
	}
	s.run(10 * time.Second)
	is.Equal(s.answered, answered+12)
	is.True(elapsed < 5*time.Second)
	is.True(calls <= 12) // at most one for each box
	t.Logf("all boxes had the table after %v, with %d platform calls", elapsed, calls)
	s.checkGuarantees()
}

// TestBoxesReplacedWhilePlatformServesOldTable replaces boxes one after
// another while the platform serves an old table: the new boxes must get the
// newest table from their peers.
func TestBoxesReplacedWhilePlatformServesOldTable(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 25, 1, 4, 1)
	s.table = s.table.WithRevision(9)
	s.startAll()
	s.waitReady()
	s.oldTable = s.table.WithRevision(2)
	for _, name := range s.names {
		s.crash(name)
		s.run(3 * time.Second)
		s.startBox(name)
		s.run(5 * time.Second)
		is.Equal(s.boxes[name].node.Table().Revision, uint64(9))
	}
	s.checkGuarantees()
}

// TestPlatformDownForAnHour stops the platform for an hour: requests are
// answered throughout, a box that is replaced meanwhile gets the table from
// its peers, and a change made during the hour is in force soon after.
func TestPlatformDownForAnHour(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 26, 1, 3, 2)
	s.startAll()
	s.waitReady()
	s.platformDown = true
	for minute := range 60 {
		for _, name := range s.names {
			s.arrive(name, "review", "")
		}
		s.run(time.Minute)
		if minute == 30 {
			s.crash(s.names[0])
			s.startBox(s.names[0])
			s.run(2 * time.Second) // without a table, a failing health check keeps callers away
		}
	}
	is.Equal(s.answered, 180)
	s.table = s.table.WithRevision(2)
	s.run(time.Minute)
	s.platformDown = false
	s.runUntil("all boxes to have the change", 4*time.Second, func() bool {
		for _, b := range s.boxes {
			if b.node.Table().Revision != 2 {
				return false
			}
		}
		return true
	})
	s.checkGuarantees()
}
