package dispatch

import "sync"

// inbox is an unbounded queue of actions for the loop. Its length is limited by what posts actions: calls in flight and
// records of the store.
type inbox struct {
	mu      sync.Mutex
	actions []func()
	wake    chan struct{}
}

// put appends an action.
func (i *inbox) put(action func()) {
	i.mu.Lock()
	i.actions = append(i.actions, action)
	i.mu.Unlock()
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

// take removes and returns all queued actions.
func (i *inbox) take() []func() {
	i.mu.Lock()
	defer i.mu.Unlock()
	actions := i.actions
	i.actions = nil
	return actions
}
