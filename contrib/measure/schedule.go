package main

import (
	"container/heap"
	"time"
)

// event is a scheduled function call. Events of the same time run in the order in which they
// were scheduled.
type event struct {
	at  time.Time
	seq int
	run func()
}

// events is a heap of events, the next one first. It implements heap.Interface.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// schedule runs scheduled events in virtual time.
type schedule struct {
	now   time.Time
	queue events
	seq   int
}

func (s *schedule) at(t time.Time, do func()) {
	s.seq++
	heap.Push(&s.queue, event{t, s.seq, do})
}

func (s *schedule) after(d time.Duration, do func()) { s.at(s.now.Add(d), do) }

func (s *schedule) runUntil(end time.Time) {
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at.After(end) {
			return
		}
		s.now = e.at
		e.run()
	}
}
