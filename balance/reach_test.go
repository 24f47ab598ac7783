package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lose lets an upstream be found out of reach.
func lose(f *Fleet, now time.Duration, id string) { f.Open(now, id, prompt(1)).Close(now, Unreachable) }

// Some upstreams that died do not make their domain count as cut off as long as others
// of it answer.
func TestADomainOfWhichOthersAnswerIsNotLeft(t *testing.T) {
	tests := []struct {
		name    string
		between func(f *Fleet)
		out     int
	}{
		{"none answers", func(*Fleet) {}, 4},
		{"one answers", func(f *Fleet) { f.Open(0, "u7", prompt(1)).Close(0, Answered) }, 2},
		{"a stream begins", func(f *Fleet) { f.Open(0, "u10", prompt(1)).First(0) }, 2},
		{"one has no room", func(f *Fleet) { f.Open(0, "u7", prompt(1)).Close(0, Full) }, 2},
		{"a trial comes up", func(f *Fleet) { f.Reached("u7") }, 2},
		{"one of another domain answers", func(f *Fleet) { f.Open(0, "u2", prompt(1)).Close(0, Answered) }, 4},
		{"one fails", func(f *Fleet) { f.Open(0, "u7", prompt(1)).Close(0, Failed) }, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(12) // u1, u4, u7 and u10 are of the domain d1
			lose(f, 0, "u1")
			tt.between(f)
			lose(f, time.Second, "u4")
			is.Equal(len(f.Unreached()), tt.out)
		})
	}
}

// When one upstream of a domain that was left answers, those that were left along with
// it are taken again, and those that had failed themselves are not.
func TestADomainIsTakenAgainAsAWhole(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(12)
	lose(f, 0, "u1")
	lose(f, time.Second, "u4")
	alone := 0
	for _, u := range f.NewlyLost() {
		if !u.ByDomain {
			alone++
		}
	}
	is.Equal(alone, 2)
	is.Equal(len(f.Unreached()), 4)
	f.Reached("u4")
	left := f.Unreached()
	is.Equal(len(left), 1)
	is.Equal(left[0].ID, "u1")
	lose(f, 2*time.Second, "u10") // and it may be left again
	lose(f, 2*time.Second, "u7")
	is.Equal(len(f.Unreached()), 4)
}

// Failures that lie far apart are no cut.
func TestFailuresFarApartAreNoCut(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(12)
	lose(f, 0, "u1")
	lose(f, domainWithin+time.Second, "u4")
	is.Equal(len(f.Unreached()), 2)
}

// A domain that was left is no longer once the upstreams that were left along with it are
// gone: those that come after them are left again when they fail.
func TestADomainWhoseUpstreamsWereReplacedMayBeLeftAgain(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(12)
	lose(f, 0, "u1")
	lose(f, time.Second, "u4")
	is.Equal(len(f.Unreached()), 4)
	for i, id := range []string{"u1", "u4", "u7", "u10"} {
		f.Remove(id)
		f.Put(2*time.Second, Upstream{ID: fmt.Sprintf("new%d", i), Service: "s", Domain: "d1", Slots: 8})
	}
	is.Equal(len(f.Unreached()), 0)
	lose(f, 10*time.Second, "new0")
	lose(f, 10*time.Second, "new1")
	is.Equal(len(f.Unreached()), 4)
}

// A domain was cut off from the others. Each of its 125 boxes had a request a second, found out for itself which
// upstreams it could not reach, and tried up to four of other domains for each request, 350 ms each.
func TestARequestThatCouldNotGoElsewhereStaysInItsDomain(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(90)
	r := prompt(1)
	for r.Parts[0].ID = 1; ; r.Parts[0].ID++ { // a prompt that is at home in another domain
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
	is.True(third.Upstream.Domain != "d0") // nothing is left in its own
}
