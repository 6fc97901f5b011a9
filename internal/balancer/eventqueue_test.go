package balancer

import "time"

// event is an action scheduled in a simulation.
type event struct {
	at     time.Time
	action func()
}
type eventQueue []event

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	queue := *e
	last := queue[len(queue)-1]
	*e = queue[:len(queue)-1]
	return last
}
