package replay

import (
	"cmp"
	"container/heap"
)

type eventKind uint8

const (
	inputDue eventKind = iota
	startDue
	finishDue
	failDue
	checkpointDue
	stopDue
	wakeDue
	probeDue
)

// event is something that happens at a data centre.
type event struct {
	timeMillis int64
	// sequence keeps events of one instant in the order of their making.
	sequence int
	kind     eventKind
	input    *input
	// job and run say whose run the event belongs to.
	job    *job
	run    int
	worker string
}

// eventQueue is a heap of events by time; it implements heap.Interface.
type eventQueue struct {
	events   []event
	sequence int
	// active counts the events that are neither wakes nor probes.
	active int
}

func (e *event) isActive() bool { return e.kind != wakeDue && e.kind != probeDue }

func (q *eventQueue) pop() event {
	due := heap.Pop(q).(event)
	if due.isActive() {
		q.active--
	}
	return due
}

func (q *eventQueue) push(added event) {
	added.sequence = q.sequence
	q.sequence++
	if added.isActive() {
		q.active++
	}
	heap.Push(q, added)
}

// Len is the number of events.
func (q *eventQueue) Len() int { return len(q.events) }

// Less orders events by time, then by their making.
func (q *eventQueue) Less(i, j int) bool {
	a, b := &q.events[i], &q.events[j]
	return cmp.Or(cmp.Compare(a.timeMillis, b.timeMillis), cmp.Compare(a.sequence, b.sequence)) < 0
}

// Swap exchanges two events.
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push adds an event; use push.
func (q *eventQueue) Push(added any) { q.events = append(q.events, added.(event)) }

// Pop takes the last event.
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events[len(q.events)-1] = event{}
	q.events = q.events[:len(q.events)-1]
	return last
}
