package soak

// This file defines the simulated callers: each sends requests to one box after another over
// keep-alive connections, and checks every byte of the responses.

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/platform"
)

const (
	defaultCallerPause = 10 * time.Millisecond
	callerWait         = 2500 * time.Millisecond
)

var paths = []string{"/once/", "/safe/", "/flow/", "/fixed/", healthyPath, healthyPath}

// call runs caller n, which sends requests until ctx is done.
func (w *harness) call(ctx context.Context, n int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	defer client.CloseIdleConnections()
	pause := w.cfg.CallerPause
	if pause == 0 {
		pause = defaultCallerPause
	}
	for i := 0; ctx.Err() == nil; i++ {
		b := w.boxes[(n+i/20)%len(w.boxes)]
		w.request(client, b, fmt.Sprintf("r%d-%d", n, i), paths[(n+i)%len(paths)])
		time.Sleep(pause)
	}
}

func newCallerContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callerWait)
}

func (w *harness) request(client *http.Client, b *box, id, path string) {
	ctx, cancel := newCallerContext()
	defer cancel()
	leaves := rand.IntN(25) == 0
	if leaves { // the caller disconnects early
		ctx, cancel = context.WithTimeout(ctx, time.Duration(rand.IntN(40))*time.Millisecond)
		defer cancel()
	}
	o := outgoing{id: id, path: path + id, body: strings.Repeat("body of "+id+" ", 1+rand.IntN(500))}
	isSharing := rand.IntN(2) == 0
	if isSharing && path != healthyPath {
		o.prompt = promptOf(customerPart, firstPart)
	}
	isUndisturbed := !w.fatal.disturbed(b)
	got := w.sendWithin(ctx, client, b, o)
	if isUndisturbed && !leaves && path != healthyPath {
		w.fatal.countSound(b, isSharing, got)
	}
	if isUndisturbed && !leaves && !w.fatal.disturbed(b) {
		w.unframed.received(id, got.whole)
	}
	if path != resumablePath || leaves {
		return
	}
	if isUndisturbed && !w.fatal.disturbed(b) {
		w.streams.attempted(false, len(got.events) > 0)
	}
	if !got.whole && len(got.events) > 0 {
		w.takeUp(client, id, o.path, o.body, got.events)
	}
}

// resumablePath is the path of streams that callers may take up.
const resumablePath = "/flow/"

// outgoing is a request of a caller.
type outgoing struct {
	id, path, body string
	prompt         []balance.Part
	resumes        string        // the id of the request that brought the first event of the stream that it takes up
	isUnnamed      bool          // the caller does not name that request
	after          int           // the last event of that stream that the caller has
	left           time.Duration // how long the caller of a held connection waits
}

// withheldReason is what a box states in its refusal of a request that it withholds.
const withheldReason = "upstreams ended under it"

// received is what a caller received.
type received struct {
	whole    bool            // a whole response
	events   []streamedEvent // of a stream
	withheld bool            // refused because upstreams have crashed under it
}

// send sends a request and checks its response.
func (w *harness) send(client *http.Client, b *box, id, path, body string) {
	ctx, cancel := newCallerContext()
	defer cancel()
	w.sendWithin(ctx, client, b, outgoing{id: id, path: path, body: body})
}

func (w *harness) sendWithin(ctx context.Context, client *http.Client, b *box, o outgoing) received {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.callers+o.path, strings.NewReader(o.body))
	if err != nil {
		w.checker.reportViolation("%s: create request: %v", o.id, err)
		return received{}
	}
	r.GetBody = nil // prevents the transport from resending the request
	r.Host = host
	r.Header.Set(protocol.RequestID, o.id)
	r.Header.Set(protocol.Key, goodKey)
	r.Header.Set(protocol.TimeLeft, fmt.Sprint(callerWait.Milliseconds()))
	if len(o.prompt) > 0 {
		for name, value := range platform.PromptHeaders(o.prompt) {
			r.Header.Set(name, value)
		}
	}
	if o.resumes != "" {
		if !o.isUnnamed {
			r.Header.Set(protocol.Resumes, o.resumes)
		}
		r.Header.Set(protocol.LastEvent, strconv.Itoa(o.after))
	}
	w.checker.requestSent(o.id, o.path, o.body, b)
	resp, err := client.Do(r)
	if err != nil {
		return received{} // a missing response guarantees nothing
	}
	defer func() { _ = resp.Body.Close() }()
	w.recordLimitSeen(b, resp.Header)
	w.recordNotices(o.id, resp.Header)
	got, err := io.ReadAll(resp.Body)
	result := w.check(o, resp, string(got), err == nil)
	w.checker.responseReceived(o.id, resp.StatusCode, err == nil)
	return result
}

// check compares a response with the expected signature and body; a partial body must be a prefix of it.
func (w *harness) check(o outgoing, resp *http.Response, got string, whole bool) received {
	if resp.StatusCode != http.StatusOK {
		return received{withheld: resp.StatusCode == http.StatusServiceUnavailable && strings.Contains(got, withheldReason)}
	}
	if signature := resp.Header.Get(protocol.Signature); !strings.HasSuffix(signature, " "+o.id) {
		w.checker.reportViolation("%s: caller received a response with signature %q", o.id, signature)
	}
	if isStream(o.path) {
		return w.checkStream(o, got, whole)
	}
	want := responseBody(o.id)
	if whole && got != want || !whole && !strings.HasPrefix(want, got) {
		w.checker.reportViolation("%s: response body differs from the expected one (complete: %v, %d bytes of %d): %.200q", o.id, whole, len(got), len(want), got)
	}
	return received{whole: whole}
}

// checkStream checks the events of a stream, of any software version.
func (w *harness) checkStream(o outgoing, got string, whole bool) received {
	events, ok := parseEvents(o.id, o.after+1, got)
	last := o.after + len(events)
	if !ok || last > eventsPerStream || whole && last != eventsPerStream {
		w.checker.reportViolation("%s: response body differs from the expected one (complete: %v, events %d to %d): %.200q", o.id, whole, o.after+1, last, got)
	}
	w.streams.received(cmp.Or(o.resumes, o.id), events)
	return received{whole: whole, events: events}
}
