package experiment

// This file defines the batch model of an engine: slots that generate at a
// steady pace, a queue in front of them, and a prefix cache.

import (
	"slices"
	"time"
)

// job is a run on an engine.
type job struct {
	req     *request
	tier    int
	from    int // tokens delivered before
	total   int
	prefill time.Duration
	started time.Duration
	running bool
	over    bool
}

// engine is one modelled engine.
type engine struct {
	name     string
	domain   int
	slots    int
	pace     time.Duration
	base     time.Duration // prefill without a cached prefix
	cacheMax int
	broken   bool
	priority bool // whether its own queue honours tiers
	running  int
	queue    []*job
	cache    []uint64
	news     []uint64 // cached since the last report
	busy     time.Duration
	wasted   time.Duration
	samples  []sample
}

type sample struct {
	at               time.Duration
	running, waiting int
}

// accept takes a job and returns it if it starts at once.
func (e *engine) accept(now time.Duration, j *job) bool {
	if e.running < e.slots {
		e.start(now, j)
		return true
	}
	e.queue = append(e.queue, j)
	return false
}

func (e *engine) start(now time.Duration, j *job) {
	e.running++
	j.running, j.started = true, now
	j.prefill = e.base
	if j.from > 0 || e.hit(j.req.arrival.prefix) {
		j.prefill = e.base / 10
	}
}

// hit looks a prefix up and caches it.
func (e *engine) hit(prefix uint64) bool {
	if prefix == 0 {
		return false
	}
	if i := slices.Index(e.cache, prefix); i >= 0 {
		e.cache = append(slices.Delete(e.cache, i, i+1), prefix)
		return true
	}
	e.cache = append(e.cache, prefix)
	e.news = append(e.news, prefix)
	if len(e.cache) > e.cacheMax {
		e.cache = e.cache[1:]
	}
	return false
}

// end takes a job off and returns the one that starts in its place, if any.
func (e *engine) end(now time.Duration, j *job, wasted bool) *job {
	if j.over {
		return nil
	}
	j.over = true
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
	case j.from > 0:
		e.wasted += min(j.prefill, now-j.started) // done again to go on
	}
	j.req.busy += now - j.started
	return e.next(now)
}

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

// tokens is how many tokens of a job were generated, earlier runs included.
func (j *job) tokens(now, pace time.Duration) int {
	if !j.running {
		return j.from
	}
	n := int((now - j.started - j.prefill) / pace)
	return min(j.total, j.from+max(0, n))
}

// lasts is how long a job runs from its start.
func (j *job) lasts(pace time.Duration) time.Duration {
	return j.prefill + time.Duration(j.total-j.from)*pace
}

// observe notes the load, for reports that tell it later.
func (e *engine) observe(now time.Duration) {
	e.samples = append(e.samples, sample{now, e.running, len(e.queue)})
}

// reportAt is the newest note that is at least lag old.
func (e *engine) reportAt(now, lag time.Duration) sample {
	for len(e.samples) > 1 && e.samples[1].at <= now-lag {
		e.samples = e.samples[1:]
	}
	return e.samples[0]
}
