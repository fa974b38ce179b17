package placing

import "sync"

// mailbox hands functions to the loop, which runs them one after another. It never blocks a sender.
type mailbox struct {
	// ready has a token when there may be mail.
	ready chan struct{}

	mu    sync.Mutex
	queue []func()
}

func newMailbox() *mailbox {
	return &mailbox{ready: make(chan struct{}, 1)}
}

func (m *mailbox) put(handle func()) {
	m.mu.Lock()
	m.queue = append(m.queue, handle)
	m.mu.Unlock()
	m.wake()
}

func (m *mailbox) wake() {
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// take returns the waiting mail, oldest first.
func (m *mailbox) take() []func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	queue := m.queue
	m.queue = nil
	return queue
}
