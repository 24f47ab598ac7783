package doormast

// This file defines the RPC backend of a box: the responses to operators and to pulls from
// other boxes.

import (
	"context"
	"strconv"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/internal/ops"
	"github.com/doormast/doormast/timeline"
	"github.com/doormast/doormast/wire"
)

// opsBackend implements ops.Backend for a Box.
type opsBackend Box

var _ ops.Backend = (*opsBackend)(nil)

// Status returns the state of the box and of its classes.
func (o *opsBackend) Status(ctx context.Context) (*wire.StatusResponse, error) {
	b := (*Box)(o)
	out := &wire.StatusResponse{Box: b.cfg.Settings.Box, Domain: b.cfg.Settings.Domain, Boot: b.boot,
		Leaving: b.leaving.Load(), Classes: b.stats.status()}
	err := b.inspect(ctx, func(n *cell.Node) {
		if t := n.Table(); t != nil {
			out.TableRevision = t.Revision
		}
		out.RosterRevision = n.Roster().Revision
		out.Live = n.LivePeers()
		out.OwnedSets = n.Owned()
	})
	return out, err
}

// Timeline returns the events in the box's ring that match the request id and class.
func (o *opsBackend) Timeline(_ context.Context, req *wire.TimelineRequest) (*wire.TimelineResponse, error) {
	id := uint64(0)
	if req.Request != "" {
		var err error
		if id, err = strconv.ParseUint(req.Request, 16, 64); err != nil {
			return nil, err
		}
	}
	out := new(wire.TimelineResponse)
	for _, e := range timeline.Filter(o.events.Events(), id, req.Class, "") {
		out.Events = append(out.Events, eventToWire(e))
	}
	return out, nil
}

// Drain starts a planned stop. The process itself ends when its owner acts on DrainAsked.
func (o *opsBackend) Drain(context.Context) (*wire.DrainResponse, error) {
	b := (*Box)(o)
	b.Drain()
	select {
	case b.drainAsked <- struct{}{}:
	default:
	}
	return &wire.DrainResponse{InProgress: uint64(b.callers.Open())}, nil
}

// Pull returns another box the table and list that it lacks.
func (o *opsBackend) Pull(_ context.Context, req *wire.PullRequest) (*wire.PullResponse, error) {
	return o.history.answer(req)
}

// DrainAsked returns a channel that receives a value when an operator requests a planned stop.
func (b *Box) DrainAsked() <-chan struct{} { return b.drainAsked }

func eventToWire(e timeline.Event) *wire.TimelineEvent {
	return &wire.TimelineEvent{Wall: e.Wall, Logical: uint32(e.Logical), Box: e.Box, Boot: e.Boot, Kind: string(e.Kind),
		Request: e.Request, Class: e.Class, Tier: uint32(e.Tier), Customer: e.Customer, Upstream: e.Upstream, Set: e.Set,
		Reason: e.Reason, Revision: e.Revision, Value: e.Value, LowerWaiting: uint32(e.LowerWaiting), LowerRunning: uint32(e.LowerRunning)}
}

// EventFromWire converts an event that a box has sent to an operator.
func EventFromWire(w *wire.TimelineEvent) timeline.Event {
	return timeline.Event{Stamp: timeline.Stamp{Wall: w.Wall, Logical: int(w.Logical)}, Box: w.Box, Boot: w.Boot,
		Kind: timeline.Kind(w.Kind), Request: w.Request, Class: w.Class, Tier: int(w.Tier), Customer: w.Customer,
		Upstream: w.Upstream, Set: w.Set, Reason: w.Reason, Revision: w.Revision, Value: w.Value,
		LowerWaiting: int(w.LowerWaiting), LowerRunning: int(w.LowerRunning)}
}
