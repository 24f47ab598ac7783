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
	// maxPatience is how long a caller waits at most for a stop before it uses its connection.
	maxPatience = 4 * time.Second
	// useSpan is the time after SIGTERM in which connections are used.
	useSpan = 8500 * time.Millisecond
	// partPause is the longest pause within a request.
	partPause = 1200 * time.Millisecond
	watchStep = 10 * time.Millisecond
	// Time that a request takes at its upstream: for most up to maxWorkMs, for some up to middleWorkMs, and for
	// a few longWorkMs, which exceeds the grace period.
	middleWorkMs, longWorkMs = 1000, 9000
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
			time.Sleep(time.Duration(rand.Int64N(int64(partPause))))
		}
		if i == len(parts)-1 {
			for _, o := range requests {
				c.harness.checker.requestSent(o.id, o.path, o.body, c.box)
				c.harness.held.sent(o.id, c.life, c.harms)
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

// compose returns one or two requests, and the parts in which they are sent.
func (c *heldConn) compose(id string) (parts []string, requests []outgoing) {
	o := newHeldRequest(id)
	switch rand.IntN(5) {
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
		second := newHeldRequest(id + "-behind")
		return []string{formatHeld(o, false) + formatHeld(second, false)}, []outgoing{o, second}
	}
	return []string{formatHeld(o, false)}, []outgoing{o}
}

// newHeldRequest returns a request whose path tells the upstream how long it is to take.
func newHeldRequest(id string) outgoing {
	work := rand.IntN(maxWorkMs)
	switch share := rand.IntN(40); {
	case share == 0:
		work = longWorkMs
	case share < 16:
		work = rand.IntN(middleWorkMs)
	}
	return outgoing{id: id, path: fmt.Sprintf("%s%d/%s", heldPath, work, id), body: strings.Repeat("body of "+id+" ", 1+rand.IntN(100))}
}

// formatHeld returns a request as it is sent.
func formatHeld(o outgoing, isChunked bool) string {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n", o.path, host, protocol.RequestID, o.id,
		protocol.Key, goodKey, protocol.TimeLeft, heldWait.Milliseconds())
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
	_ = c.harness.check(o, resp, string(body), true)
	c.harness.checker.responseReceived(o.id, resp.StatusCode, true)
	c.harness.held.update(o.id, func(r *heldRequest) {
		r.responded, r.refused = true, resp.StatusCode == http.StatusServiceUnavailable
	})
	return !resp.Close
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
	text, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, heldPath), "/")
	work, err := strconv.Atoi(text)
	if err != nil {
		u.harness.checker.reportViolation("%s: path was changed on the way to %s", id, u.id)
	}
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	body := responseBody(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := io.WriteString(w, body); err != nil || http.NewResponseController(w).Flush() != nil {
		return
	}
	record.update(id, func(h *heldRequest) { h.finished = time.Now() })
}
