package relay

// This file defines the state that a box reports to operators. The invariant: it contains no
// data of requests or keys.

import (
	"context"
	"fmt"
	"strings"

	"connectrpc.com/connect"

	"github.com/doormast/doormast/route"
	"github.com/doormast/doormast/wire"
)

// State implements wire.MirrorsHandler.
func (s mirrorService) State(context.Context, *connect.Request[wire.StateRequest]) (*connect.Response[wire.StateResponse], error) {
	return connect.NewResponse(s.members.relay.state()), nil
}

// state is the box's current state.
func (r *Relay) state() *wire.StateResponse {
	out := &wire.StateResponse{Box: r.cfg.Box, Domain: r.cfg.Domain, Lead: r.members.leaderName(), Boxes: uint32(r.boxes()),
		Ready: r.Ready(), Open: uint32(r.stats.openRequests.Load()), ConfirmedAge: uint64(r.publishedAge().Microseconds())}
	if d := r.published.document(); d != nil {
		out.Version = d.Version
		for i := range d.Routes {
			out.Routes = append(out.Routes, routeRow(&d.Routes[i]))
		}
	}
	out.Traffic = r.members.traffic.rows()
	out.Memory = &wire.MemoryRow{Bound: uint64(r.account.Bound()), Used: uint64(r.account.Used()),
		TurnedAway: r.stats.counterValue(callersTurnedAway), CutOff: r.stats.counterValue(callersCutOff)}
	r.mu.Lock()
	defer r.mu.Unlock()
	out.Retries, out.BudgetLeft = r.retryRows()
	for _, v := range r.crashSuspects.Verdicts(r.now()) {
		out.Withheld = append(out.Withheld, r.withheldRow(v))
	}
	for _, u := range r.fleet.View(r.now()) {
		out.Upstreams = append(out.Upstreams, &wire.UpstreamRow{Limit: r.limitRow(u.ID),
			Id: u.ID, Born: u.StartedAt, Service: u.Service, Address: u.Address, Domain: u.Domain,
			Leaving: u.Leaving, Out: u.Unreachable, Tight: u.Tight, Evacuated: u.Evacuated, ColdLeft: uint64(u.ColdLeft.Microseconds()),
			Way: uint64(u.RTT.Microseconds()), Open: uint32(u.Load.Requests), Unread: uint32(u.Load.Unread),
			Held: uint64(u.Load.MemoryTokens), Memory: uint64(u.Memory), PauseLeft: uint64(r.fleet.PausedFor(r.now(), u.Incarnation()).Microseconds())})
	}
	return out
}

// limitRow is the limit that an upstream states; nil if it states none. The caller holds the
// relay's mu.
func (r *Relay) limitRow(id string) *wire.LimitRow {
	l, isNamed := r.fleet.Limit(r.now(), id)
	if !isNamed {
		return nil
	}
	return &wire.LimitRow{PerSecond: l.PerSecond, Age: uint64(l.Age.Microseconds()), Ration: uint32(l.Quota), Span: uint64(l.Span.Microseconds())}
}

// repeatModeNames are the names shown to operators.
var repeatModeNames = [...]string{route.Once: "once", route.Repeatable: "repeatable", route.Stream: "stream"}

// routeRow is a route as shown to operators, with times in microseconds.
func routeRow(rt *route.Route) *wire.RouteRow {
	repeat := repeatModeNames[rt.Repeat]
	if rt.Repeat == route.Stream && rt.Resumable {
		repeat = "stream that resumes"
	}
	var services []string
	for _, t := range rt.Targets {
		services = append(services, fmt.Sprintf("%s:%d", t.Service, t.Weight))
	}
	return &wire.RouteRow{Name: rt.Name, Host: rt.Host, Prefix: rt.Prefix, Repeat: repeat, Rank: uint32(rt.Rank),
		Target: uint64(rt.Target.Microseconds()), Timeout: uint64(rt.Timeout.Microseconds()), Attempts: uint32(rt.MaxAttempts),
		Public: rt.Public, Services: strings.Join(services, " ")}
}
