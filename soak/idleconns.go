package soak

// This file defines callers that hold connections: opened in advance, kept after a response, in the middle of a
// request, or with a second request behind the first. They use them at random moments around the planned stop of
// a box, until its process is gone.
//
// Invariant: each connection leads to one known process of a box.

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	heldPath = "/held/"
	// heldStreamPath begins the path of a stream, whose events are spread over the time that it takes.
	heldStreamPath = heldPath + "stream/"
	// maxPatience is how long a caller waits at most for a stop before it uses its connection.
	maxPatience = 4 * time.Second
	// useSpan is the time after SIGTERM in which connections are used.
	useSpan = 8500 * time.Millisecond
	// partPause is the longest pause within a request.
	partPause = 1200 * time.Millisecond
	watchStep = 10 * time.Millisecond
	// Time that a request takes at its upstream: for most up to maxWorkMs, for some up to middleWorkMs, and for
	// a few that are no streams longWorkMs, which exceeds the grace period. Those that are sent to a box that is
	// stopping take up to grownWorkMs.
	middleWorkMs, longWorkMs, grownWorkMs = 1000, 9000, 6000
	// briefWait is how long the callers of one request in four wait: less than a late one has until its box ends.
	briefWait = 1500 * time.Millisecond
)

// heldConn is a connection that a caller holds.
type heldConn struct {
	harness *harness
	box     *box
	life    *life
	harms   int64
	conn    net.Conn
	reader  *bufio.Reader
}

// hold runs holder n, which opens one connection after another until ctx is done.
func (w *harness) hold(ctx context.Context, n int) {
	requests, next := 0, n
	for ctx.Err() == nil {
		c := w.openHeld(w.boxes[next%len(w.boxes)])
		if c == nil {
			next++
			time.Sleep(watchStep)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
		for c.awaitMoment(ctx) {
			requests++
			if !c.use(ctx, fmt.Sprintf("h%d-%d", n, requests)) {
				break
			}
		}
		stop()
		_ = c.conn.Close()
		if c.life.terminated.Load() == nil {
			next++ // a stopping box is used until it no longer accepts connections
		}
	}
}

// openHeld opens a connection to a box; nil if there is none or its process is not known.
func (w *harness) openHeld(b *box) *heldConn {
	l := b.life.Load()
	if l == nil || l.frozen.Load() {
		return nil
	}
	harms := l.harms.Load()
	conn, err := net.DialTimeout("tcp", b.callers, time.Second)
	if err != nil {
		return nil
	}
	if b.life.Load() != l {
		_ = conn.Close()
		return nil
	}
	return &heldConn{harness: w, box: b, life: l, harms: harms, conn: conn, reader: bufio.NewReader(conn)}
}

// awaitMoment waits until the connection is to be used; false if it was closed before that.
func (c *heldConn) awaitMoment(ctx context.Context) bool {
	at, isStopping := time.Now().Add(time.Duration(rand.Int64N(int64(maxPatience)))), false
	for ctx.Err() == nil && time.Now().Before(at) {
		if stopped := c.life.terminated.Load(); stopped != nil && !isStopping {
			at, isStopping = momentAfter(*stopped), true
		}
		if !c.isOpen() {
			return false
		}
	}
	return ctx.Err() == nil
}

// momentAfter returns a random time from now until useSpan after a box was asked to stop.
func momentAfter(stopped time.Time) time.Time {
	left := max(1, useSpan-time.Since(stopped))
	return time.Now().Add(time.Duration(rand.Int64N(int64(left))))
}

// isOpen waits for watchStep and reports whether the box has neither closed the connection nor sent anything.
func (c *heldConn) isOpen() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(watchStep))
	_, err := c.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// use sends one or two requests and reads their responses; false if the connection has ended.
func (c *heldConn) use(ctx context.Context, id string) bool {
	parts, requests := c.compose(id)
	for i, part := range parts {
		if i > 0 {
			c.pause()
		}
		if i == len(parts)-1 {
			for _, o := range requests {
				c.harness.checker.requestSent(o.id, o.path, o.body, c.box)
				c.harness.held.sent(o.id, o.left, c.life, c.harms)
			}
		}
		if _, err := io.WriteString(c.conn, part); err != nil {
			break // a response may have arrived
		}
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(heldWait))
	for _, o := range requests {
		if keeps := c.receive(ctx, o); !keeps {
			for _, rest := range requests {
				c.markCut(ctx, rest.id)
			}
			return false
		}
	}
	return true
}

// pause waits within a request: for a short time, or until a random moment after its box was asked to stop.
func (c *heldConn) pause() {
	wait := time.Duration(rand.Int64N(int64(partPause)))
	if stopped := c.life.terminated.Load(); stopped != nil && rand.IntN(4) > 0 {
		wait = time.Until(momentAfter(*stopped))
	}
	time.Sleep(wait)
}

// compose returns one or two requests, and the parts in which they are sent.
func (c *heldConn) compose(id string) (parts []string, requests []outgoing) {
	isStopping := c.life.terminated.Load() != nil
	o := newHeldRequest(id, isStopping)
	kind := rand.IntN(5)
	if isStopping {
		kind = rand.IntN(3) // most that arrive late have begun before
	}
	switch kind {
	case 0: // slow header
		text := formatHeld(o, false)
		n := 1 + rand.IntN(strings.Index(text, "\r\n\r\n")+2)
		return []string{text[:n], text[n:]}, []outgoing{o}
	case 1: // slow body in chunks
		text := formatHeld(o, true)
		n := strings.Index(text, "\r\n\r\n") + 4
		m := n + rand.IntN(len(text)-n)
		return []string{text[:n], text[n:m], text[m:]}, []outgoing{o}
	case 2: // a second request behind the first
		second := newHeldRequest(id+"-behind", isStopping)
		return []string{formatHeld(o, false) + formatHeld(second, false)}, []outgoing{o, second}
	}
	return []string{formatHeld(o, false)}, []outgoing{o}
}

// newHeldRequest returns a request whose path tells the upstream how long it is to take.
func newHeldRequest(id string, isStopping bool) outgoing {
	prefix := heldPath
	if rand.IntN(2) == 0 {
		prefix = heldStreamPath
	}
	work := rand.IntN(maxWorkMs)
	switch share := rand.IntN(40); {
	case isStopping && share < 20:
		work = rand.IntN(grownWorkMs)
	case share == 0 && prefix == heldPath:
		work = longWorkMs
	case share < 16:
		work = rand.IntN(middleWorkMs)
	}
	o := outgoing{id: id, left: heldWait, body: strings.Repeat("body of "+id+" ", 1+rand.IntN(100))}
	if rand.IntN(4) == 0 {
		o.left = briefWait
	}
	o.path = fmt.Sprintf("%s%d/%s", prefix, work, id)
	return o
}

// formatHeld returns a request as it is sent.
func formatHeld(o outgoing, isChunked bool) string {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n", o.path, host, protocol.RequestID, o.id,
		protocol.Key, goodKey, protocol.TimeLeft, o.left.Milliseconds())
	if !isChunked {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(o.body), o.body)
	}
	half := len(o.body) / 2
	return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", head, half, o.body[:half], len(o.body)-half, o.body[half:])
}

// receive reads and checks a response; false if the connection ends with it or without it.
func (c *heldConn) receive(ctx context.Context, o outgoing) bool {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	if ctx.Err() != nil || err != nil {
		return false
	}
	if strings.HasPrefix(o.path, heldStreamPath) {
		c.checkStream(o, resp, string(body))
	} else {
		_ = c.harness.check(o, resp, string(body), true)
	}
	c.harness.checker.responseReceived(o.id, resp.StatusCode, true)
	c.harness.held.update(o.id, func(r *heldRequest) {
		r.responded, r.refused, r.failed = true, resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusBadGateway
	})
	return !resp.Close
}

// checkStream checks a stream that ended as whole.
func (c *heldConn) checkStream(o outgoing, resp *http.Response, got string) {
	if resp.StatusCode == http.StatusOK && got != heldEvents(o.id, 1, eventsPerStream) {
		c.harness.checker.reportViolation("%s: stream ended as whole, but differs from the expected one (%d bytes): %.200q", o.id, len(got), got)
	}
}

// heldEvents returns some events of the stream of a request.
func heldEvents(id string, first, last int) string {
	var events strings.Builder
	for n := first; n <= last; n++ {
		events.WriteString(streamEvent(id, n, ""))
	}
	return events.String()
}

// markCut records that the connection of a request has ended, unless the run has or the request got its response.
func (c *heldConn) markCut(ctx context.Context, id string) {
	now := time.Now()
	if ctx.Err() != nil {
		return
	}
	c.harness.held.update(id, func(r *heldRequest) {
		if !r.responded {
			r.cutAt = now
		}
	})
}

// runHeld runs a request of a held connection.
func (u *upstream) runHeld(w http.ResponseWriter, r *http.Request, id string) {
	record := u.harness.held
	record.update(id, func(h *heldRequest) { h.reached = true })
	path, isStream := strings.CutPrefix(r.URL.Path, heldStreamPath)
	text, _, _ := strings.Cut(strings.TrimPrefix(path, heldPath), "/")
	work, err := strconv.Atoi(text)
	if err != nil {
		u.harness.checker.reportViolation("%s: path was changed on the way to %s", id, u.id)
	}
	took := time.Duration(work) * time.Millisecond
	parts := []string{responseBody(id)}
	if isStream {
		w.Header().Set("Content-Type", "text/event-stream")
		parts = parts[:0]
		for n := range eventsPerStream {
			parts = append(parts, heldEvents(id, n+1, n+1))
		}
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(len(parts[0])))
	}
	for _, part := range parts {
		select {
		case <-time.After(took / time.Duration(len(parts))):
		case <-r.Context().Done():
			return
		}
		if _, err := io.WriteString(w, part); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
	}
	record.update(id, func(h *heldRequest) { h.finished = time.Now() })
}
