// Package platform reads what the platform publishes: the table and the list of
// boxes and upstreams. Nothing is ever written to it.
//
// Each read is one call that waits for something newer than what is known, so
// that a reader costs the platform one waiting watch and no polling.
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

// Reader reads what the platform publishes.
type Reader interface {
	// Table waits for a table newer than the revision, for at most wait. It
	// returns nil if there is none.
	Table(ctx context.Context, after uint64, wait time.Duration) (*table.Table, error)
	// List waits for a list newer than the revision.
	List(ctx context.Context, after uint64, wait time.Duration) (*List, error)
}

// List is the platform's lagging list of boxes and upstreams, with addresses.
type List struct {
	Revision uint64   `json:"revision"`
	Boxes    []Box    `json:"boxes"`
	Leaving  []string `json:"leaving_upstreams"`
}

// Box is an entry box on the list.
type Box struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Control string `json:"control"` // IP:port, UDP
	Ops     string `json:"ops"`     // IP:port of the operators' calls
	Leaving bool   `json:"leaving"`
}

// Roster is the list as the decisions see it.
func (l *List) Roster() cell.Roster {
	r := cell.Roster{Revision: l.Revision, Leaving: l.Leaving}
	for _, b := range l.Boxes {
		r.Boxes = append(r.Boxes, cell.BoxEntry{Name: b.Name, Domain: b.Domain, Leaving: b.Leaving})
	}
	return r
}

// ErrBadTable means that the platform serves a table that cannot be accepted.
var ErrBadTable = errors.New("platform: bad table")

// HTTP reads the stand-in platform, which speaks HTTP.
type HTTP struct {
	base   string
	client *http.Client
	calls  atomic.Uint64
}

var _ Reader = (*HTTP)(nil)

// NewHTTP returns a reader of the platform at address, IP:port.
func NewHTTP(address string) *HTTP {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	return &HTTP{base: "http://" + address, client: &http.Client{Transport: transport}}
}

// Calls is how many calls were made.
func (h *HTTP) Calls() uint64 { return h.calls.Load() }

// Close closes the idle connections.
func (h *HTTP) Close() error {
	h.client.CloseIdleConnections()
	return nil
}

// grace is how much longer than its wait a call may take.
const grace = 2 * time.Second

// get makes a call; nil means that there is nothing new.
func (h *HTTP) get(ctx context.Context, path string, after uint64, wait time.Duration) ([]byte, error) {
	h.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, wait+grace)
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

// Table waits for a newer table.
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

// List waits for a newer list.
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
