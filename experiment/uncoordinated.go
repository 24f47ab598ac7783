package experiment

// This file defines the baselines without coordination: each box sends a request to an engine as
// soon as it arrives.

// sendAtOnce sends a request to an engine of its box's domain, where it waits for a
// slot. FIFO takes the engines in turn, LeastLoad the one with the least reported load
// plus what the box has sent it since the report.
func (l *loop) sendAtOnce(r *request) {
	var best *engine
	least := 0
	for i := range l.engines {
		e := l.engines[(r.box.nextEngine+i)%len(l.engines)]
		if e.domain != r.box.domain || e.broken {
			continue
		}
		load := 0
		if l.policy == LeastLoad && len(e.samples) > 0 {
			s := e.reportAt(l.now, l.lag)
			load = s.running + s.waiting + r.box.sent[e.name]
		}
		if best == nil || load < least {
			best, least = e, load
		}
	}
	r.box.nextEngine++
	if l.policy == FIFO {
		for i, e := range l.engines {
			if e == best {
				r.box.nextEngine = i + 1
			}
		}
	}
	r.box.sent[best.name]++
	l.send(r, best, 0)
}
