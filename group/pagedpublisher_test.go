package group

import "time"

// pagedPublisher is a publisher that serves all data in pages, at a limited rate for all boxes
// together. A request for a page that takes too long fails, and the page is not served.
type pagedPublisher struct {
	perSecond float64 // pages per second; 0: all data is served at once
	pages     int
	timeout   time.Duration // longest wait of a box for a page
	queue     []pageRequest
	credit    float64 // fraction of a page
	calls     int
}

// pageRequest is a page that a box waits for.
type pageRequest struct {
	box         *testBox
	requestedAt time.Duration
}

// requestPage requests the next page for a box that reads all data.
func (w *simulation) requestPage(b *testBox) {
	if b.awaitsPage || w.now < b.nextCallAt || !b.node.ShouldRead(w.now) {
		return
	}
	if b.nextPage == 0 {
		b.callStartedAt = w.now
	}
	b.awaitsPage, b.pageRequestedAt = true, w.now
	w.pages.calls++
	w.pages.queue = append(w.pages.queue, pageRequest{b, w.now})
}

// servePages serves the pages that the publisher can send in one step, and fails requests that
// took too long.
func (w *simulation) servePages() {
	s := &w.pages
	s.credit = min(s.credit+s.perSecond*step.Seconds(), max(s.perSecond*step.Seconds(), 1))
	for _, call := range s.queue {
		if b := call.box; b.awaitsPage && call.requestedAt == b.pageRequestedAt && w.now-call.requestedAt > s.timeout {
			b.awaitsPage = false
			b.readFailures++
			b.node.ReadFailed(w.now)
			b.nextCallAt = w.now + b.node.ReadBackoff(b.readFailures)
		}
	}
	for ; s.credit >= 1 && len(s.queue) > 0; s.credit-- {
		call := s.queue[0]
		s.queue = s.queue[1:]
		b := call.box
		if !b.awaitsPage || call.requestedAt != b.pageRequestedAt || b.mirror.Revision() > 0 || w.boxes[b.self.Name] != b {
			continue
		}
		if w.refusedBoxes[b.self.Name] || w.publisherDown {
			b.awaitsPage = false
			b.readFailures++
			b.node.ReadFailed(w.now)
			b.nextCallAt = w.now + b.node.ReadBackoff(b.readFailures)
			continue
		}
		w.deliverPage(b)
	}
}

// deliverPage delivers the page that a box waits for.
func (w *simulation) deliverPage(b *testBox) {
	b.awaitsPage, b.readFailures = false, 0
	b.nextPage++
	if b.nextPage < w.pages.pages {
		return
	}
	b.nextPage = 0
	b.node.HandleRead(w.now, b.callStartedAt, w.published.Items(), w.published.Revision(), true)
	w.sendOutgoing(b)
}
