package upstream

// This file defines the control calls to an engine: pause, cancel, report and order. The
// invariant: a call ends within HTTPConfig.CallTimeout.

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/decide"
)

// control makes a control call and returns the body of the response. An error response is
// returned as an error, with its body.
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
		err = readResponse(k.r, &resp, 1<<20)
	}
	if err != nil {
		_ = k.Close()
		return nil, err
	}
	_ = k.SetDeadline(time.Time{})
	if resp.ConnectionClose() {
		_ = k.Close()
	} else {
		h.put(address, k)
	}
	h.recordNotice(address, &resp)
	if resp.StatusCode() >= 300 {
		return resp.Body(), fmt.Errorf("upstream %s: %s %s: status %d", address, method, path, resp.StatusCode())
	}
	return resp.Body(), nil
}

// Pause implements Runner.
func (h *HTTP) Pause(ctx context.Context, address, id string) error {
	_, err := h.control(ctx, address, "POST", "/control/pause?id="+id, nil)
	return err
}

// Cancel implements Runner.
func (h *HTTP) Cancel(ctx context.Context, address, id string) error {
	_, err := h.control(ctx, address, "POST", "/control/cancel?id="+id, nil)
	return err
}

// engineReport is the JSON form of an engine's report.
type engineReport struct {
	AgeMillis int64        `json:"age_ms"`
	Running   int          `json:"running"`
	Waiting   int          `json:"waiting"`
	Leaving   bool         `json:"leaving"`
	Loaded    string       `json:"loaded"`
	Loading   bool         `json:"loading"`
	Fence     uint64       `json:"fence"`
	First     uint64       `json:"first_event"` // oldest cache event that the engine still has
	Last      uint64       `json:"last_event"`
	Events    []cacheEvent `json:"events"`
}

// cacheEvent reports a prompt prefix that entered or left an engine's cache.
type cacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix,string"` // hash
	Evicted  bool   `json:"evicted,omitempty"`
}

// Report implements Runner. It asks for the cache events since the last report.
func (h *HTTP) Report(ctx context.Context, address string) (decide.Report, error) {
	if h.activeNotice(address).Pause > 0 {
		return decide.Report{}, errPaused
	}
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
	r.Restarted = e.Last < after
	for _, c := range e.Events {
		if c.Evicted {
			r.Evicted = append(r.Evicted, c.Prefix)
		} else {
			r.Prefixes = append(r.Prefixes, c.Prefix)
		}
	}
	return r, nil
}

// Order implements Runner.
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
