package experiment

// This file defines the virtual clock's queue: what is due, in the order of time and, at the
// same time, in the order in which it was filed.

import (
	"container/heap"
	"time"
)

type timer struct {
	at    time.Duration
	order int
	do    func()
}

type timers []timer

func (q timers) Len() int { return len(q) }

func (q timers) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q timers) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *timers) Push(x any) { *q = append(*q, x.(timer)) }

func (q *timers) Pop() any {
	old := *q
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*q = old[:len(old)-1]
	return t
}

func (l *loop) after(d time.Duration, do func()) {
	l.order++
	heap.Push(&l.queue, timer{l.now + d, l.order, do})
}

func (l *loop) every(d time.Duration, do func()) {
	l.after(d, func() {
		do()
		l.every(d, do)
	})
}
