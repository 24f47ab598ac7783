package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// long is a request whose caller expects a long answer.
func long(n uint64, expected int) Request {
	r := prompt(n)
	r.Expected = expected
	return r
}

// seenFleet is a fleet that has seen answers: one event for every six tokens that callers
// expect, 30 ms from one to the next where nothing is read.
func seenFleet(upstreams int) *Fleet {
	f := newTestFleet(upstreams)
	for i := range 20 {
		t := f.Open(0, fmt.Sprintf("u%d", i%upstreams), long(uint64(i+1), 60))
		t.First(0)
		t.Events(9*30*time.Millisecond, 10, 10, true)
		t.Close(9*30*time.Millisecond, Answered)
	}
	return f
}

func TestWhichAnswersMove(t *testing.T) {
	// Of 60 events 10 came, so that 50 are left: 20 s at 400 ms, and at the 15 ms that are expected
	// of one that moves 0.75 s and the time for the copy.
	late := Progress{Events: 10, Between: 400 * time.Millisecond, Left: 1500 * time.Millisecond}
	for _, c := range []struct {
		name   string
		change func(f *Fleet, r *Request, p *Progress)
		want   bool
	}{
		{"one that would end too late", func(*Fleet, *Request, *Progress) {}, true},
		{"one that ends in time", func(_ *Fleet, _ *Request, p *Progress) { p.Between = 20 * time.Millisecond }, false},
		{"one that has time to wait and see", func(_ *Fleet, _ *Request, p *Progress) { p.Left = 5 * time.Second }, false},
		{"one that ends too late elsewhere as well", func(_ *Fleet, _ *Request, p *Progress) { p.Left = 500 * time.Millisecond }, false},
		{"one that is longer than expected", func(_ *Fleet, r *Request, p *Progress) { r.Expected, p.Events = 30, 200 }, true},
		{"one of which nothing is expected", func(_ *Fleet, r *Request, _ *Progress) { r.Expected = 0 }, false},
		{"where upstreams cannot copy", func(_ *Fleet, r *Request, _ *Progress) { r.Moves = false }, false},
		{"where nothing was seen", func(f *Fleet, _ *Request, _ *Progress) { f.serviceOf("s").answers = answers{} }, false},
		{"where it is switched off", func(f *Fleet, _ *Request, _ *Progress) { f.cfg.Off = Off{Moving: true} }, false},
		{"where all others read", func(f *Fleet, _ *Request, _ *Progress) { load(f, Load{Unread: 1000, Open: 1}) }, false},
		{"where all others have no room", func(f *Fleet, _ *Request, _ *Progress) { load(f, Load{Open: 4}) }, false},
		{"where all others are evacuated", func(f *Fleet, _ *Request, _ *Progress) { f.Evacuate("d1"); f.Evacuate("d2") }, false},
		{"where its own domain is evacuated", func(f *Fleet, _ *Request, _ *Progress) { f.Evacuate("d0") }, false},
		{"where all others are cold", func(f *Fleet, _ *Request, _ *Progress) {
			for id := range f.byID {
				f.cool(0, f.byID[id], time.Hour)
			}
		}, false},
		{"where all others are out of reach", func(f *Fleet, _ *Request, _ *Progress) {
			for id := range f.byID {
				f.markOut(f.byID[id], false)
			}
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f, r, p := seenFleet(3), long(100, 360), late
			c.change(f, &r, &p)
			m, ok := f.MoveTo(time.Second, r, "u0", p)
			is.Equal(ok, c.want)
			is.True(!ok || m.To.ID != "u0")
		})
	}
}

// load gives all upstreams of a test fleet but u0 work of other boxes.
func load(f *Fleet, l Load) {
	loads := make(map[LoadKey]Load)
	for id := range f.byID {
		if id != "u0" {
			loads[LoadKey{Key(id), 0}] = l
		}
	}
	f.SetRemoteLoads(loads)
}

// Ninety boxes that see the same move to many upstreams, and only to those that read the least.
func TestAnswersThatMoveSpread(t *testing.T) {
	is := is.New(t)
	f := seenFleet(9)
	for _, id := range []string{"u1", "u2", "u3"} {
		f.byID[id].reading = 0.9
	}
	p := Progress{Events: 10, Between: 400 * time.Millisecond, Left: 1500 * time.Millisecond}
	to := make(map[string]int)
	for i := range uint64(100) {
		m, ok := f.MoveTo(time.Second, long(100+i, 360), "u0", p)
		is.True(ok)
		to[m.To.ID]++
	}
	is.Equal(len(to), 5)
	for id, n := range to {
		is.True(f.byID[id].reading == 0)
		is.True(n >= 10)
	}
}

func TestTheTimeOfThoseThatMovedIsLearned(t *testing.T) {
	is := is.New(t)
	f := seenFleet(3)
	is.Equal(f.serviceOf("s").answers.betweenMoved().Round(time.Millisecond), 15*time.Millisecond)
	for range 5 {
		ticket := f.OpenMoved(0, "u1", long(1, 360))
		ticket.First(0)
		ticket.Events(10*time.Second, 11, 60, false) // a second from one event to the next
		ticket.Close(10*time.Second, Answered)
	}
	is.Equal(f.serviceOf("s").answers.betweenMoved().Round(time.Millisecond), time.Second)
	is.Equal(f.byID["u1"].totalLoad(), Load{})
}

// A burst is replayed: at six of nine upstreams prompts wait for 8 s, so that each event takes
// 400 ms there and 30 ms at the others. Each of 63 answers of 80 events has 10 s. Without moving those that begin
// at the six do not end; with it they do, and nothing moves that would have ended.
func TestLongAnswersOfABurstEnd(t *testing.T) {
	for _, c := range []struct {
		off         Off
		ended, most int // answers that end in time; and that move
	}{
		{Off{Moving: true}, 21, 0},
		{nil, 63, 42},
	} {
		t.Run(fmt.Sprint(c.off.Names()), func(t *testing.T) {
			is := is.New(t)
			f := seenFleet(9)
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

// playAnswer plays the answer that begins at the upstream u(i mod 9).
func playAnswer(f *Fleet, i int) (ended, moved bool) {
	const (
		whole  = 10 * time.Second
		events = 80
	)
	at, now := fmt.Sprintf("u%d", i%9), time.Duration(0)
	r := long(uint64(1000+i), 6*events)
	loads := make(map[LoadKey]Load)
	for j := range 6 {
		loads[LoadKey{Key(fmt.Sprintf("u%d", j)), 0}] = Load{Unread: 20000, Open: 2}
	}
	f.SetRemoteLoads(loads)
	for came := 1; now < whole; came++ {
		if came == events {
			return true, moved
		}
		between := 30 * time.Millisecond
		if f.byID[at].unreadAhead(0) > 0 {
			between = 400 * time.Millisecond
		}
		now += between
		m, ok := f.MoveTo(now, r, at, Progress{Events: came, Between: between, Left: whole - now})
		if ok {
			at, moved = m.To.ID, true
			now += 100 * time.Millisecond
		}
	}
	return false, moved
}
