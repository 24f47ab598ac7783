package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/platform"
)

// impatientUpstream sends long answers in all framings, and gives one up that is not read: it closes the connection in
// order and runs on.
type impatientUpstream struct {
	startedAt int64
	patience  time.Duration
	pieces    int           // of an answer
	pause     time.Duration // between two pieces
	reportsIn time.Duration // how long a report takes
	begun     atomic.Int64  // answers
	gaveUp    atomic.Int64
}

// longPiece returns the nth piece of a long answer, an event.
func longPiece(n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 400))
}

// ServeHTTP implements http.Handler.
func (u *impatientUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if call := protocol.ReportCall(); r.Method == call.Method && r.URL.Path == call.Path {
		time.Sleep(u.reportsIn)
		body, _ := platform.EncodeReport(u.startedAt, nil)
		_, _ = w.Write(body)
		return
	}
	_, _ = io.ReadAll(r.Body)
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetWriteBuffer(32 << 10)
	}
	u.begun.Add(1)
	f := framingOf(r.URL.Path)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nConnection: close\r\n%s", protocol.RequestID, r.Header.Get(protocol.RequestID), protocol.Signature, f.header(u))
	if isStream(r.URL.Path) {
		head += "Content-Type: text/event-stream\r\n"
	}
	_, _ = io.WriteString(c, head+"\r\n")
	for n := range u.pieces {
		time.Sleep(u.pause)
		if !u.sendPiece(c, f.frame(longPiece(n+1))) {
			u.gaveUp.Add(1)
			return
		}
	}
	_, _ = io.WriteString(c, f.frame(""))
}

// framing is what marks the end of a long answer.
type framing int

const (
	framedByClose framing = iota
	framedByChunks
	framedByLength
	framings
)

// framingOf returns the framing of the answer to the nth request with a path.
func framingOf(path string) framing {
	return framing(path[len(path)-1]) % framings
}

// header returns the header line of the framing.
func (f framing) header(u *impatientUpstream) string {
	switch f {
	case framedByChunks:
		return "Transfer-Encoding: chunked\r\n"
	case framedByLength:
		return fmt.Sprintf("Content-Length: %d\r\n", len(u.answer()))
	}
	return ""
}

// frame returns a piece as it is sent; the empty one ends the answer.
func (f framing) frame(piece string) string {
	if f == framedByChunks {
		return fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	}
	return piece
}

// answer returns the body of a whole answer.
func (u *impatientUpstream) answer() string {
	var b strings.Builder
	for n := range u.pieces {
		b.WriteString(longPiece(n + 1))
	}
	return b.String()
}

// sendPiece sends a piece, and reports whether it was taken in time.
func (u *impatientUpstream) sendPiece(c net.Conn, piece string) bool {
	_ = c.SetWriteDeadline(time.Now().Add(u.patience))
	n, err := io.WriteString(c, piece)
	if err == nil {
		return true
	}
	if n > 0 { // it ends the piece
		_ = c.SetWriteDeadline(time.Now().Add(10 * time.Second))
		_, _ = io.WriteString(c, piece[n:])
	}
	return false
}

// startImpatient starts and publishes an upstream.
func (w *harness) startImpatient(t *testing.T, u *impatientUpstream) {
	t.Helper()
	is := is.New(t)
	l, err := w.listen(120)
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = http.Serve(l, u) }()
	it, err := platform.UpstreamItem(balance.Upstream{ID: "impatient", StartedAt: u.startedAt, Service: service, Address: l.Addr().String(), Domain: domain(0), Slots: 32, Software: softwareVersions[0]})
	is.NoErr(err)
	w.store.Put(it)
	w.document.Version++
	for i := range w.document.Routes {
		w.document.Routes[i].Timeout = heldWait
	}
	is.NoErr(w.publish())
	time.Sleep(time.Second) // the boxes read both
}

// longAnswer is what a caller has of a long answer.
type longAnswer struct {
	path   string
	status int
	body   string
	err    error
}

// callLong sends a request to a box.
func (w *harness) callLong(b *box, id, path string) (a longAnswer) {
	a.path = path
	ctx, cancel := context.WithTimeout(context.Background(), heldWait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.callers+path+id, nil)
	if err != nil {
		a.err = err
		return a
	}
	r.Host = host
	r.Header.Set(protocol.RequestID, id)
	r.Header.Set(protocol.Key, goodKey)
	r.Header.Set(protocol.TimeLeft, fmt.Sprint(heldWait.Milliseconds()))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return longAnswer{path, resp.StatusCode, string(body), err}
}

// callFrozen sends requests to a box that stands still amid their answers.
func (w *harness) callFrozen(b *box, u *impatientUpstream, name string, spell time.Duration) []longAnswer {
	var all sync.WaitGroup
	paths := []string{"/fixed/", "/once/", "/flow/"}
	answers := make([]longAnswer, 2*len(paths)*int(framings))
	begun := u.begun.Load() + int64(len(answers))
	for i := range answers {
		all.Go(func() {
			answers[i] = w.callLong(b, fmt.Sprint(name, "-", i%len(paths), "-", i/len(paths)), paths[i%len(paths)])
		})
	}
	for until := time.Now().Add(5 * time.Second); u.begun.Load() < begun && time.Now().Before(until); {
		time.Sleep(watchStep)
	}
	time.Sleep(300 * time.Millisecond) // amid the answers
	b.signal(syscall.SIGSTOP)
	time.Sleep(spell)
	b.signal(syscall.SIGCONT)
	all.Wait()
	return answers
}

// countWhole returns how many answers are whole, and fails the test for those that look whole and are not.
func (u *impatientUpstream) countWhole(t *testing.T, answers []longAnswer) (whole int) {
	t.Helper()
	want := u.answer()
	for _, a := range answers {
		switch {
		case a.err != nil || a.status != http.StatusOK:
			t.Logf("%s: %d %v, %d bytes %.80q", a.path, a.status, a.err, len(a.body), a.body)
		case a.body == want:
			whole++
		default:
			t.Errorf("%s: looks whole with %d of %d bytes", a.path, len(a.body), len(want))
		}
	}
	return whole
}

var standstills = []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 5 * time.Second}

// A box stood still while an upstream that runs on gave up an answer without a length that the box did not read: its
// caller got the part before as the whole answer.
func TestAnswerGivenUpWhileBoxStoodStillIsNotWhole(t *testing.T) {
	w := startHarness(t, buildDaemon(t), 121, 0)
	u := &impatientUpstream{startedAt: time.Now().UnixMilli(), patience: 700 * time.Millisecond, pieces: 3000, pause: time.Millisecond}
	w.startImpatient(t, u)
	for n, spell := range standstills {
		t.Run(spell.String(), func(t *testing.T) {
			before := u.gaveUp.Load()
			whole := u.countWhole(t, w.callFrozen(w.boxes[n%3], u, fmt.Sprint("r", n), spell))
			t.Logf("%d whole, %d given up by the upstream", whole, u.gaveUp.Load()-before)
		})
	}
	is.New(t).True(u.gaveUp.Load() > 0)
}

// Sound answers without a length that ended while a box stood still were broken off.
func TestSoundAnswerThatEndsWhileBoxStandsStillIsWhole(t *testing.T) {
	w := startHarness(t, buildDaemon(t), 122, 0)
	u := &impatientUpstream{startedAt: time.Now().UnixMilli(), patience: heldWait, pieces: 25, pause: 40 * time.Millisecond}
	w.startImpatient(t, u)
	for n, spell := range standstills {
		t.Run(spell.String(), func(t *testing.T) {
			answers := w.callFrozen(w.boxes[n%3], u, fmt.Sprint("r", n), spell)
			is.New(t).Equal(u.countWhole(t, answers), len(answers))
		})
	}
}

// A box stood still while it asked upstreams whether they had ended their answers: its calls had timed out when it went
// on, and sound answers were broken off.
func TestAnswerIsWholeIfBoxStoodStillWhileItAskedUpstream(t *testing.T) {
	w := startHarness(t, buildDaemon(t), 127, 0)
	u := &impatientUpstream{startedAt: time.Now().UnixMilli(), patience: heldWait, pieces: 5, reportsIn: 600 * time.Millisecond}
	w.startImpatient(t, u)
	for n, spell := range standstills {
		t.Run(spell.String(), func(t *testing.T) {
			answers := w.callFrozen(w.boxes[n%3], u, fmt.Sprint("r", n), spell)
			is.New(t).Equal(u.countWhole(t, answers), len(answers))
		})
	}
}

// Upstream processes were killed while a box stood still, and something else listened at their addresses when it went
// on: no caller gets what broke off as complete.
func TestAnswersOfUpstreamsKilledWhileBoxStandsStillDoNotLookWhole(t *testing.T) {
	daemon := buildDaemon(t)
	for i, life := range nextLives {
		t.Run(life.name, func(t *testing.T) {
			w := startHarness(t, daemon, 123+i, 0)
			processes := w.startProcesses(t, 3)
			ctx, stop := context.WithCancel(context.Background())
			var callers sync.WaitGroup
			for n := range 24 {
				callers.Go(func() { w.call(ctx, n) })
			}
			for n := range 4 {
				w.awaitAnswers(60)
				frozen := w.boxes[n%3]
				frozen.signal(syscall.SIGSTOP)
				ends := time.Now().Add(standstills[n%2])
				processes[n%3] = w.replaceProcess(t, processes[n%3], life)
				time.Sleep(time.Until(ends))
				frozen.signal(syscall.SIGCONT)
			}
			stop()
			callers.Wait()
			report := w.report()
			t.Log(report)
			is.New(t).Equal(len(report.Violations), 0) // see the log above
		})
	}
}
