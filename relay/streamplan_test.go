package relay

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	planSeed  = flag.Uint64("plan-seed", 1, "seed of the first stream of TestPlannedStreams")
	planCount = flag.Int("plan-count", 200, "streams of TestPlannedStreams")
)

// streamPlan is a stream, and what happens to its runs. It is drawn from a seed.
type streamPlan struct {
	events  []string // by index
	ids     []int64
	comment string
	path    string
	body    string
	pace    time.Duration // between the caller's reads of 4 KiB

	mu             sync.Mutex
	rand           *rand.Rand
	runs           []string // what happened
	cuts           int      // runs that are still to be cut off
	isAskedWrongly bool     // a run was asked to go on after what is no event
}

// newStreamPlan draws a stream.
func newStreamPlan(seed uint64) *streamPlan {
	r := rand.New(rand.NewPCG(seed, 7))
	p := &streamPlan{rand: r, cuts: r.IntN(5), path: "/flow/"}
	if r.IntN(4) == 0 {
		p.path = "/fixed/"
	}
	id := []int64{1, 0, 7, -3, 1 << 40}[r.IntN(5)]
	eol := []string{"\n", "\r\n"}[r.IntN(2)]
	size := []int{5, 50, 2 << 10, 4 << 10, 70 << 10}[r.IntN(5)]
	for range 1 + r.IntN(12) {
		p.ids = append(p.ids, id)
		p.events = append(p.events, fmt.Sprintf("id: %d%sdata: %s%s%s", id, eol, strings.Repeat("x", r.IntN(size)+1), eol, eol))
		id += int64(1 + r.IntN(1+r.IntN(3)))
	}
	p.comment = []string{"", ": ping" + eol + eol, "retry: 100" + eol + eol}[r.IntN(3)]
	if r.IntN(8) == 0 {
		p.pace = time.Duration(r.IntN(4)) * time.Millisecond
	}
	if r.IntN(3) == 0 {
		p.body = strings.Repeat("b", 9<<10)
	}
	return p
}

// position returns how many events come before the run, which is asked to go on after the given one.
func (p *streamPlan) position(last string) int {
	if last == "" {
		return 0
	}
	id, err := strconv.ParseInt(last, 10, 64)
	at := slices.Index(p.ids, id)
	if err != nil || at < 0 {
		p.isAskedWrongly = true
		return 0
	}
	if p.rand.IntN(3) == 0 {
		return p.rand.IntN(at + 1) // it begins with events that came before
	}
	return at + 1
}

// eventsFrom returns the events of a run that begins with the given one, with comments between them.
func (p *streamPlan) eventsFrom(from int) (events []string) {
	for _, e := range p.events[from:] {
		if p.rand.IntN(3) == 0 && p.comment != "" {
			events = append(events, p.comment)
		}
		events = append(events, e)
	}
	return events
}

// plannedRun is what a run leaves of its answer.
type plannedRun struct {
	parts  []string // as written
	resets bool     // the connection is reset behind them
	whole  bool
}

// next draws the next run.
func (p *streamPlan) next(id, last string) plannedRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, from := p.rand, p.position(last)
	events := p.eventsFrom(from)
	form := []answerForm{formChunked, formChunked, formLength, formUnframed}[r.IntN(4)]
	if len(events) == 0 && form == formUnframed {
		form = formLength // otherwise nothing says that there are no more
	}
	wire, ends := wireAnswer(form, id, events)
	run, at := plannedRun{whole: true}, len(wire)
	if p.cuts > 0 {
		p.cuts--
		at, run.whole = r.IntN(len(wire)), false
		if r.IntN(3) == 0 && len(ends) > 0 {
			at = ends[r.IntN(len(ends))]
		}
		run.resets = r.IntN(2) == 0 || form == formUnframed
	}
	p.runs = append(p.runs, fmt.Sprintf("%s after %q from %d: %d of %d bytes, reset %v", form, last, from, at, len(wire), run.resets))
	run.whole = run.whole && form != formUnframed
	run.parts = splitAtRandom(r, wire[:at])
	return run
}

// splitAtRandom splits a text.
func splitAtRandom(r *rand.Rand, text string) (parts []string) {
	for len(text) > 0 {
		n := len(text)
		if r.IntN(2) == 0 {
			n = 1 + r.IntN(n)
		}
		parts = append(parts, text[:n])
		text = text[n:]
	}
	return parts
}

// planSet is the plans that upstreams play, by stream.
type planSet struct {
	mu    sync.Mutex
	plans map[string]*streamPlan
}

// script answers a run by the plan of its stream.
func (s *planSet) script(c net.Conn, r stubRequest) bool {
	key := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	s.mu.Lock()
	p := s.plans[key]
	s.mu.Unlock()
	run := p.next(r.Header.Get("X-Id"), r.Header.Get("X-Last"))
	for i, part := range run.parts {
		_, _ = io.WriteString(c, part)
		if i%3 == 0 {
			time.Sleep(200 * time.Microsecond)
		}
	}
	if run.resets {
		time.Sleep(time.Millisecond) // the peer's kernel has all
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	return run.whole
}

// play plays a stream with up to ten attempts of its caller, and returns what is wrong.
func (p *streamPlan) play(key string, boxes []*testBox) string {
	first, at := "", 0 // the attempt that brought the first event, and how many the caller has
	for n := range 10 {
		id := fmt.Sprint(key, "-", n)
		b := boxes[n%len(boxes)]
		r := b.request(http.MethodPost, p.path+key, key+p.body, "X-Id", id)
		if at > 0 {
			r.Header.Set("X-Last", strconv.FormatInt(p.ids[at-1], 10))
			r.Header.Set("X-Resumes", first)
		} else {
			first = id
		}
		got := b.read(r, p.pace)
		rest := ""
		if got.status == http.StatusOK {
			at, rest = p.take(at, got.body)
		}
		isComplete := got.status == http.StatusOK && got.err == nil
		switch {
		case rest != "":
			return fmt.Sprintf("attempt %d: after %d events: %.40q", n, at, rest)
		case isComplete && at != len(p.events):
			return fmt.Sprintf("attempt %d: complete with %d of %d", n, at, len(p.events))
		case isComplete, p.path == "/fixed/":
			return ""
		}
	}
	return "given up"
}

// take takes the events of a body after those that the caller has, and returns how many it has then, and what is
// none of them.
func (p *streamPlan) take(at int, body string) (int, string) {
	for body != "" {
		isComment := p.comment != "" && strings.HasPrefix(body, p.comment)
		switch {
		case isComment:
			body = body[len(p.comment):]
		case at < len(p.events) && strings.HasPrefix(body, p.events[at]):
			body = body[len(p.events[at]):]
			at++
		default:
			return at, body
		}
	}
	return at, ""
}

// read sends a request and reads its answer slowly.
func (b *testBox) read(r *http.Request, pace time.Duration) callerResponse {
	if pace == 0 {
		return b.do(r)
	}
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10) })
	}}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dialer.DialContext}}
	resp, err := client.Do(r)
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	var body strings.Builder
	for err == nil {
		_, err = io.CopyN(&body, resp.Body, 4<<10)
		time.Sleep(pace)
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return callerResponse{resp.StatusCode, resp.Header, body.String(), err}
}

// Whatever runs leave of a stream, and wherever it goes on, its caller gets each event once, in order, and an answer
// that is complete only with the last one.
func TestPlannedStreams(t *testing.T) {
	s := &planSet{plans: make(map[string]*streamPlan)}
	boxes := s.startBoxes(t)
	turns := make(chan bool, 4)
	var all sync.WaitGroup
	for i := range *planCount {
		seed := *planSeed + uint64(i)
		p, key := newStreamPlan(seed), fmt.Sprint("p", seed)
		s.mu.Lock()
		s.plans[key] = p
		s.mu.Unlock()
		turns <- true
		all.Go(func() {
			defer func() { <-turns }()
			if wrong := p.play(key, boxes); wrong != "" || p.isAskedWrongly {
				t.Errorf("seed %d %s: %s; ids %d; runs:\n%s", seed, p.path, wrong, p.ids, strings.Join(p.runs, "\n"))
			}
		})
	}
	all.Wait()
}

// startBoxes starts two boxes in front of six upstreams.
func (s *planSet) startBoxes(t *testing.T) []*testBox {
	var stubs []*stub
	for i := range 6 {
		stubs = append(stubs, newStub(t, fmt.Sprint("u", i), s.script))
	}
	first, second := startPair(t, stubs...)
	doc := testDocument(2)
	for i := range doc.Routes {
		doc.Routes[i].MaxAttempts = 4
	}
	first.publisher.set("document", doc, false)
	first.waitFor(func() bool { return first.relay.documentVersion() == 2 && second.relay.documentVersion() == 2 })
	first.awaitOriginPeers()
	second.awaitOriginPeers()
	return []*testBox{first, second}
}
