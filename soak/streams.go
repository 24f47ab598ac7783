package soak

// This file defines the streams that callers take up again, and the checks on the software versions that wrote them.
//
// Invariants: at most maxMixed streams of a run hold events of two versions, in one response or over a caller's
// requests; and where two upstreams of their version serve throughout, the share of streams taken up at undisturbed boxes that
// go on is at least minContinuedShare of the share of new streams that begin there.

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	maxMixed          = 2
	minContinued      = 12 // streams taken up from which their share is judged
	minContinuedShare = 0.5
	maxTakeUps        = 2 // requests with which a caller takes a stream up
	// A caller takes a stream up after takeUpAfter, and up to takeUpSpread later.
	takeUpAfter, takeUpSpread = 30 * time.Millisecond, 60 * time.Millisecond
)

// softwareVersions are the versions of the upstreams' software.
var softwareVersions = []string{"v1", "v1.2"}

// share counts attempts and those of them that brought an event.
type share struct{ tried, brought int }

func (s *share) add(brought bool) {
	s.tried++
	if brought {
		s.brought++
	}
}

// streamRecord is what callers and upstreams observe of streams.
type streamRecord struct {
	mu       sync.Mutex
	versions map[string]map[string]bool // by the id of the request that brought the first event
	began    share                      // requests for new streams at undisturbed boxes
	goesOn   share                      // those that take a stream up while two upstreams of its version serve
}

func newStreamRecord() *streamRecord {
	return &streamRecord{versions: make(map[string]map[string]bool)}
}

// received records the versions that wrote events of a stream.
func (s *streamRecord) received(first string, events []streamedEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versions[first] == nil {
		s.versions[first] = make(map[string]bool)
	}
	for _, e := range events {
		s.versions[first][e.software] = true
	}
}

// attempted records a request of a stream at an undisturbed box.
func (s *streamRecord) attempted(takesUp, brought bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if takesUp {
		s.goesOn.add(brought)
		return
	}
	s.began.add(brought)
}

// check reports violations of the invariants.
func (s *streamRecord) check(violation func(format string, args ...any)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var mixed []string
	for first, versions := range s.versions {
		if len(versions) > 1 {
			mixed = append(mixed, first)
		}
	}
	if len(mixed) > maxMixed {
		violation("%d streams hold events of several software versions, at most %d allowed: %v", len(mixed), maxMixed, mixed)
	}
	if s.goesOn.tried < minContinued || s.began.tried == 0 {
		return
	}
	// The shares are compared as products, so that none is divided by 0.
	if float64(s.goesOn.brought*s.began.tried) < minContinuedShare*float64(s.began.brought*s.goesOn.tried) {
		violation("of %d streams that callers took up %d went on, of %d new ones %d began", s.goesOn.tried, s.goesOn.brought, s.began.tried, s.began.brought)
	}
}

// servingOf reports whether two upstreams of a software version serve: they run, are published, take requests, and
// their connections and domains are in order. changes differs when one of these conditions may have failed meanwhile.
func (w *harness) servingOf(software string) (changes int64, twoServe bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, u := range w.upstreamsByID {
		if u.software != software || u.service != service {
			continue
		}
		disruptions, isOpen := u.proxy.state()
		changes += disruptions + 1
		if isOpen && u.serves() && !w.evacuated[u.domain] {
			n++
		}
	}
	return changes, n >= 2
}

// serves reports whether the upstream takes requests.
func (u *upstream) serves() bool {
	return !u.stopped.Load() && u.listedAt.Load() > 0 && !u.leaving.Load() && !u.pausing.Load() && !u.advertisedLimit.isSet() &&
		u.harness.failing.Load() == 0 && time.Now().After(u.coldUntil)
}

// streamedEvent is an event as a caller received it.
type streamedEvent struct {
	number   int
	software string
}

// parseEvents checks the body of a stream whose first event has the given number, and returns its events; ok is false
// if it is not a beginning of a stream that some upstreams may have written.
func parseEvents(id string, from int, body string) (events []streamedEvent, ok bool) {
	for n := from; body != ""; n++ {
		software, isWhole := "", false
		for _, v := range softwareVersions {
			switch event := streamEvent(id, n, v); {
			case strings.HasPrefix(body, event):
				software, isWhole = v, true
			case strings.HasPrefix(event, body):
				ok = true
			}
		}
		if !isWhole {
			return events, ok
		}
		events = append(events, streamedEvent{n, software})
		body = body[len(streamEvent(id, n, software)):]
	}
	return events, true
}

// takeUp takes up a stream of which the caller has received some events, at any box.
func (w *harness) takeUp(client *http.Client, first string, path, body string, events []streamedEvent) {
	for n := 1; n <= maxTakeUps; n++ {
		last := events[len(events)-1]
		time.Sleep(takeUpAfter + time.Duration(rand.Int64N(int64(takeUpSpread))))
		b := w.boxes[rand.IntN(len(w.boxes))]
		before, isJudged := w.servingOf(last.software)
		isJudged = isJudged && !w.fatal.disturbed(b)
		ctx, cancel := newCallerContext()
		got := w.sendWithin(ctx, client, b, outgoing{id: fmt.Sprintf("%s-up%d", first, n), path: path, body: body, resumes: first, after: last.number})
		cancel()
		if after, serve := w.servingOf(last.software); isJudged && serve && after == before && !w.fatal.disturbed(b) {
			w.streams.attempted(true, len(got.events) > 0)
		}
		events = append(events, got.events...)
		if got.whole || events[len(events)-1].number == eventsPerStream {
			return
		}
	}
}
