package control

// This file defines the conversion between the messages of package cell and those of
// package wire. The invariant: fromWire returns only messages that toWire can produce.
// It rejects or clamps fields that are out of range.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/balance"
	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/wire"
)

// limitScale converts limits, which may be fractions, to integers on the wire, which
// are in thousandths.
const limitScale = 1000

// micros returns d in microseconds; a negative duration becomes 0.
func micros(d time.Duration) uint64 { return uint64(max(0, d) / time.Microsecond) }

// fromMicros returns a duration of us microseconds, 24 hours at most.
func fromMicros(us uint64) time.Duration {
	const maxMicros = uint64(24 * time.Hour / time.Microsecond)
	return time.Duration(min(us, maxMicros)) * time.Microsecond
}

// toWire converts a message to its wire form, or returns nil for an unknown kind.
func toWire(m cell.Message) *wire.Message {
	switch m := m.(type) {
	case *cell.Heartbeat:
		return &wire.Message{Body: &wire.Message_Heartbeat{Heartbeat: heartbeatToWire(m)}}
	case *cell.Bid:
		return &wire.Message{Body: &wire.Message_Bid{Bid: &wire.Bid{
			Id: m.Bid.ID, Set: m.Set, Class: m.Bid.Class, Customer: m.Bid.Customer, Waited: micros(m.Bid.Waited),
			Remaining: micros(m.Bid.Remaining), Work: uint32(m.Bid.Work), Prefix: m.Bid.Prefix,
			Visitor: m.Bid.FromOtherDomain, Resume: m.Bid.Resume, Attempt: m.Bid.Attempt}}}
	case *cell.Withdraw:
		return &wire.Message{Body: &wire.Message_Withdraw{Withdraw: &wire.Withdraw{Id: m.ID, Set: m.Set}}}
	case *cell.Grant:
		return &wire.Message{Body: &wire.Message_Grant{Grant: &wire.Grant{
			Id: m.ID, Set: m.Set, Upstream: m.Upstream, StartBy: micros(m.StartBy), Keep: micros(m.KeepFor), Attempt: m.Attempt}}}
	case *cell.Recall:
		return &wire.Message{Body: &wire.Message_Recall{Recall: &wire.Recall{Set: m.Set}}}
	case *cell.Refusal:
		return &wire.Message{Body: &wire.Message_Refusal{Refusal: &wire.Refusal{
			Id: m.ID, Set: m.Set, Reason: uint32(m.Reason), RetryAfter: micros(m.RetryAfter),
			LowerWaiting: uint32(m.LowerWaiting), LowerRunning: uint32(m.LowerRunning), Redirect: m.Redirect}}}
	case *cell.Preempt:
		return &wire.Message{Body: &wire.Message_Preempt{Preempt: &wire.Preempt{Id: m.ID, Set: m.Set}}}
	case *cell.Release:
		return &wire.Message{Body: &wire.Message_Release{Release: &wire.Release{
			Id: m.ID, Set: m.Set, Upstream: m.Upstream, Tokens: uint32(m.Tokens), Outcome: uint32(m.Outcome), Pace: micros(m.TimePerToken), First: micros(m.TimeToFirstToken), Attempt: m.Attempt,
			Leaving: m.Notice.Leaving, Pause: micros(m.Notice.Pause), SaidAge: micros(m.Notice.Age)}}}
	case *cell.Holding:
		return &wire.Message{Body: &wire.Message_Holding{Holding: holdingToWire(m)}}
	case *cell.HoldingAsk:
		return &wire.Message{Body: &wire.Message_HoldingAsk{HoldingAsk: &wire.HoldingAsk{Set: m.Set}}}
	case *cell.Claim:
		return &wire.Message{Body: &wire.Message_Claim{Claim: &wire.Claim{Key: m.Key, Id: m.ID, GiveBack: m.GiveBack}}}
	case *cell.ClaimReply:
		return &wire.Message{Body: &wire.Message_ClaimReply{ClaimReply: &wire.ClaimReply{Key: m.Key, Id: m.ID, Verdict: uint32(m.Verdict)}}}
	case *cell.Ask:
		return &wire.Message{Body: &wire.Message_Ask{Ask: &wire.Ask{Limit: m.Limit, WantMilli: uint64(m.Want * limitScale)}}}
	case *cell.Lend:
		return &wire.Message{Body: &wire.Message_Lend{Lend: &wire.Lend{Limit: m.Limit, Milli: uint64(m.Amount * limitScale), Life: micros(m.Life)}}}
	case *cell.Spare:
		return &wire.Message{Body: &wire.Message_Spare{Spare: &wire.Spare{
			Set: m.Set, Domain: m.Domain, Slots: slotsToWire(m.Slots), Owner: m.Owner, PassedOn: m.PassedOn}}}
	case *cell.Ends:
		return &wire.Message{Body: &wire.Message_Ends{Ends: endsToWire(m)}}
	case *cell.TableOffer:
		return &wire.Message{Body: &wire.Message_TableOffer{TableOffer: &wire.TableOffer{Revision: m.Revision, Digest: m.Digest}}}
	}
	return nil
}

func heartbeatToWire(m *cell.Heartbeat) *wire.Heartbeat {
	h := &wire.Heartbeat{Counter: m.Counter, TableRevision: m.Table, TableDigest: m.Digest,
		RosterRevision: m.Roster, Leaving: m.Leaving, Blind: m.PlatformUnreachable,
		Probe: m.Probe, Joining: m.Joining, Full: m.Full, Announce: m.Announce, WithheldDigest: m.Withheld}
	for _, s := range m.Sightings {
		h.Sightings = append(h.Sightings, &wire.Sighting{Box: s.Box, Boot: s.Boot, Counter: s.Counter, Leaving: s.Leaving, RosterRevision: s.Roster, State: uint32(s.State)})
	}
	return h
}

func holdingToWire(m *cell.Holding) *wire.Holding {
	h := &wire.Holding{Set: m.Set, Count: uint32(m.Count), Digest: m.Digest, WaitingCount: uint32(m.WaitingCount),
		WaitingDigest: m.WaitingDigest, Full: m.Full, Waiting: m.Waiting}
	for _, l := range m.Held {
		h.Held = append(h.Held, &wire.Held{Id: l.ID, Upstream: l.Upstream, Class: l.Class, Customer: l.Customer, Work: uint32(l.Work), Attempt: l.Attempt})
	}
	return h
}

// fromWire converts a received message. It returns nil if the kind is unknown or a
// field is out of range.
func fromWire(m *wire.Message) cell.Message {
	switch b := m.Body.(type) {
	case *wire.Message_Heartbeat:
		return heartbeatFromWire(b.Heartbeat)
	case *wire.Message_Bid:
		w := b.Bid
		return &cell.Bid{Set: w.Set, Bid: decide.Bid{ID: w.Id, Class: w.Class, Customer: w.Customer, Waited: fromMicros(w.Waited),
			Remaining: fromMicros(w.Remaining), Work: float64(max(1, w.Work)), Prefix: w.Prefix, FromOtherDomain: w.Visitor, Resume: w.Resume, Attempt: w.Attempt}}
	case *wire.Message_Withdraw:
		return &cell.Withdraw{Set: b.Withdraw.Set, ID: b.Withdraw.Id}
	case *wire.Message_Grant:
		return &cell.Grant{Set: b.Grant.Set, ID: b.Grant.Id, Upstream: b.Grant.Upstream, StartBy: fromMicros(b.Grant.StartBy), KeepFor: fromMicros(b.Grant.Keep), Attempt: b.Grant.Attempt}
	case *wire.Message_Recall:
		return &cell.Recall{Set: b.Recall.Set}
	case *wire.Message_Refusal:
		w := b.Refusal
		return &cell.Refusal{Set: w.Set, ID: w.Id, Reason: decide.Reason(min(w.Reason, 255)), RetryAfter: fromMicros(w.RetryAfter),
			LowerWaiting: int(w.LowerWaiting), LowerRunning: int(w.LowerRunning), Redirect: w.Redirect}
	case *wire.Message_Preempt:
		return &cell.Preempt{Set: b.Preempt.Set, ID: b.Preempt.Id}
	case *wire.Message_Release:
		w := b.Release
		if w.Outcome > uint32(decide.Draining) {
			return nil
		}
		return &cell.Release{Set: w.Set, ID: w.Id, Upstream: w.Upstream, Tokens: int(w.Tokens), Outcome: decide.Outcome(w.Outcome), TimePerToken: fromMicros(w.Pace), TimeToFirstToken: fromMicros(w.First), Attempt: w.Attempt,
			Notice: decide.AnswerNotice{Leaving: w.Leaving, Pause: fromMicros(w.Pause), Age: fromMicros(w.SaidAge)}}
	case *wire.Message_Holding:
		return holdingFromWire(b.Holding)
	case *wire.Message_HoldingAsk:
		return &cell.HoldingAsk{Set: b.HoldingAsk.Set}
	case *wire.Message_Claim:
		return &cell.Claim{Key: b.Claim.Key, ID: b.Claim.Id, GiveBack: b.Claim.GiveBack}
	case *wire.Message_ClaimReply:
		if b.ClaimReply.Verdict > uint32(decide.ClaimElsewhere) {
			return nil
		}
		return &cell.ClaimReply{Key: b.ClaimReply.Key, ID: b.ClaimReply.Id, Verdict: decide.ClaimVerdict(b.ClaimReply.Verdict)}
	case *wire.Message_Ask:
		return &cell.Ask{Limit: b.Ask.Limit, Want: float64(b.Ask.WantMilli) / limitScale}
	case *wire.Message_Lend:
		return &cell.Lend{Limit: b.Lend.Limit, Amount: float64(b.Lend.Milli) / limitScale, Life: fromMicros(b.Lend.Life)}
	case *wire.Message_Spare:
		w := b.Spare
		return &cell.Spare{Set: w.Set, Domain: w.Domain, Slots: slotsFromWire(w.Slots), Owner: w.Owner, PassedOn: w.PassedOn}
	case *wire.Message_Ends:
		return endsFromWire(b.Ends)
	case *wire.Message_TableOffer:
		return &cell.TableOffer{Revision: b.TableOffer.Revision, Digest: b.TableOffer.Digest}
	}
	return nil
}

func endsToWire(m *cell.Ends) *wire.Ends {
	e := &wire.Ends{All: m.All}
	for _, s := range m.Suspects {
		e.Suspects = append(e.Suspects, &wire.GroupSuspect{Content: s.Content, Ended: s.Ended, Round: s.Round, Age: micros(s.Age)})
	}
	return e
}

func endsFromWire(w *wire.Ends) cell.Message {
	m := &cell.Ends{All: w.All}
	for _, s := range w.Suspects {
		ended := slices.Compact(slices.Sorted(slices.Values(s.GetEnded())))
		m.Suspects = append(m.Suspects, balance.Suspect{Content: s.GetContent(), Ended: ended, Round: s.GetRound(), Age: fromMicros(s.GetAge())})
	}
	return m
}

func slotsToWire(slots []int) []uint32 {
	var out []uint32
	for _, n := range slots {
		out = append(out, uint32(n))
	}
	return out
}

// maxSpare limits each number of spare slots that another failure domain may report.
const maxSpare = 1 << 20

func slotsFromWire(slots []uint32) []int {
	var out []int
	for _, n := range slots {
		out = append(out, int(min(n, maxSpare)))
	}
	return out
}

func heartbeatFromWire(w *wire.Heartbeat) cell.Message {
	h := &cell.Heartbeat{Counter: w.Counter, Table: w.TableRevision, Digest: w.TableDigest,
		Roster: w.RosterRevision, Leaving: w.Leaving, PlatformUnreachable: w.Blind,
		Probe: w.Probe, Joining: w.Joining, Full: w.Full, Announce: w.Announce, Withheld: w.WithheldDigest}
	for _, s := range w.Sightings {
		h.Sightings = append(h.Sightings, cell.Sighting{Box: s.GetBox(), Boot: s.GetBoot(), Counter: s.GetCounter(), Roster: s.GetRosterRevision(), Leaving: s.GetLeaving(), State: uint8(min(s.GetState(), 255))})
	}
	return h
}

func holdingFromWire(w *wire.Holding) cell.Message {
	h := &cell.Holding{Set: w.Set, Count: int(w.Count), Digest: w.Digest, WaitingCount: int(w.WaitingCount),
		WaitingDigest: w.WaitingDigest, Full: w.Full, Waiting: w.Waiting}
	for _, l := range w.Held {
		h.Held = append(h.Held, decide.HeldLease{ID: l.GetId(), Upstream: l.GetUpstream(), Class: l.GetClass(), Customer: l.GetCustomer(), Work: float64(max(1, l.GetWork())), Attempt: l.GetAttempt()})
	}
	return h
}
