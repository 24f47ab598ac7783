package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// testNamed are bounds as a deployment has them.
var testNamed = LimitBounds{Span: 4 * time.Second, Overshoot: 1.5, Slack: 5}

// needyFleet is one box of a domain before upstreams of two.
func needyFleet(boxes int, upstreams int) *Fleet {
	f := NewFleet(Config{Domain: "d0", Tuning: DefaultTuning, Named: testNamed, FirstStart: true})
	f.SetSharers(QuotaPeers{Box: "box0", Boxes: boxNames(boxes)})
	f.SetBoxes(2*boxes, true)
	for i := range upstreams {
		f.Put(0, Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: fmt.Sprint("10.0.0.", i, ":1"), Domain: fmt.Sprint("d", i%2), Slots: 8})
	}
	return f
}

// names has an upstream name a limit at a moment.
func (f *Fleet) names(now time.Duration, id string, perSecond float64) {
	f.Says(now, f.byID[id].Incarnation(), LimitStatement{Named: true, PerSecond: perSecond, Sent: now - 1, Read: now})
}

func TestWhatALimitLetsThrough(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		requests  int
		span      time.Duration
	}{
		{100, 302, 5 * time.Second}, // half of the bound
		{3.3, 12, 5 * time.Second},  // half of the bound
		{1, 5, 5 * time.Second},
		{0.5, 2, 5 * time.Second},
		{0.2, 1, 5 * time.Second},
		{0.125, 1, 8 * time.Second},
		{0.01, 1, lookEvery}, // or its end would not be seen
		{0, 1, lookEvery},
		{NoLimit, 3000002, 5 * time.Second},
	} {
		t.Run(fmt.Sprint(c.perSecond), func(t *testing.T) {
			is := is.New(t)
			requests, span := testNamed.lets(c.perSecond)
			is.Equal(requests, c.requests)
			is.Equal(span, c.span)
		})
	}
	is := is.New(t)
	requests, _ := LimitBounds{Span: 4 * time.Second}.lets(2) // nothing may be sent beside the limit
	is.Equal(requests, 4)
}

// Whatever boxes and domains there are, those that know of each other have what the limit lets through,
// and those of a domain that is cut in two no more than the bound.
func TestThePartsOfAllBoxesAreWhatALimitLetsThrough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 12).Draw(t, "domains")
		perSecond := rapid.Float64Range(0, 40).Draw(t, "limit")
		cut := rapid.Bool().Draw(t, "cut")
		regions := make(map[string]string)
		for d := range domains {
			regions[fmt.Sprint("d", d)] = "r"
		}
		sum := 0
		for d := range domains {
			boxes := boxNames(rapid.IntRange(1, 9).Draw(t, "boxes"))
			sides := [][]string{boxes}
			if cut && len(boxes) > 1 {
				sides = [][]string{boxes[:1], boxes[1:]}
			}
			for _, side := range sides {
				for _, box := range side {
					f := NewFleet(Config{Domain: fmt.Sprint("d", d), Regions: regions, Tuning: DefaultTuning, Named: testNamed})
					f.SetSharers(QuotaPeers{Box: box, Boxes: side})
					f.Put(0, Upstream{ID: "u", Service: "s", Address: "10.0.0.1:1", Domain: "d0", Slots: 8})
					f.names(time.Second, "u", perSecond)
					l, _ := f.Limit(time.Second, "u")
					sum += l.Ration
				}
			}
		}
		lets, _ := testNamed.lets(perSecond)
		bound := testNamed.Overshoot*perSecond*testNamed.Span.Seconds() + testNamed.Slack
		if sum < lets || !cut && sum > lets || float64(sum) > bound {
			t.Fatalf("%d of %d, bound %v", sum, lets, bound)
		}
	})
}

// send places a request and counts it, and returns where it went.
func (f *Fleet) send(now time.Duration, urgency int) string {
	r := Request{Service: "s", Urgency: urgency}
	c, ok := f.Place(now, r, nil)
	if !ok {
		return ""
	}
	f.Open(now, c.Upstream.ID, r).Close(now, Answered)
	return c.Upstream.ID
}

func TestABoxSendsItsPartAndGoesElsewhere(t *testing.T) {
	is := is.New(t)
	f := needyFleet(1, 2)
	f.names(time.Second, "u0", 1) // 5 in 5 s: 3 of them this domain's
	to := make(map[string]int)
	for range 10 {
		to[f.send(2*time.Second, 0)]++
	}
	is.Equal(to["u0"], 3)
	is.Equal(to["u1"], 7)
	l, isNamed := f.Limit(2*time.Second, "u0")
	is.True(isNamed)
	is.Equal(l, LimitOf{PerSecond: 1, Age: time.Second, Ration: 3, Span: 5 * time.Second})
	is.True(f.TakesNoMore(2*time.Second, "u0"))
	is.True(!f.TakesNoMore(7*time.Second, "u0")) // they are old
	is.True(!f.TakesNoMore(2*time.Second, "u1"))
	is.True(!f.TakesNoMore(2*time.Second, "unknown"))
}

// What was sent before a limit was known counts, and until the first span is over nothing more is sent: nobody
// knows what the others have sent.
func TestTheFirstSpanUnderALimitIsQuiet(t *testing.T) {
	is := is.New(t)
	f := needyFleet(1, 2)
	for i := range 40 {
		f.send(time.Duration(i)*50*time.Millisecond, 0)
	}
	f.names(2*time.Second, "u0", 1)
	is.True(f.TakesNoMore(2*time.Second, "u0"))
	is.True(f.TakesNoMore(5900*time.Millisecond, "u0"))
	is.True(!f.TakesNoMore(7*time.Second, "u0"))
	f.names(8*time.Second, "u0", 0.9) // no more than others know to be about the same
	is.True(!f.TakesNoMore(8*time.Second, "u0"))
	f.names(9*time.Second, "u0", 200)
	is.True(!f.TakesNoMore(9*time.Second, "u0")) // far more than it gets
}

// Boxes that had not been told yet sent an upstream up to ten requests after it had named its limit, and the first place after a span from
// then on came within one of those: nine in 4 s, where six were allowed.
func TestWhatIsSentUntilAllBoxesAreToldCountsInTheFirstSpan(t *testing.T) {
	is := is.New(t)
	f := needyFleet(1, 2)
	for i := range 40 { // the other upstream, so that what this box sent itself says nothing
		f.Open(time.Duration(i)*50*time.Millisecond, "u1", Request{Service: "s"}).Close(time.Duration(i)*50*time.Millisecond, Answered)
	}
	named, told := 2*time.Second, 2900*time.Millisecond
	f.TakeNamed(told, []LimitReport{{Life: f.keyOf("u0"), PerSecond: 1, Since: told - named, Read: told - named}})
	is.True(f.TakesNoMore(named+4100*time.Millisecond, "u0"))
	is.True(f.TakesNoMore(told+3900*time.Millisecond, "u0"))
	is.True(!f.TakesNoMore(named+5*time.Second, "u0"))
}

// A limit that is far above what upstreams get keeps nothing from them when it is first named.
func TestALimitThatDoesNotBindIsNotQuiet(t *testing.T) {
	is := is.New(t)
	f := needyFleet(1, 2)
	for i := range 10 {
		f.send(time.Duration(i)*200*time.Millisecond, 0)
	}
	f.names(2*time.Second, "u0", 100)
	f.names(2*time.Second, "u1", 100)
	is.True(!f.TakesNoMore(2*time.Second, "u0"))
	is.True(!f.TakesNoMore(2*time.Second, "u1"))
}

// A box that does not know of the others sends nothing to an upstream that names a limit, and what is told of a life says nothing
// of the next one.
func TestABoxThatKnowsNobodySendsNothingUnderALimit(t *testing.T) {
	is := is.New(t)
	f := needyFleet(1, 1)
	f.SetSharers(QuotaPeers{Box: "box0"})
	f.names(time.Second, "u0", 3)
	is.Equal(f.send(2*time.Second, 0), "")
	is.True(f.LimitLeft(2*time.Second, "s") > 0)
	next := *f.Get("u0")
	next.StartedAt = 7
	f.Put(3*time.Second, next)
	is.Equal(f.send(3*time.Second, 0), "u0")
}

// Where all upstreams take no more, the places that come free go to the urgent.
func TestTheFewPlacesAreTheUrgents(t *testing.T) {
	is := is.New(t)
	f := needyFleet(1, 1)
	f.names(time.Second, "u0", 1)
	is.Equal(f.send(time.Second, 1), "u0") // nobody more urgent is there
	for f.send(time.Second, 0) != "" {
	}
	later := 6100 * time.Millisecond
	is.Equal(f.send(later, 1), "")
	is.Equal(f.send(later, 0), "u0")
	is.Equal(f.send(later+7*time.Second, 1), "u0") // it is long ago that one was refused
}

// The only other upstream is out of reach: who finds no place is not sent there to find that out.
func TestWhoFindsNoPlaceHearsItAtOnce(t *testing.T) {
	is := is.New(t)
	f := needyFleet(1, 2)
	f.names(time.Second, "u0", 0)
	f.Open(time.Second, "u1", Request{Service: "s"}).Close(time.Second, Unreachable)
	is.True(f.byID["u1"].unreachable)
	is.Equal(f.send(time.Second, 0), "u0") // the request that looks whether the limit holds
	is.Equal(f.send(2*time.Second, 0), "")
	is.True(f.LimitLeft(2*time.Second, "s") > 0)
	f.Says(3*time.Second, Incarnation{ID: "u0"}, LimitStatement{Sent: 2 * time.Second, Read: 3 * time.Second})
	is.Equal(f.send(3*time.Second, 0), "u0")
}

// An entry that goes and comes back finds what was named, and what was sent.
func TestALimitOutlivesItsEntry(t *testing.T) {
	is := is.New(t)
	f := needyFleet(1, 1)
	u := *f.Get("u0")
	f.names(time.Second, "u0", 1)
	is.Equal(f.send(time.Second, 0), "u0")
	f.Remove("u0")
	f.ForgetNamed(30 * time.Second)
	f.Put(30*time.Second, u)
	_, isNamed := f.Limit(30*time.Second, "u0")
	is.True(isNamed)
	f.Remove("u0")
	f.ForgetNamed(3 * time.Minute)
	f.Put(3*time.Minute, u)
	_, isNamed = f.Limit(3*time.Minute, "u0")
	is.True(!isNamed)
}

// A request that was placed before its upstream was known to name a limit is not sent once that is known.
func TestWhatWaitsForAConnectionIsLookedAtAgain(t *testing.T) {
	is := is.New(t)
	f := needyFleet(1, 2)
	for i := range 40 {
		f.send(time.Duration(i)*50*time.Millisecond, 0)
	}
	r := Request{Service: "s"}
	waits, goes := f.Open(2*time.Second, "u0", r), f.Open(2*time.Second, "u1", r)
	before := f.Sent(2*time.Second, Incarnation{ID: "u0"}, time.Minute)
	f.names(2100*time.Millisecond, "u0", 1)
	is.True(!waits.MayGo(2200 * time.Millisecond))
	is.Equal(f.Sent(2200*time.Millisecond, Incarnation{ID: "u0"}, time.Minute), before-1) // it was not sent
	is.True(goes.MayGo(2200 * time.Millisecond))
}

// A request that was placed at an upstream which is gone by then is counted nowhere, and may go.
func TestWhatIsCountedNowhereMayGo(t *testing.T) {
	is := is.New(t)
	f := needyFleet(1, 1)
	is.True(f.Open(0, "gone", Request{Service: "s"}).MayGo(0))
}

func TestLimitsMayBePassedByWhereThatIsSwitchedOff(t *testing.T) {
	is := is.New(t)
	f := needyFleet(1, 1)
	f.cfg.Off = Off{Limits: true}
	f.names(time.Second, "u0", 0)
	for range 20 {
		is.Equal(f.send(time.Second, 0), "u0")
	}
}
