package placing

// This file defines a run as a discrete-event simulation of arrivals, placement decisions and
// engine steps. The invariant: each request that arrives ends exactly once.

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/doormast/doormast/balance"
)

// scheduledEvent is a function that is due at a virtual time.
type scheduledEvent struct {
	at    time.Duration
	order int // for the same time, events run in the order of scheduling
	do    func(now time.Duration)
}

// agenda is the heap of scheduled events, the next one first.
type agenda []scheduledEvent

var _ heap.Interface = (*agenda)(nil)

// Len implements heap.Interface.
func (a agenda) Len() int { return len(a) }

// Less implements heap.Interface.
func (a agenda) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].order < a[j].order
}

// Swap implements heap.Interface.
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { *a = append(*a, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	last := len(*a) - 1
	h := (*a)[last]
	*a = (*a)[:last]
	return h
}

// run is the simulation of one way of deciding with one seed.
type run struct {
	spec    *Spec
	way     Way
	random  *rand.Rand
	agenda  agenda
	planned int
	engines map[string]*engine
	list    []*decider
	ofBox   []*decider
	result  Result
}

// Run simulates a way of deciding with a seed. The result is deterministic.
func Run(s *Spec, w Way, seed uint64) Result {
	const stream = 7 // separates this random stream from others with the same seed
	r := &run{spec: s, way: w, random: rand.New(rand.NewPCG(seed, stream)), engines: make(map[string]*engine)}
	r.result.Classes = make([]Count, len(s.Classes))
	for i := range s.Engine.Count {
		r.engines[engineName(i)] = &engine{spec: &s.Engine, domain: i % s.Domains}
	}
	r.list, r.ofBox = w.deciders(s)
	for i := range s.Classes {
		r.arrivals(i)
	}
	for at := time.Duration(0); at < s.Duration.Std(); at += s.Tell.Std() {
		r.plan(at, func(now time.Duration) { r.way.exchange(now, r.list) })
	}
	for len(r.agenda) > 0 {
		h := heap.Pop(&r.agenda).(scheduledEvent)
		h.do(h.at)
	}
	for _, e := range r.engines {
		r.result.ReadAgain += e.readAgain
		r.result.Fetched += e.fetched
	}
	return r.result
}

// plan schedules do at a virtual time.
func (r *run) plan(at time.Duration, do func(time.Duration)) {
	r.planned++
	heap.Push(&r.agenda, scheduledEvent{at, r.planned, do})
}

// arrivals schedules all requests of a class before any decision, so that all ways of
// deciding get the same ones.
func (r *run) arrivals(class int) {
	c := &r.spec.Classes[class]
	for at := time.Duration(0); ; {
		at += time.Duration(r.random.ExpFloat64() / (c.Rate * r.factor(c.Name, at)) * float64(time.Second))
		if at >= r.spec.Duration.Std() {
			return
		}
		own := max(1, int(float64(c.Own)*r.random.ExpFloat64()))
		part := balance.Part{ID: uint64(class)<<32 | uint64(r.random.IntN(c.Parts)+1), Tokens: c.Shared}
		j := &job{class: c, out: max(1, int(float64(c.Out)*r.random.ExpFloat64())), end: at + c.Patience.Std()}
		j.request = balance.Request{Service: serviceName, CanTransfer: true, Class: c.Name, MaxGap: c.Gap.Std(), Urgency: c.Urgency, Tokens: c.Shared + own, Bytes: c.Bytes,
			Parts: []balance.Part{part, {ID: math.MaxUint64 - uint64(len(r.agenda)), Tokens: own}}}
		box := r.random.IntN(r.spec.Boxes)
		arrived := at
		r.plan(at, func(now time.Duration) { r.decide(now, arrived, j, class, box, false) })
	}
}

// factor returns the multiple of a class's rate at a time, from the bursts.
func (r *run) factor(class string, at time.Duration) float64 {
	f := 1.0
	for _, b := range r.spec.Bursts {
		if b.Class == class && at >= b.From.Std() && at < b.To.Std() {
			f *= b.Factor
		}
	}
	return f
}

// decide places a request, or refuses it. The caller retries once, after the time that the
// refusal states.
func (r *run) decide(now, arrived time.Duration, j *job, class, box int, again bool) {
	count := &r.result.Classes[class]
	d := r.ofBox[box]
	choice, ok := d.fleet.Place(now, j.request, nil)
	after := time.Duration(0)
	if ok {
		after, ok = d.fleet.Admit(now, j.request, balance.Admission{Target: j.class.Target.Std(), Retried: again}, choice)
	}
	switch {
	case !ok && !again && now+after < j.end:
		r.plan(now+after, func(now time.Duration) { r.decide(now, arrived, j, class, box, true) })
		return
	case !ok:
		count.Refused++
		return
	}
	r.send(now, arrived, j, count, d, box%r.spec.Domains, choice)
}

// send passes a request to its engine and counts its outcome.
func (r *run) send(now, arrived time.Duration, j *job, count *Count, d *decider, domain int, choice balance.Choice) {
	e := r.engines[choice.Upstream.ID]
	way := r.spec.way(domain, e.domain)
	r.countBytes(j, domain, e.domain)
	ticket := d.fleet.Open(now, choice.Upstream.ID, j.request)
	late := false
	last := time.Duration(0)
	j.first = func(now time.Duration) {
		ticket.NoteFirstEvent(now)
		late = now+way-arrived > j.class.Target.Std()
		last = now
	}
	j.event = func(now time.Duration) {
		late = late || j.class.Gap > 0 && now-last > j.class.Gap.Std()
		last = now
	}
	j.done = func(now time.Duration, whole bool) {
		ticket.Close(now, balance.Answered)
		switch {
		case !whole:
			count.Failed++
		case late:
			count.Late++
		default:
			count.InTime++
		}
	}
	j.from, j.elsewhere = r.engines[choice.FetchFrom], r.keptBesides(e)
	if j.from != nil {
		j.fetchRTT = r.spec.way(j.from.domain, e.domain)
	}
	e.add(j)
	if !e.stepping {
		e.stepping = true
		r.step(now, e)
	}
}

// countBytes counts the bytes of a request and its answer on links between domains.
func (r *run) countBytes(j *job, from, to int) {
	switch {
	case from == to:
	case r.spec.region(from) == r.spec.region(to):
		r.result.BytesDomains += j.class.Bytes
	default:
		r.result.BytesRegions += j.class.Bytes
	}
}

// keptBesides returns a function that reports whether an engine other than e has a part
// cached.
func (r *run) keptBesides(e *engine) func(uint64) bool {
	return func(id uint64) bool {
		for _, o := range r.engines {
			if o != e && o.holds(id) {
				return true
			}
		}
		return false
	}
}

// step starts an engine's next step, and schedules those that follow while it has work.
func (r *run) step(now time.Duration, e *engine) {
	took := e.begin(now)
	if took == 0 {
		e.stepping = false
		return
	}
	r.plan(now+took, func(now time.Duration) {
		e.finish(now)
		r.step(now, e)
	})
}
