package experiment

// This file defines the baselines without coordination: each box sends what arrives at once.

// sendAtOnce is the baselines without coordination: a request goes to an engine
// of its domain as it arrives, and waits there.
func (l *loop) sendAtOnce(r *request) {
	var best *engine
	least := 0
	for i := range l.engines {
		e := l.engines[(r.box.next+i)%len(l.engines)]
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
	r.box.next++
	if l.policy == FIFO {
		for i, e := range l.engines {
			if e == best {
				r.box.next = i + 1
			}
		}
	}
	r.box.sent[best.name]++
	l.send(r, best, 0)
}
