package upstream

// This file defines the adapter for upstreams that speak HTTP: fasthttp writes
// requests and reads answers, on connections that this file owns, so that it is
// known whether a byte has left and a cancel can close a connection at once.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
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
}

var _ Runner = (*HTTP)(nil)

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	r      *bufio.Reader
	w      *bufio.Writer
	reused bool
}

// NewHTTP returns a runner.
func NewHTTP(cfg HTTPConfig) *HTTP {
	return &HTTP{cfg: cfg, idle: make(map[string][]*conn), seq: make(map[string]uint64)}
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

func (h *HTTP) get(ctx context.Context, address string) (*conn, error) {
	h.mu.Lock()
	if list := h.idle[address]; len(list) > 0 {
		c := list[len(list)-1]
		h.idle[address] = list[:len(list)-1]
		h.mu.Unlock()
		c.reused = true
		return c, nil
	}
	h.mu.Unlock()
	return h.dial(ctx, address)
}

func (h *HTTP) dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{Timeout: h.cfg.DialTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, r: bufio.NewReaderSize(c, readBuffer), w: bufio.NewWriterSize(c, writeBuffer)}, nil
}

// put keeps a connection whose answer was read to its end.
func (h *HTTP) put(address string, c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || len(h.idle[address]) >= maxIdle || c.r.Buffered() > 0 {
		_ = c.Close()
		return
	}
	h.idle[address] = append(h.idle[address], c)
}

// alive reports whether an idle connection is still open: the upstream has
// neither closed it nor sent anything that nobody asked for.
func (c *conn) alive() bool {
	_ = c.SetReadDeadline(time.Unix(1, 0))
	_, err := c.r.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// open returns a connection that is known to be open, so that a failure after
// this has to do with the request.
func (h *HTTP) open(ctx context.Context, address string) (*conn, error) {
	for {
		c, err := h.get(ctx, address)
		if err != nil || !c.reused || c.alive() {
			return c, err
		}
		_ = c.Close()
	}
}

// Run runs a call.
func (h *HTTP) Run(ctx context.Context, c Call, s Sink) cell.Result {
	run := &run{call: c, sink: s, tokens: c.From}
	k, err := h.open(ctx, c.Address)
	if err != nil {
		if ctx.Err() != nil {
			return cell.Result{Outcome: decide.Unused, Tokens: c.From}
		}
		return cell.Result{Outcome: decide.Failed, Tokens: c.From}
	}
	if h.cfg.Clock.Boot() > c.StartBy || ctx.Err() != nil || !s.Sending() {
		h.put(c.Address, k)
		return cell.Result{Outcome: decide.Unused, Tokens: c.From}
	}
	// Closing the connection is what wakes a blocked read when ctx ends.
	stop := context.AfterFunc(ctx, func() { _ = k.Close() })
	r := h.runOn(k, run)
	r.Tokens = run.tokens
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
	return r
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
	sent   time.Duration // when the first byte left
	first  time.Duration // when the first token came
	whole  bool          // the end mark was seen
	clean  bool          // the connection can be used again
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
	if r.call.Plain {
		return h.readWhole(&resp, r)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		refused := string(resp.Header.Peek(HeaderRan)) == "no"
		return cell.Result{Outcome: decide.Failed, Ran: !refused, Refused: refused,
			Leaving: len(resp.Header.Peek(HeaderLeaving)) > 0}
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

func bodyOf(resp *fasthttp.Response) io.Reader {
	if s := resp.BodyStream(); s != nil {
		return s
	}
	return bytes.NewReader(resp.Body())
}

// readWhole passes on the answer of a plain service. Only a whole one counts.
func (h *HTTP) readWhole(resp *fasthttp.Response, r *run) cell.Result {
	body, err := io.ReadAll(io.LimitReader(bodyOf(resp), int64(h.cfg.MaxAnswer)+1))
	if err != nil || len(body) > h.cfg.MaxAnswer {
		return cell.Result{Outcome: decide.Failed, Ran: true}
	}
	r.clean, r.whole = !resp.ConnectionClose(), true
	refused := resp.StatusCode() >= 500 && string(resp.Header.Peek(HeaderRan)) == "no"
	if refused {
		return cell.Result{Outcome: decide.Failed, Refused: true, Leaving: len(resp.Header.Peek(HeaderLeaving)) > 0}
	}
	if err := r.sink.Whole(resp.StatusCode(), string(resp.Header.ContentType()), body); err != nil {
		return cell.Result{Outcome: decide.Abandoned, Ran: true}
	}
	return cell.Result{Outcome: decide.Answered, Ran: true}
}

// readStream passes on the events of a stream. Only a stream that comes to its
// end mark is whole.
func (h *HTTP) readStream(k *conn, resp *fasthttp.Response, r *run) cell.Result {
	failed := cell.Result{Outcome: decide.Failed, Ran: true}
	lines := bufio.NewReaderSize(bodyOf(resp), lineBuffer)
	for {
		_ = k.SetReadDeadline(time.Now().Add(h.cfg.MaxSilence))
		line, err := readLine(lines)
		if err != nil {
			return failed
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == endMark {
			r.whole = true
			_, err := io.Copy(io.Discard, lines)
			r.clean = err == nil && !resp.ConnectionClose()
			return cell.Result{Outcome: decide.Answered, Ran: true}
		}
		if bytes.Contains(data, []byte(`"finish_reason":"`+finishPaused+`"`)) {
			_, err := io.Copy(io.Discard, lines)
			r.clean = err == nil
			return cell.Result{Outcome: decide.Paused, Ran: true}
		}
		if err := r.sink.Event(data); err != nil {
			return cell.Result{Outcome: decide.Abandoned, Ran: true}
		}
		r.tokens++
		if r.first == 0 {
			r.first = h.cfg.Clock.Boot()
		}
	}
}

// readLine reads a line of a bounded length, without its end.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		long := append([]byte(nil), line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = r.ReadSlice('\n')
			long = append(long, line...)
			if len(long) > maxEvent {
				return nil, fmt.Errorf("upstream: event longer than %d bytes", maxEvent)
			}
		}
		line = long
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// control makes a short call and returns the body of its answer.
func (h *HTTP) control(ctx context.Context, address, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.CallTimeout)
	defer cancel()
	k, err := h.open(ctx, address)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	_ = k.SetDeadline(deadline)
	var resp fasthttp.Response
	if err = writeRequest(k, Call{Address: address, Method: method, Path: path, Body: body, Type: "application/json"}); err == nil {
		err = resp.ReadLimitBody(k.r, 1<<20)
	}
	if err != nil {
		_ = k.Close()
		return nil, err
	}
	_ = k.SetDeadline(time.Time{})
	h.put(address, k)
	if resp.StatusCode() >= 300 {
		return resp.Body(), fmt.Errorf("upstream %s: %s %s: status %d", address, method, path, resp.StatusCode())
	}
	return resp.Body(), nil
}

// Pause stops a run and lets the engine keep its state.
func (h *HTTP) Pause(ctx context.Context, address, id string) error {
	_, err := h.control(ctx, address, "POST", "/control/pause?id="+id, nil)
	return err
}

// Cancel stops a run for good.
func (h *HTTP) Cancel(ctx context.Context, address, id string) error {
	_, err := h.control(ctx, address, "POST", "/control/cancel?id="+id, nil)
	return err
}

// engineReport is an engine's report as it is written.
type engineReport struct {
	AgeMillis int64        `json:"age_ms"`
	Running   int          `json:"running"`
	Waiting   int          `json:"waiting"`
	Leaving   bool         `json:"leaving"`
	Loaded    string       `json:"loaded"`
	Loading   bool         `json:"loading"`
	Fence     uint64       `json:"fence"`
	First     uint64       `json:"first_event"` // oldest cache event still held
	Last      uint64       `json:"last_event"`
	Events    []cacheEvent `json:"events"`
}

type cacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix,string"`
	Evicted  bool   `json:"evicted,omitempty"`
}

// Report asks an engine for its load and its cache events since the last time.
func (h *HTTP) Report(ctx context.Context, address string) (decide.Report, error) {
	h.mu.Lock()
	after := h.seq[address]
	h.mu.Unlock()
	body, err := h.control(ctx, address, "GET", "/control/report?after="+strconv.FormatUint(after, 10), nil)
	if err != nil {
		return decide.Report{}, err
	}
	var e engineReport
	if err := json.Unmarshal(body, &e); err != nil {
		return decide.Report{}, fmt.Errorf("upstream %s: report: %w", address, err)
	}
	h.mu.Lock()
	h.seq[address] = e.Last
	h.mu.Unlock()
	r := decide.Report{Age: time.Duration(e.AgeMillis) * time.Millisecond, Running: max(0, e.Running), Waiting: max(0, e.Waiting), Leaving: e.Leaving,
		Loaded: e.Loaded, Loading: e.Loading, Fence: e.Fence}
	r.Gap = e.First > after+1 || e.Last < after
	for _, c := range e.Events {
		if c.Evicted {
			r.Evicted = append(r.Evicted, c.Prefix)
		} else {
			r.Prefixes = append(r.Prefixes, c.Prefix)
		}
	}
	return r, nil
}

// Order gives an engine a fenced order.
func (h *HTTP) Order(ctx context.Context, address string, o Order) (OrderResult, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return OrderResult{}, err
	}
	answer, err := h.control(ctx, address, "POST", "/control/order", body)
	if err != nil {
		return OrderResult{}, err
	}
	var r OrderResult
	err = json.Unmarshal(answer, &r)
	return r, err
}
