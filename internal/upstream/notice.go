package upstream

// This file defines the notices that upstreams give in the headers of their answers: that they are leaving, or that they want no
// requests for some time. The invariants: no request is sent to an upstream before the end of the pause that it asked for; and a notice
// of leaving holds until the slots of the upstream have been released. The owner of the set, which receives the notice, decides from
// then on.

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/internal/retryafter"
)

// leavingHold is how long this box, by its own decision, sends nothing to an upstream after a notice of leaving. It is
// longer than slots are kept, and than grants and releases take to arrive.
const leavingHold = 5 * time.Second

// errPaused reports that an upstream has asked for a pause that has not ended.
var errPaused = errors.New("upstream: no requests until the end of the pause that it asked for")

// notice records the latest notices of an upstream, by the boot clock.
type notice struct {
	leavingAt  time.Duration // when it gave notice of leaving; 0: it did not
	pauseUntil time.Duration
}

// parseNotice returns the notice in the headers of an answer.
func parseNotice(resp *fasthttp.Response, now time.Time) decide.AnswerNotice {
	n := decide.AnswerNotice{Leaving: len(resp.Header.Peek(HeaderLeaving)) > 0}
	value := resp.Header.Peek(fasthttp.HeaderRetryAfter)
	if resp.StatusCode() != fasthttp.StatusServiceUnavailable || len(value) == 0 {
		return n
	}
	pause, err := retryafter.Parse(string(value), string(resp.Header.Peek(fasthttp.HeaderDate)), now)
	if err == nil {
		n.Pause = pause
	}
	return n
}

// recordNotice records the notice in the headers of an answer, and returns it.
func (h *HTTP) recordNotice(address string, resp *fasthttp.Response) decide.AnswerNotice {
	n := parseNotice(resp, time.Now())
	if !n.HasContent() {
		return n
	}
	now := h.cfg.Clock.Boot()
	h.mu.Lock()
	defer h.mu.Unlock()
	latest := h.notices[address]
	if n.Leaving {
		latest.leavingAt = now
	}
	latest.pauseUntil = max(latest.pauseUntil, now+n.Pause)
	h.notices[address] = latest
	return n
}

// activeNotice returns the notice for which no request may be sent to an upstream now. It is empty if requests may be sent.
func (h *HTTP) activeNotice(address string) decide.AnswerNotice {
	h.mu.Lock()
	defer h.mu.Unlock()
	latest, known := h.notices[address]
	if !known {
		return decide.AnswerNotice{}
	}
	now := h.cfg.Clock.Boot()
	n := decide.AnswerNotice{Leaving: latest.leavingAt > 0 && now-latest.leavingAt < leavingHold, Pause: max(0, latest.pauseUntil-now)}
	if n.Leaving {
		n.Age = now - latest.leavingAt
	}
	if !n.HasContent() {
		delete(h.notices, address)
	}
	return n
}
