// Package platform reads the table and the list of boxes and upstreams that the
// platform publishes. It never writes to the platform.
//
// Each read is a long poll: the call waits for a revision newer than the known one,
// so that a reader costs the platform one waiting call instead of frequent polls.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/table"
)

// Reader reads the documents that the platform publishes.
type Reader interface {
	// Table waits up to wait for a table with a revision above after. It returns
	// nil if there is none.
	Table(ctx context.Context, after uint64, wait time.Duration) (*table.Table, error)
	// List waits up to wait for a list with a revision above after. It returns nil
	// if there is none.
	List(ctx context.Context, after uint64, wait time.Duration) (*List, error)
}

// List is the platform's list of boxes, with their addresses, and of the upstreams
// that are leaving. It may lag behind the actual state.
type List struct {
	Revision uint64   `json:"revision"`
	Boxes    []Box    `json:"boxes"`
	Leaving  []string `json:"leaving_upstreams"` // names
}

// Box is an entry box on the list.
type Box struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Control string `json:"control"` // IP:port of the messages between boxes, UDP
	Ops     string `json:"ops"`     // IP:port of the operators' API, TCP
	Leaving bool   `json:"leaving"` // whether the box is about to stop
}

// Roster converts the list to the form that package cell uses, without addresses.
func (l *List) Roster() cell.Roster {
	r := cell.Roster{Revision: l.Revision, Leaving: l.Leaving}
	for _, b := range l.Boxes {
		r.Boxes = append(r.Boxes, cell.BoxEntry{Name: b.Name, Domain: b.Domain, Leaving: b.Leaving})
	}
	return r
}

// ErrBadTable reports that the platform serves a table that fails validation.
var ErrBadTable = errors.New("platform: bad table")

// HTTP reads a platform over HTTP.
type HTTP struct {
	base   string
	client *http.Client
	calls  atomic.Uint64 // number of calls made
}

var _ Reader = (*HTTP)(nil)

// NewHTTP returns a reader for the platform at address, an IP:port.
func NewHTTP(address string) *HTTP {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	return &HTTP{base: "http://" + address, client: &http.Client{Transport: transport}}
}

// Calls returns the number of calls made.
func (h *HTTP) Calls() uint64 { return h.calls.Load() }

// Close closes the idle connections.
func (h *HTTP) Close() error {
	h.client.CloseIdleConnections()
	return nil
}

// callGrace is added to the wait of a call to get its timeout.
const callGrace = 2 * time.Second

// get makes a call and returns the body of the response, or nil if the platform has
// no newer revision.
func (h *HTTP) get(ctx context.Context, path string, after uint64, wait time.Duration) ([]byte, error) {
	h.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, wait+callGrace)
	defer cancel()
	url := h.base + path + "?after=" + strconv.FormatUint(after, 10) + "&wait=" + wait.String()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 2*table.MaxSize))
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode == http.StatusNotModified:
		return nil, nil
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("platform: GET %s: status %d", path, resp.StatusCode)
	}
	return body, nil
}

// Table implements Reader. The error wraps ErrBadTable if the table is invalid.
func (h *HTTP) Table(ctx context.Context, after uint64, wait time.Duration) (*table.Table, error) {
	body, err := h.get(ctx, "/v1/table", after, wait)
	if err != nil || body == nil {
		return nil, err
	}
	t, err := table.Parse("platform", body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadTable, err)
	}
	return t, nil
}

// List implements Reader.
func (h *HTTP) List(ctx context.Context, after uint64, wait time.Duration) (*List, error) {
	body, err := h.get(ctx, "/v1/list", after, wait)
	if err != nil || body == nil {
		return nil, err
	}
	l := new(List)
	if err := json.Unmarshal(body, l); err != nil {
		return nil, fmt.Errorf("platform: list: %w", err)
	}
	return l, nil
}
