package dispatch

import (
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/clock"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
)

// maxPause is how long this process may stand still, paused or held up, before the owner confirms its ownership. It is shorter than
// the silence after which another instance claims the ownership.
const maxPause = time.Second

// advanceTime sets the time of the next action. After a pause it confirms the ownership first.
func (s *session) advanceTime() {
	last := s.now
	s.now = time.Now()
	if pause := clock.Between(last, s.now); pause > maxPause && !s.confirming {
		s.confirmOwnership(pause)
	}
}

// confirmOwnership sends no order, renews no lease and makes no plan until the store has accepted another renewal of the
// ownership: another instance may have claimed it during the pause, and workers that it can't reach don't know.
func (s *session) confirmOwnership(pause time.Duration) {
	s.confirming = true
	s.Events.Log(events.OwnerPaused, "epoch", s.term.Epoch, "pause_ms", pause.Milliseconds())
	pending := s.term.Renew()
	go func() {
		select {
		case <-pending.Done():
			if pending.Err() == nil {
				s.post(s.resume)
			}
		case <-s.ctx.Done():
		}
	}()
}

// resume continues the owner's work once the ownership is confirmed.
func (s *session) resume() {
	s.confirming, s.dirty = false, true
	s.sendOrders()
}
