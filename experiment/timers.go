package experiment

// This file defines the timer queue of the virtual clock, ordered by due time and, for the same
// due time, by the order in which the timers were added.

import (
	"container/heap"
	"time"
)

// timer is a function that is due at a virtual time.
type timer struct {
	at    time.Duration
	order int
	run   func()
}

// timers is a heap.Interface with the next due timer first.
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

// after schedules run once, d from now.
func (l *loop) after(d time.Duration, run func()) {
	l.order++
	heap.Push(&l.queue, timer{l.now + d, l.order, run})
}

// every schedules run periodically, first d from now.
func (l *loop) every(d time.Duration, run func()) {
	l.after(d, func() {
		run()
		l.every(d, run)
	})
}
