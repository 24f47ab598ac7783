package upstream

// This file defines the adapter for upstreams that speak HTTP: fasthttp writes
// requests and reads answers, on connections that this file owns, so that it is
// known whether a byte has left and a cancel can close a connection at once.

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/internal/timer"
)

// Headers that upstreams know.
const (
	HeaderID       = "X-Request-Id"
	HeaderKey      = "Idempotency-Key"
	HeaderPriority = "X-Priority"
	HeaderFrom     = "X-Resume-From"
	HeaderResume   = "X-Resume"
	HeaderRan      = "X-Ran" // "no" in a refusal: the upstream did not run it
	HeaderLeaving  = "X-Leaving"
)

const (
	maxIdle  = 16 // idle connections kept for an upstream
	maxEvent = 64 << 10
	// The buffers of a connection are small, since thousands are open at once; a
	// long body or event passes through them in pieces.
	readBuffer   = 4 << 10
	writeBuffer  = 1 << 10
	lineBuffer   = 2 << 10
	endMark      = "[DONE]"
	finishPaused = "paused" // the mark of an answer that was paused
)

// HTTPConfig configures an HTTP runner.
type HTTPConfig struct {
	Clock       timer.Clock
	DialTimeout time.Duration
	CallTimeout time.Duration // for control calls
	MaxAnswer   int           // bytes of a plain service's answer
	MaxSilence  time.Duration // an upstream silent for longer is taken for dead
}

// HTTP runs calls over HTTP. It is safe for several goroutines.
type HTTP struct {
	cfg    HTTPConfig
	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
	seq    map[string]uint64 // last cache event seen, by address
	said   map[string]heard  // by address
}

var _ Runner = (*HTTP)(nil)

// NewHTTP returns a runner.
func NewHTTP(cfg HTTPConfig) *HTTP {
	return &HTTP{cfg: cfg, idle: make(map[string][]*conn), seq: make(map[string]uint64), said: make(map[string]heard)}
}

// Close closes the idle connections.
func (h *HTTP) Close() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for _, list := range h.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	h.idle = nil
	return nil
}

// Run runs a call.
func (h *HTTP) Run(ctx context.Context, c Call, s Sink) cell.Result {
	run := &run{call: c, sink: s, tokens: c.From}
	open := h.open
	if c.Fresh {
		open = h.dial
	}
	if s := h.quiet(c.Address); s.Any() {
		return cell.Result{Outcome: decide.Unused, Tokens: c.From, Notice: s}
	}
	k, err := open(ctx, c.Address)
	if err != nil {
		if ctx.Err() != nil {
			return cell.Result{Outcome: decide.Unused, Tokens: c.From}
		}
		return cell.Result{Outcome: decide.Failed, Tokens: c.From}
	}
	said := h.quiet(c.Address) // it may have said something while the connection came up
	if said.Any() || h.cfg.Clock.Boot() > c.StartBy || ctx.Err() != nil || !s.Sending() {
		h.put(c.Address, k)
		return cell.Result{Outcome: decide.Unused, Tokens: c.From, Notice: said}
	}
	// Closing the connection is what wakes a blocked read when ctx ends.
	stop := context.AfterFunc(ctx, func() { _ = k.Close() })
	r := h.runOn(k, run)
	r.Tokens, r.Notice = run.tokens, run.said
	r.Pace = run.pace(h.cfg.Clock.Boot())
	if run.first > 0 {
		r.First = run.first - run.sent
	}
	if stop() && run.clean {
		h.put(c.Address, k)
		return r
	}
	_ = k.Close()
	if ctx.Err() != nil && !run.whole {
		r.Outcome = decide.Abandoned
		if !c.Plain {
			h.cancelLater(c.Address, c.ID)
		}
	}
	if r.Outcome == decide.Failed && r.Ran && !r.Refused && ctx.Err() == nil {
		r.UpstreamCrashed = h.hasEnded(ctx, c.Address)
	}
	return r
}

// hasEnded reports whether nobody listens at the address of an upstream that did not answer.
func (h *HTTP) hasEnded(ctx context.Context, address string) bool {
	k, err := h.dial(ctx, address)
	if err == nil {
		_ = k.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// cancelLater makes sure that an upstream which does not notice the closed
// connection stops as well.
func (h *HTTP) cancelLater(address, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), h.cfg.CallTimeout)
	defer cancel()
	_ = h.Cancel(ctx, address, id)
}

// run is the state of one call.
type run struct {
	call   Call
	sink   Sink
	tokens int
	sent   time.Duration       // when the first byte left
	first  time.Duration       // when the first token came
	whole  bool                // the end mark was seen
	clean  bool                // the connection can be used again
	said   decide.AnswerNotice // by the upstream, in its answer
}

// pace is the mean time for one token.
func (r *run) pace(now time.Duration) time.Duration {
	n := r.tokens - r.call.From - 1
	if r.first == 0 || n < 4 {
		return 0
	}
	return (now - r.first) / time.Duration(n)
}

func (h *HTTP) runOn(k *conn, r *run) cell.Result {
	failed := cell.Result{Outcome: decide.Failed, Ran: true}
	r.sent = h.cfg.Clock.Boot()
	if err := writeRequest(k, r.call); err != nil {
		return failed
	}
	_ = k.SetReadDeadline(time.Now().Add(h.cfg.MaxSilence))
	var resp fasthttp.Response
	resp.StreamBody = true
	if err := resp.ReadLimitBody(k.r, 0); err != nil && !errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return failed
	}
	defer func() { _ = resp.CloseBodyStream() }()
	r.said = h.note(r.call.Address, &resp)
	if r.call.Plain {
		return h.readWhole(&resp, r)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		refused := string(resp.Header.Peek(HeaderRan)) == "no"
		return cell.Result{Outcome: decide.Failed, Ran: !refused, Refused: refused}
	}
	return h.readStream(k, &resp, r)
}

func writeRequest(k *conn, c Call) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(c.Method)
	req.SetRequestURI("http://" + c.Address + c.Path)
	req.Header.SetContentType(c.Type)
	req.Header.Set(HeaderID, c.ID)
	req.Header.Set(HeaderPriority, strconv.Itoa(c.Priority))
	if c.Key != "" {
		req.Header.Set(HeaderKey, c.Key)
	}
	if c.From > 0 {
		req.Header.Set(HeaderFrom, strconv.Itoa(c.From))
	}
	if c.Resume {
		req.Header.Set(HeaderResume, "1")
	}
	req.SetBodyRaw(c.Body)
	if err := req.Write(k.w); err != nil {
		return err
	}
	return k.w.Flush()
}
