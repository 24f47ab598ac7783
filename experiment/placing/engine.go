package placing

// This file defines the model of an engine with chunked prefill: each step generates one token
// for every running request and prefills one chunk of a prompt, the most urgent first. Shared
// prompt parts are cached, least recently used evicted first. The invariant: cached parts and
// running requests fit the engine's memory, as long as one request does.

import (
	"slices"
	"time"

	"github.com/doormast/doormast/balance"
)

// job is a request on an engine.
type job struct {
	class   *ClassSpec
	request balance.Request
	out     int // tokens of the whole answer
	end     time.Duration
	done    func(now time.Duration, whole bool)
	first   func(now time.Duration)
	event   func(now time.Duration)

	fetchRTT  time.Duration          // to the engine in from
	from      *engine                // engine that the shared part may be fetched from, or nil
	elsewhere func(part uint64) bool // reports whether another engine has the part cached
	admitted  bool
	unread    int // prompt tokens left to prefill, once admitted
	made      int // tokens generated so far
}

// cachedPart is a prompt part in an engine's cache.
type cachedPart struct {
	id     uint64
	tokens int
}

// engine is one simulated engine.
type engine struct {
	spec     *EngineSpec
	domain   int
	waiting  []*job // by urgency, then by arrival
	running  []*job
	kept     []cachedPart // least recently used first
	chunk    *job         // job whose prompt the current step prefills, or nil
	reads    int          // prompt tokens prefilled by the current step
	stepping bool

	readAgain int // shared tokens prefilled although another engine had them cached
	fetched   int // tokens fetched from other engines
}

// add queues a job behind those of the same urgency.
func (e *engine) add(j *job) {
	at := slices.IndexFunc(e.waiting, func(o *job) bool { return o.request.Urgency > j.request.Urgency })
	if at < 0 {
		at = len(e.waiting)
	}
	e.waiting = slices.Insert(e.waiting, at, j)
}

// admit determines, before a job's prefill, which tokens are cached here or can be fetched.
// It returns the time that fetching takes.
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
		e.keep(cachedPart{shared.ID, shared.Tokens})
		return j.fetchRTT + time.Duration(float64(shared.Tokens)/e.spec.FetchRate*float64(time.Millisecond))
	case j.elsewhere(shared.ID):
		e.readAgain += shared.Tokens
	}
	return 0
}

// holds reports whether a part is cached.
func (e *engine) holds(id uint64) bool {
	return slices.ContainsFunc(e.kept, func(k cachedPart) bool { return k.id == id })
}

// use marks a part as the most recently used. It reports whether the part is cached.
func (e *engine) use(id uint64) bool {
	i := slices.IndexFunc(e.kept, func(k cachedPart) bool { return k.id == id })
	if i < 0 {
		return false
	}
	k := e.kept[i]
	e.kept = append(slices.Delete(e.kept, i, i+1), k)
	return true
}

// keep caches a part and evicts the least recently used ones until memory suffices.
func (e *engine) keep(k cachedPart) {
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

// begin starts a step and returns its duration, or 0 if there is no work.
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

// dropLate ends the jobs whose callers have disconnected, since their patience is over.
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

// finish ends the step: each running job has one more token, and the chunk is prefilled.
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
	e.keep(cachedPart{j.request.Parts[0].ID, j.request.Parts[0].Tokens})
	j.first(now)
}
