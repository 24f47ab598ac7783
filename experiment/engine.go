package experiment

// This file defines the model of a batching engine: slots that each generate tokens
// at a constant rate, a queue for requests without a slot, and a prefix cache.

import (
	"slices"
	"time"
)

// job is one run of a request on an engine.
type job struct {
	req      *request
	tier     int
	resumeAt int           // tokens that earlier runs delivered
	total    int           // tokens of the whole answer
	prefill  time.Duration // set when the job gets a slot
	started  time.Duration
	running  bool
	ended    bool
}

// engine is one simulated engine.
type engine struct {
	name         string
	domain       int
	slots        int
	timePerToken time.Duration
	prefill      time.Duration // without a cached prefix
	cacheSize    int           // prefixes
	broken       bool
	priority     bool // whether its queue is ordered by tier
	running      int
	queue        []*job
	cache        []uint64      // prefixes, least recently used first
	newPrefixes  []uint64      // cached since the last report
	busy         time.Duration // slot time of ended jobs
	wasted       time.Duration // the part of busy that no caller benefited from
	samples      []sample      // oldest first
}

// sample is an engine's load at one time.
type sample struct {
	at               time.Duration
	running, waiting int
}

// accept starts a job, or queues it when no slot is free. It reports whether the job
// has started.
func (e *engine) accept(now time.Duration, j *job) bool {
	if e.running < e.slots {
		e.start(now, j)
		return true
	}
	e.queue = append(e.queue, j)
	return false
}

// start gives a job a slot. Prefill takes a tenth of the time when the prefix is cached
// or the job resumes an earlier run.
func (e *engine) start(now time.Duration, j *job) {
	e.running++
	j.running, j.started = true, now
	j.prefill = e.prefill
	if j.resumeAt > 0 || e.hit(j.req.arrival.prefix) {
		j.prefill = e.prefill / 10
	}
}

// hit reports whether a prefix is cached, and caches it as the most recently used.
func (e *engine) hit(prefix uint64) bool {
	if prefix == 0 {
		return false
	}
	if i := slices.Index(e.cache, prefix); i >= 0 {
		e.cache = append(slices.Delete(e.cache, i, i+1), prefix)
		return true
	}
	e.cache = append(e.cache, prefix)
	e.newPrefixes = append(e.newPrefixes, prefix)
	if len(e.cache) > e.cacheSize {
		e.cache = e.cache[1:]
	}
	return false
}

// end removes a job and returns the queued job that takes its slot, or nil. With
// wasted, the job's slot time counts as wasted.
func (e *engine) end(now time.Duration, j *job, wasted bool) *job {
	if j.ended {
		return nil
	}
	j.ended = true
	if !j.running {
		if i := slices.Index(e.queue, j); i >= 0 {
			e.queue = slices.Delete(e.queue, i, i+1)
		}
		return nil
	}
	e.running--
	e.busy += now - j.started
	switch {
	case wasted:
		e.wasted += now - j.started
	case j.resumeAt > 0:
		e.wasted += min(j.prefill, now-j.started) // a resumed run repeats the prefill
	}
	j.req.slotTime += now - j.started
	return e.next(now)
}

// next starts the first queued job, by tier if the queue is ordered by it, and returns
// it, or nil.
func (e *engine) next(now time.Duration) *job {
	if len(e.queue) == 0 || e.broken {
		return nil
	}
	best := 0
	if e.priority {
		for i, j := range e.queue {
			if j.tier < e.queue[best].tier {
				best = i
			}
		}
	}
	j := e.queue[best]
	e.queue = slices.Delete(e.queue, best, best+1)
	e.start(now, j)
	return j
}

// tokens returns how many tokens of the answer exist, including those of earlier runs.
func (j *job) tokens(now, timePerToken time.Duration) int {
	if !j.running {
		return j.resumeAt
	}
	n := int((now - j.started - j.prefill) / timePerToken)
	return min(j.total, j.resumeAt+max(0, n))
}

// duration returns how long a job runs once it has a slot.
func (j *job) duration(timePerToken time.Duration) time.Duration {
	return j.prefill + time.Duration(j.total-j.resumeAt)*timePerToken
}

// observe records the load, for later reports.
func (e *engine) observe(now time.Duration) {
	e.samples = append(e.samples, sample{now, e.running, len(e.queue)})
}

// reportAt returns the newest sample that is at least lag old, else the oldest one, and
// drops the samples before it.
func (e *engine) reportAt(now, lag time.Duration) sample {
	for len(e.samples) > 1 && e.samples[1].at <= now-lag {
		e.samples = e.samples[1:]
	}
	return e.samples[0]
}
