package soak

// This file defines the callers: each keeps its connection as long as it can, to one
// box after another, and checks every byte that it gets.

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
	callerPause = 10 * time.Millisecond
	callerWait  = 2500 * time.Millisecond
)

var paths = []string{"/once/", "/safe/", "/flow/", "/fixed/", soundPath, soundPath}

// call sends requests until ctx ends.
func (w *world) call(ctx context.Context, n int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		b := w.boxes[(n+i/20)%len(w.boxes)]
		w.request(client, b, fmt.Sprintf("r%d-%d", n, i), paths[(n+i)%len(paths)])
		time.Sleep(callerPause)
	}
}

func (w *world) request(client *http.Client, b *box, id, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), callerWait)
	defer cancel()
	if rand.IntN(25) == 0 { // it leaves early
		ctx, cancel = context.WithTimeout(ctx, time.Duration(rand.IntN(40))*time.Millisecond)
		defer cancel()
	}
	w.sendWithin(ctx, client, b, id, path+id, strings.Repeat("body of "+id+" ", 1+rand.IntN(500)))
}

// send sends a request and checks its answer.
func (w *world) send(client *http.Client, b *box, id, path, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), callerWait)
	defer cancel()
	w.sendWithin(ctx, client, b, id, path, body)
}

func (w *world) sendWithin(ctx context.Context, client *http.Client, b *box, id, path, body string) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.callers+path, strings.NewReader(body))
	if err != nil {
		w.ledger.violate("%s: %v", id, err)
		return
	}
	r.GetBody = nil // the transport must not send it a second time by itself
	r.Host = host
	r.Header.Set(words.RequestID, id)
	r.Header.Set(words.Key, goodKey)
	r.Header.Set(words.TimeLeft, fmt.Sprint(callerWait.Milliseconds()))
	w.ledger.asked(id, path, body, b)
	resp, err := client.Do(r)
	if err != nil {
		return // no answer promises nothing
	}
	defer func() { _ = resp.Body.Close() }()
	w.noteTold(b, resp.Header)
	w.notePassedOn(id, resp.Header)
	got, err := io.ReadAll(resp.Body)
	w.check(id, path, resp, string(got), err == nil)
	w.ledger.told(id, resp.StatusCode, err == nil)
}

// check checks an answer that a caller got.
func (w *world) check(id, path string, resp *http.Response, got string, whole bool) {
	if resp.StatusCode != http.StatusOK {
		return
	}
	if sign := resp.Header.Get(words.Signature); !strings.HasSuffix(sign, " "+id) {
		w.ledger.violate("%s: it got the answer signed %q", id, sign)
	}
	want := bodyOf(id)
	if isStream(path) {
		want = ""
		for n := 1; n <= eventsOfStream; n++ {
			want += eventOf(id, n)
		}
	}
	if whole && got != want || !whole && !strings.HasPrefix(want, got) {
		w.ledger.violate("%s: whole %v, %d bytes of %d, not its own answer: %.200q", id, whole, len(got), len(want), got)
	}
}
