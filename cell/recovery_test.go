package cell

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// cutDomain cuts a domain off from all others and the platform, or joins it again.
func (w *world) cutDomain(domain string, on bool) {
	w.blind[domain] = on
	for _, a := range w.names {
		for _, b := range w.names {
			if w.boxes[a].domain == domain && w.boxes[b].domain != domain {
				w.cutBoth(a, b, on)
			}
		}
	}
}

// TestDomainCutAndRejoined cuts a domain off while the table is edited twice: it
// goes on with the table it has, and takes the newest when it is back.
func TestDomainCutAndRejoined(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 21, 2, 3, 2)
	w.startAll()
	w.ready()
	w.cutDomain("d1", true)
	for revision := uint64(2); revision <= 3; revision++ {
		w.table = w.table.WithRevision(revision)
		w.run(30 * time.Second)
	}
	for i := range 30 {
		w.arrive(w.names[i%len(w.names)], "review", "")
	}
	w.run(20 * time.Second)
	is.Equal(w.answered, 30) // both sides serve
	for _, b := range w.boxes {
		want := uint64(3)
		if b.domain == "d1" {
			want = 1
		}
		is.Equal(b.node.Table().Revision, want)
	}
	w.cutDomain("d1", false)
	back := w.now
	w.runUntil("the newest table everywhere", 10*time.Second, func() bool {
		for _, b := range w.boxes {
			if b.node.Table().Revision != 3 {
				return false
			}
		}
		return true
	})
	t.Logf("in force %v after the domain was back", w.now-back)
	w.check()
}

// TestListedAsLeaving takes an upstream that only the list calls leaving: within
// seconds nothing new is sent to it, kept slots included.
func TestListedAsLeaving(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 22, 1, 3, 2)
	w.startAll()
	w.ready()
	w.roster.Revision++
	w.roster.Leaving = []string{"e0.0"}
	start := w.now
	w.runUntil("the list everywhere", 10*time.Second, func() bool {
		for _, b := range w.boxes {
			if b.node.Roster().Revision != w.roster.Revision {
				return false
			}
		}
		return true
	})
	is.True(w.now-start < 4*time.Second)
	before := w.engines["e0.0"].starts
	for i := range 24 {
		w.arrive(w.names[i%3], "review", "")
	}
	w.run(20 * time.Second)
	is.Equal(w.engines["e0.0"].starts, before)
	is.Equal(w.answered, 24)
	w.check()
}

// TestRollingReplacement replaces all boxes of a domain one after another under
// load: each is drained first, and no request is lost.
func TestRollingReplacement(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 23, 1, 3, 2)
	w.startAll()
	w.ready()
	asked := 0
	load := func(except string) {
		for _, name := range w.names {
			if name != except {
				w.arrive(name, "review", "")
				asked++
			}
		}
	}
	for _, name := range w.names {
		load("")
		b := w.boxes[name]
		b.node.Drain(w.now)
		w.perform(b)
		w.runUntil(name+" to be empty", 60*time.Second, func() bool {
			load(name) // the balancer sends to the others
			w.run(200 * time.Millisecond)
			return b.node.InProgress() == 0
		})
		w.crash(name)
		w.run(500 * time.Millisecond)
		w.startBox(name)
		w.run(3 * time.Second)
	}
	w.run(60 * time.Second)
	is.Equal(w.answered, asked)
	is.Equal(len(w.finals), 0)
	w.check()
}

// TestWholeDomainRestarts restarts all boxes at once: the platform is not
// stampeded, and requests are served again soon.
func TestWholeDomainRestarts(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 24, 1, 12, 4)
	w.startAll()
	w.ready()
	for _, name := range w.names {
		w.crash(name)
	}
	w.run(time.Second)
	calls := w.calls
	for _, name := range w.names {
		w.startBox(name)
	}
	start := w.now
	w.runUntil("all boxes to have the table", 20*time.Second, func() bool {
		for _, b := range w.boxes {
			if b.node.Table() == nil || !b.node.joined {
				return false
			}
		}
		return true
	})
	full := w.now - start
	calls = w.calls - calls
	answered := w.answered
	for _, name := range w.names {
		w.arrive(name, "review", "")
	}
	w.run(10 * time.Second)
	is.Equal(w.answered, answered+12)
	is.True(full < 5*time.Second)
	is.True(calls <= 12) // not more than one for each box
	t.Logf("tables everywhere after %v, with %d calls of the platform", full, calls)
	w.check()
}

// TestReplacedDuringOldPlatform replaces boxes one after another while the
// platform serves an old table: the newest lives on in the peers.
func TestReplacedDuringOldPlatform(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 25, 1, 4, 1)
	w.table = w.table.WithRevision(9)
	w.startAll()
	w.ready()
	w.old = w.table.WithRevision(2)
	for _, name := range w.names {
		w.crash(name)
		w.run(3 * time.Second)
		w.startBox(name)
		w.run(5 * time.Second)
		is.Equal(w.boxes[name].node.Table().Revision, uint64(9))
	}
	w.check()
}

// TestPlatformDownForAnHour takes the platform away for an hour: requests are
// served throughout, a box replaced meanwhile gets the table from its peers, and
// an edit made in that hour is in force soon after.
func TestPlatformDownForAnHour(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 26, 1, 3, 2)
	w.startAll()
	w.ready()
	w.down = true
	for minute := range 60 {
		for _, name := range w.names {
			w.arrive(name, "review", "")
		}
		w.run(time.Minute)
		if minute == 30 {
			w.crash(w.names[0])
			w.startBox(w.names[0])
			w.run(2 * time.Second) // without a table its health check keeps callers away
		}
	}
	is.Equal(w.answered, 180)
	w.table = w.table.WithRevision(2)
	w.run(time.Minute)
	w.down = false
	w.runUntil("the edit everywhere", 4*time.Second, func() bool {
		for _, b := range w.boxes {
			if b.node.Table().Revision != 2 {
				return false
			}
		}
		return true
	})
	w.check()
}
