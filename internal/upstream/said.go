package upstream

// This file defines what upstreams say of themselves in their answers, by address. The invariants: nothing is sent to an upstream that
// has asked for a pause before its end, whatever a request waited for; and what one that is leaving said is believed until its slots
// have been given back, after which the owner of the set, who is told, decides.

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/internal/retryafter"
)

// leavingFor is how long this box by itself sends nothing to an upstream that said that it is leaving: longer than slots are kept, and
// than grants and releases are on their way.
const leavingFor = 5 * time.Second

// errPaused says that an upstream wants no requests for now.
var errPaused = errors.New("upstream: it asks for a pause")

// heard is what an upstream said.
type heard struct {
	leavingAt time.Duration // 0: it did not
	pauseTill time.Duration
}

// saidIn reads what an answer says of its upstream.
func saidIn(resp *fasthttp.Response, now time.Time) decide.AnswerNotice {
	s := decide.AnswerNotice{Leaving: len(resp.Header.Peek(HeaderLeaving)) > 0}
	value := resp.Header.Peek(fasthttp.HeaderRetryAfter)
	if resp.StatusCode() != fasthttp.StatusServiceUnavailable || len(value) == 0 {
		return s
	}
	length, err := retryafter.Parse(string(value), string(resp.Header.Peek(fasthttp.HeaderDate)), now)
	if err == nil {
		s.Pause = length
	}
	return s
}

// note notes what an answer says, and returns it.
func (h *HTTP) note(address string, resp *fasthttp.Response) decide.AnswerNotice {
	s := saidIn(resp, time.Now())
	if !s.Any() {
		return s
	}
	now := h.cfg.Clock.Boot()
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.said[address]
	if s.Leaving {
		x.leavingAt = now
	}
	x.pauseTill = max(x.pauseTill, now+s.Pause)
	h.said[address] = x
	return s
}

// quiet is what an upstream said for which nothing is sent to it now; nothing where it may be sent to.
func (h *HTTP) quiet(address string) decide.AnswerNotice {
	h.mu.Lock()
	defer h.mu.Unlock()
	x, known := h.said[address]
	if !known {
		return decide.AnswerNotice{}
	}
	now := h.cfg.Clock.Boot()
	s := decide.AnswerNotice{Leaving: x.leavingAt > 0 && now-x.leavingAt < leavingFor, Pause: max(0, x.pauseTill-now)}
	if s.Leaving {
		s.Age = now - x.leavingAt
	}
	if !s.Any() {
		delete(h.said, address)
	}
	return s
}
