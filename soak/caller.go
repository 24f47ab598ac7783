package soak

// This file defines the simulated callers: each sends requests to one box after another over
// keep-alive connections, and checks every byte of the responses.

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
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

func (w *harness) request(client *http.Client, b *box, id, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), callerWait)
	defer cancel()
	if rand.IntN(25) == 0 { // the caller disconnects early
		ctx, cancel = context.WithTimeout(ctx, time.Duration(rand.IntN(40))*time.Millisecond)
		defer cancel()
	}
	w.sendWithin(ctx, client, b, id, path+id, strings.Repeat("body of "+id+" ", 1+rand.IntN(500)))
}

// send sends a request and checks its response.
func (w *harness) send(client *http.Client, b *box, id, path, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), callerWait)
	defer cancel()
	w.sendWithin(ctx, client, b, id, path, body)
}

func (w *harness) sendWithin(ctx context.Context, client *http.Client, b *box, id, path, body string) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.callers+path, strings.NewReader(body))
	if err != nil {
		w.checker.reportViolation("%s: create request: %v", id, err)
		return
	}
	r.GetBody = nil // prevents the transport from resending the request
	r.Host = host
	r.Header.Set(protocol.RequestID, id)
	r.Header.Set(protocol.Key, goodKey)
	r.Header.Set(protocol.TimeLeft, fmt.Sprint(callerWait.Milliseconds()))
	w.checker.requestSent(id, path, body, b)
	resp, err := client.Do(r)
	if err != nil {
		return // a missing response guarantees nothing
	}
	defer func() { _ = resp.Body.Close() }()
	w.recordLimitSeen(b, resp.Header)
	w.recordNotices(id, resp.Header)
	got, err := io.ReadAll(resp.Body)
	w.check(id, path, resp, string(got), err == nil)
	w.checker.responseReceived(id, resp.StatusCode, err == nil)
}

// check compares a response with the expected signature and body; a partial body must be a prefix of it.
func (w *harness) check(id, path string, resp *http.Response, got string, whole bool) {
	if resp.StatusCode != http.StatusOK {
		return
	}
	if signature := resp.Header.Get(protocol.Signature); !strings.HasSuffix(signature, " "+id) {
		w.checker.reportViolation("%s: caller received a response with signature %q", id, signature)
	}
	want := responseBody(id)
	if isStream(path) {
		want = ""
		for n := 1; n <= eventsPerStream; n++ {
			want += streamEvent(id, n)
		}
	}
	if whole && got != want || !whole && !strings.HasPrefix(want, got) {
		w.checker.reportViolation("%s: response body differs from the expected one (complete: %v, %d bytes of %d): %.200q", id, whole, len(got), len(want), got)
	}
}
