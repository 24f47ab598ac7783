package group

import "time"

// pagedStore is a publisher that hands out everything in pages, so many a second to all boxes
// together; a page that takes too long is given up on, and handed out for nobody.
type pagedStore struct {
	perSecond float64 // 0: it hands out everything at once
	pages     int
	wait      time.Duration // the longest that a box waits for a page
	queue     []pageCall
	credit    float64 // of a page
	calls     int
}

// pageCall is a page that a box waits for.
type pageCall struct {
	box   *testBox
	since time.Duration
}

// readPages goes on with a box's reading of everything.
func (w *world) readPages(b *testBox) {
	if b.asking || w.now < b.next || !b.node.ShouldRead(w.now) {
		return
	}
	if b.page == 0 {
		b.began = w.now
	}
	b.asking, b.askedAt = true, w.now
	w.store.calls++
	w.store.queue = append(w.store.queue, pageCall{b, w.now})
}

// servePages hands out what the store can within a step, and gives up on what took too long.
func (w *world) servePages() {
	s := &w.store
	s.credit = min(s.credit+s.perSecond*step.Seconds(), max(s.perSecond*step.Seconds(), 1))
	for _, call := range s.queue {
		if b := call.box; b.asking && call.since == b.askedAt && w.now-call.since > s.wait {
			b.asking = false
			b.fails++
			b.node.ReadFailed()
			b.next = w.now + b.node.ReadBackoff(b.fails)
		}
	}
	for ; s.credit >= 1 && len(s.queue) > 0; s.credit-- {
		call := s.queue[0]
		s.queue = s.queue[1:]
		b := call.box
		if !b.asking || call.since != b.askedAt || b.copy.Revision() > 0 || w.boxes[b.self.Name] != b {
			continue
		}
		if w.refused[b.self.Name] || w.down {
			b.asking = false
			b.fails++
			b.node.ReadFailed()
			b.next = w.now + b.node.ReadBackoff(b.fails)
			continue
		}
		w.takePage(b)
	}
}

// takePage hands a box the page that it waits for.
func (w *world) takePage(b *testBox) {
	b.asking, b.fails = false, 0
	b.page++
	if b.page < w.store.pages {
		return
	}
	b.page = 0
	b.node.HandleRead(w.now, b.began, w.published.Items(), w.published.Revision(), true)
	w.collect(b)
}
