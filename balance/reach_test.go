package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// failUnreachable sends a request to an upstream that turns out to be unreachable.
func failUnreachable(f *Fleet, now time.Duration, id string) {
	f.Open(now, id, prompt(1)).Close(now, Unreachable)
}

// Unreachable upstreams do not make their domain count as cut off as long as others of it answer.
func TestDomainIsCutOffOnlyWithoutAnswers(t *testing.T) {
	tests := []struct {
		name    string
		between func(f *Fleet)
		out     int
	}{
		{"no answer", func(*Fleet) {}, 4},
		{"one answers", func(f *Fleet) { f.Open(0, "u7", prompt(1)).Close(0, Answered) }, 2},
		{"a stream begins", func(f *Fleet) { f.Open(0, "u10", prompt(1)).NoteFirstEvent(0) }, 2},
		{"one has no capacity", func(f *Fleet) { f.Open(0, "u7", prompt(1)).Close(0, Full) }, 2},
		{"a probe succeeds", func(f *Fleet) { f.NoteReachableByID("u7") }, 2},
		{"one of another domain answers", func(f *Fleet) { f.Open(0, "u2", prompt(1)).Close(0, Answered) }, 4},
		{"one fails", func(f *Fleet) { f.Open(0, "u7", prompt(1)).Close(0, Failed) }, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(12) // u1, u4, u7 and u10 are in domain d1
			failUnreachable(f, 0, "u1")
			tt.between(f)
			failUnreachable(f, time.Second, "u4")
			is.Equal(len(f.Unreachable()), tt.out)
		})
	}
}

// When one upstream of a cut-off domain answers, those that were unreachable only because of the domain
// are used again, and those that failed themselves are not.
func TestCutOffDomainIsRestoredAsAWhole(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(12)
	failUnreachable(f, 0, "u1")
	failUnreachable(f, time.Second, "u4")
	alone := 0
	for _, u := range f.TakeNewlyUnreachable() {
		if !u.ByDomain {
			alone++
		}
	}
	is.Equal(alone, 2)
	is.Equal(len(f.Unreachable()), 4)
	f.NoteReachableByID("u4")
	left := f.Unreachable()
	is.Equal(len(left), 1)
	is.Equal(left[0].ID, "u1")
	failUnreachable(f, 2*time.Second, "u10") // and it may be cut off again
	failUnreachable(f, 2*time.Second, "u7")
	is.Equal(len(f.Unreachable()), 4)
}

// Failures that are far apart do not make a domain count as cut off.
func TestFailuresFarApartDoNotCutOffDomain(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(12)
	failUnreachable(f, 0, "u1")
	failUnreachable(f, cutOffWindow+time.Second, "u4")
	is.Equal(len(f.Unreachable()), 2)
}

// A domain no longer counts as cut off once all upstreams that were out because of it have been
// removed. Their successors are marked unreachable again when they fail.
func TestDomainWithReplacedUpstreamsCanBeCutOffAgain(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(12)
	failUnreachable(f, 0, "u1")
	failUnreachable(f, time.Second, "u4")
	is.Equal(len(f.Unreachable()), 4)
	for i, id := range []string{"u1", "u4", "u7", "u10"} {
		f.Remove(id)
		f.Put(2*time.Second, Upstream{ID: fmt.Sprintf("new%d", i), Service: "s", Domain: "d1", Slots: 8})
	}
	is.Equal(len(f.Unreachable()), 0)
	failUnreachable(f, 10*time.Second, "new0")
	failUnreachable(f, 10*time.Second, "new1")
	is.Equal(len(f.Unreachable()), 4)
}

// A domain was cut off from the others. Each of its 125 boxes had one request per second and
// found out for itself which upstreams were unreachable, trying up to four of other domains per
// request, for 350 ms each.
func TestRetryStaysInOwnDomainAfterUnreachableUpstream(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(90)
	r := prompt(1)
	for r.Parts[0].ID = 1; ; r.Parts[0].ID++ { // a prompt whose home is in another domain
		if c, _ := f.Place(0, r, nil); c.Upstream.Domain != "d0" {
			break
		}
	}
	first, _ := f.Place(0, r, nil)
	f.Open(0, first.Upstream.ID, r).Close(0, Unreachable)
	second, ok := f.Place(0, r, []string{first.Upstream.ID})
	is.True(ok)
	is.Equal(second.Upstream.Domain, "d0")
	for _, m := range f.byService["s"] {
		m.unreachable = m.unreachable || m.Domain == "d0"
	}
	third, ok := f.Place(0, r, []string{first.Upstream.ID})
	is.True(ok)
	is.True(third.Upstream.Domain != "d0") // none is left in its own domain
}
