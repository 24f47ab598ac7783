package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// longRequest is a request whose caller expects a long answer.
func longRequest(n uint64, expected int) Request {
	r := prompt(n)
	r.ExpectedTokens = expected
	return r
}

// fleetWithAnswers returns a fleet that has observed answers: one event for every six expected
// tokens, at intervals of 30 ms at upstreams without prefill.
func fleetWithAnswers(upstreams int) *Fleet {
	f := newTestFleet(upstreams)
	for i := range 20 {
		t := f.Open(0, fmt.Sprintf("u%d", i%upstreams), longRequest(uint64(i+1), 60))
		t.NoteFirstEvent(0)
		t.NoteAnswer(9*30*time.Millisecond, 10, 10, true)
		t.Close(9*30*time.Millisecond, Answered)
	}
	return f
}

func TestMoveDecision(t *testing.T) {
	// 10 of 60 events have arrived, so 50 are left: they take 20 s at 400 ms each, and 0.75 s
	// plus the time for the copy at the 15 ms expected after a move.
	late := Progress{Events: 10, EventInterval: 400 * time.Millisecond, TimeLeft: 1500 * time.Millisecond}
	for _, c := range []struct {
		name   string
		change func(f *Fleet, r *Request, p *Progress)
		want   bool
	}{
		{"would end too late", func(*Fleet, *Request, *Progress) {}, true},
		{"ends in time", func(_ *Fleet, _ *Request, p *Progress) { p.EventInterval = 20 * time.Millisecond }, false},
		{"enough time left to wait", func(_ *Fleet, _ *Request, p *Progress) { p.TimeLeft = 5 * time.Second }, false},
		{"would end too late elsewhere as well", func(_ *Fleet, _ *Request, p *Progress) { p.TimeLeft = 500 * time.Millisecond }, false},
		{"longer than expected", func(_ *Fleet, r *Request, p *Progress) { r.ExpectedTokens, p.Events = 30, 200 }, true},
		{"no expected length", func(_ *Fleet, r *Request, _ *Progress) { r.ExpectedTokens = 0 }, false},
		{"upstreams cannot copy", func(_ *Fleet, r *Request, _ *Progress) { r.CanTransfer = false }, false},
		{"no answers observed", func(f *Fleet, _ *Request, _ *Progress) { f.serviceOf("s").answers = answerStats{} }, false},
		{"mechanism is off", func(f *Fleet, _ *Request, _ *Progress) { f.cfg.Off = Off{Moving: true} }, false},
		{"all others have a backlog", func(f *Fleet, _ *Request, _ *Progress) { loadOthers(f, Load{Unread: 1000, Requests: 1}) }, false},
		{"all others have no free slots", func(f *Fleet, _ *Request, _ *Progress) { loadOthers(f, Load{Requests: 4}) }, false},
		{"all others are evacuated", func(f *Fleet, _ *Request, _ *Progress) { f.Evacuate("d1"); f.Evacuate("d2") }, false},
		{"own domain is evacuated", func(f *Fleet, _ *Request, _ *Progress) { f.Evacuate("d0") }, false},
		{"all others are cold", func(f *Fleet, _ *Request, _ *Progress) {
			for id := range f.byID {
				f.markCold(0, f.byID[id], time.Hour)
			}
		}, false},
		{"all others are unreachable", func(f *Fleet, _ *Request, _ *Progress) {
			for id := range f.byID {
				f.markUnreachable(f.byID[id], false)
			}
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f, r, p := fleetWithAnswers(3), longRequest(100, 360), late
			c.change(f, &r, &p)
			m, ok := f.MoveTo(time.Second, r, "u0", p)
			is.Equal(ok, c.want)
			is.True(!ok || m.To.ID != "u0")
		})
	}
}

// loadOthers adds load from other boxes to all upstreams of a test fleet except u0.
func loadOthers(f *Fleet, l Load) {
	loads := make(map[LoadKey]Load)
	for id := range f.byID {
		if id != "u0" {
			loads[LoadKey{Key(id), 0}] = l
		}
	}
	f.SetRemoteLoads(loads)
}

// Ninety boxes with the same view spread their moves over many upstreams, all of the lowest
// prefill level.
func TestMovesAreSpread(t *testing.T) {
	is := is.New(t)
	f := fleetWithAnswers(9)
	for _, id := range []string{"u1", "u2", "u3"} {
		f.byID[id].prefillShare = 0.9
	}
	p := Progress{Events: 10, EventInterval: 400 * time.Millisecond, TimeLeft: 1500 * time.Millisecond}
	to := make(map[string]int)
	for i := range uint64(100) {
		m, ok := f.MoveTo(time.Second, longRequest(100+i, 360), "u0", p)
		is.True(ok)
		to[m.To.ID]++
	}
	is.Equal(len(to), 5)
	for id, n := range to {
		is.True(f.byID[id].prefillShare == 0)
		is.True(n >= 10)
	}
}

func TestIntervalOfMovedAnswersIsLearned(t *testing.T) {
	is := is.New(t)
	f := fleetWithAnswers(3)
	is.Equal(f.serviceOf("s").answers.movedInterval().Round(time.Millisecond), 15*time.Millisecond)
	for range 5 {
		ticket := f.OpenMoved(0, "u1", longRequest(1, 360))
		ticket.NoteFirstEvent(0)
		ticket.NoteAnswer(10*time.Second, 11, 60, false) // one second between events
		ticket.Close(10*time.Second, Answered)
	}
	is.Equal(f.serviceOf("s").answers.movedInterval().Round(time.Millisecond), time.Second)
	is.Equal(f.byID["u1"].totalLoad(), Load{})
}

// Replay of a burst: at six of nine upstreams prompts are queued for 8 s, so that an event takes
// 400 ms there and 30 ms at the others. Each of 63 answers of 80 events has 10 s. Without moves,
// the answers that begin at the six upstreams do not finish; with moves they do, and no answer
// moves that would have finished anyway.
func TestLongAnswersFinishDuringBurst(t *testing.T) {
	for _, c := range []struct {
		off         Off
		ended, most int // answers that finish in time, and that move
	}{
		{Off{Moving: true}, 21, 0},
		{nil, 63, 42},
	} {
		t.Run(fmt.Sprint(c.off.Names()), func(t *testing.T) {
			is := is.New(t)
			f := fleetWithAnswers(9)
			f.cfg.Off = c.off
			ended, moves := 0, 0
			for i := range 63 {
				ok, moved := playAnswer(f, i)
				if ok {
					ended++
				}
				if moved {
					moves++
				}
			}
			is.Equal(ended, c.ended)
			is.True(moves <= c.most)
		})
	}
}

// playAnswer simulates the answer that begins at upstream u(i mod 9).
func playAnswer(f *Fleet, i int) (ended, moved bool) {
	const (
		whole  = 10 * time.Second
		events = 80
	)
	at, now := fmt.Sprintf("u%d", i%9), time.Duration(0)
	r := longRequest(uint64(1000+i), 6*events)
	loads := make(map[LoadKey]Load)
	for j := range 6 {
		loads[LoadKey{Key(fmt.Sprintf("u%d", j)), 0}] = Load{Unread: 20000, Requests: 2}
	}
	f.SetRemoteLoads(loads)
	for received := 1; now < whole; received++ {
		if received == events {
			return true, moved
		}
		interval := 30 * time.Millisecond
		if f.byID[at].unreadAhead(0) > 0 {
			interval = 400 * time.Millisecond
		}
		now += interval
		m, ok := f.MoveTo(now, r, at, Progress{Events: received, EventInterval: interval, TimeLeft: whole - now})
		if ok {
			at, moved = m.To.ID, true
			now += 100 * time.Millisecond
		}
	}
	return false, moved
}
