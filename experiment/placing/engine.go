package placing

// This file defines the model of an engine: it works in steps, reads prompts in chunks
// between the tokens of what runs, the more urgent first, and keeps what it has read as
// far as its memory goes. The invariant: what is kept and what runs fit its memory, as
// long as one request does.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/balance"
)

// job is a request on an engine.
type job struct {
	class   *ClassSpec
	request balance.Request
	out     int // tokens of its answer
	end     time.Duration
	done    func(now time.Duration, whole bool)
	first   func(now time.Duration)
	event   func(now time.Duration)

	fetchWay  time.Duration          // to the engine that follows
	from      *engine                // that its shared part may be fetched from, or nil
	elsewhere func(part uint64) bool // another engine keeps it
	admitted  bool
	unread    int // prompt tokens, once it is admitted
	made      int // tokens of the answer
}

// keptPart is a part of a prompt in an engine's memory.
type keptPart struct {
	id     uint64
	tokens int
}

// engine is one modelled engine.
type engine struct {
	spec     *EngineSpec
	domain   int
	waiting  []*job // by urgency, then in the order of their arrival
	running  []*job
	kept     []keptPart // the one unused the longest first
	chunk    *job       // whose prompt the step under way reads
	reads    int        // tokens of it
	stepping bool

	readAgain int // shared tokens read though another engine kept them
	fetched   int // tokens moved here
}

// add takes a job, behind those that are as urgent.
func (e *engine) add(j *job) {
	at := slices.IndexFunc(e.waiting, func(o *job) bool { return o.request.Urgency > j.request.Urgency })
	if at < 0 {
		at = len(e.waiting)
	}
	e.waiting = slices.Insert(e.waiting, at, j)
}

// admit looks, when a job's prompt is about to be read, what of it is kept here or can be
// fetched. It returns how long fetching takes.
func (e *engine) admit(j *job) time.Duration {
	j.admitted = true
	shared := j.request.Parts[0]
	j.unread = j.request.Tokens
	switch {
	case e.use(shared.ID):
		j.unread -= shared.Tokens
	case j.from != nil && j.from.holds(shared.ID):
		j.unread -= shared.Tokens
		e.fetched += shared.Tokens
		e.keep(keptPart{shared.ID, shared.Tokens})
		return j.fetchWay + time.Duration(float64(shared.Tokens)/e.spec.FetchRate*float64(time.Millisecond))
	case j.elsewhere(shared.ID):
		e.readAgain += shared.Tokens
	}
	return 0
}

func (e *engine) holds(id uint64) bool {
	return slices.ContainsFunc(e.kept, func(k keptPart) bool { return k.id == id })
}

// use marks a kept part as the one used last; false means that it is not kept.
func (e *engine) use(id uint64) bool {
	i := slices.IndexFunc(e.kept, func(k keptPart) bool { return k.id == id })
	if i < 0 {
		return false
	}
	k := e.kept[i]
	e.kept = append(slices.Delete(e.kept, i, i+1), k)
	return true
}

// keep puts a part into memory; what was unused the longest gives way.
func (e *engine) keep(k keptPart) {
	if e.use(k.id) {
		return
	}
	e.kept = append(e.kept, k)
	free := e.spec.Memory
	for _, j := range e.running {
		free -= j.request.Tokens + j.made
	}
	for _, o := range e.kept {
		free -= o.tokens
	}
	for free < 0 && len(e.kept) > 1 {
		free += e.kept[0].tokens
		e.kept = e.kept[1:]
	}
}

// begin starts a step and returns how long it takes; 0 means that there is nothing to do.
func (e *engine) begin(now time.Duration) time.Duration {
	e.dropLate(now)
	e.chunk, e.reads = nil, 0
	var fetch time.Duration
	if len(e.waiting) > 0 && len(e.running) < e.spec.Slots {
		e.chunk = e.waiting[0]
		if !e.chunk.admitted {
			fetch = e.admit(e.chunk)
		}
		e.reads = min(e.chunk.unread, e.spec.ReadChunk)
	}
	if e.chunk == nil && len(e.running) == 0 {
		return 0
	}
	read := time.Duration(float64(e.reads) / e.spec.ReadRate * float64(time.Millisecond))
	return fetch + e.spec.Step.Std() + time.Duration(len(e.running))*e.spec.StepEach.Std() + read
}

// dropLate ends what its caller no longer waits for.
func (e *engine) dropLate(now time.Duration) {
	late := func(j *job) bool {
		if now < j.end {
			return false
		}
		j.done(now, false)
		return true
	}
	e.waiting = slices.DeleteFunc(e.waiting, late)
	e.running = slices.DeleteFunc(e.running, late)
}

// finish ends the step: what runs has made a token, and a part of a prompt is read.
func (e *engine) finish(now time.Duration) {
	e.running = slices.DeleteFunc(e.running, func(j *job) bool {
		j.made++
		if j.made%j.class.Event == 0 {
			j.event(now)
		}
		if j.made < j.out {
			return false
		}
		j.done(now, true)
		return true
	})
	j := e.chunk
	if j == nil {
		return
	}
	j.unread -= e.reads
	i := slices.Index(e.waiting, j)
	if j.unread > 0 || i < 0 {
		return
	}
	e.waiting = slices.Delete(e.waiting, i, i+1)
	e.running = append(e.running, j)
	e.keep(keptPart{j.request.Parts[0].ID, j.request.Parts[0].Tokens})
	j.first(now)
}
