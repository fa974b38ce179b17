package dispatch

import "github.com/dotterelgauge/dotterelgauge/internal/events"

const (
	// maxUnconfirmed is how long the store may refuse the owner's records before the owner must reach most workers instead. A poll
	// that was sent when the store began to refuse has been answered by then.
	maxUnconfirmed = pollWait + pollResolution
	// reachWindow is how long ago a poll may have been sent for its answer to show that the owner reaches a worker. It is twice as
	// long as a poll and an answer take: until the next answer, the last one must count.
	reachWindow = 2 * (pollWait + pollTimeoutMargin/2)
	// minReach is the share of the listed workers that the owner must reach. A share above a half leaves too few workers to a
	// successor for both to reach this share.
	minReach = 2.0 / 3
)

// checkIsolation records whether this owner is isolated: the store has refused its records for some time, and it doesn't reach most
// workers either. Then another instance may be the owner without any worker that could tell: this owner sends no order and
// renews no lease, so that what it started has certainly ended when its successor takes it for ended.
func (s *session) checkIsolation() {
	refusedFor := s.term.Appender.RefusedFor()
	s.storeRefuses = refusedFor > 0
	reached, listed := s.reachedWorkers()
	isolated := refusedFor > maxUnconfirmed && float64(reached) < minReach*float64(listed)
	if isolated == s.isolated {
		return
	}
	s.isolated = isolated
	s.Events.Log(events.OwnerIsolated, "epoch", s.term.Epoch, "isolated", isolated, "reached_workers", reached,
		"listed_workers", listed, "refused_ms", refusedFor.Milliseconds())
	if !isolated {
		s.dirty = true
		s.sendOrders()
	}
}

// reachedWorkers returns how many listed workers have answered a recent poll, and how many are listed.
func (s *session) reachedWorkers() (reached, listed int) {
	for _, ws := range s.workers {
		if !ws.listed {
			continue
		}
		listed++
		if s.now.Sub(ws.acceptedAt) < reachWindow {
			reached++
		}
	}
	return reached, listed
}

// suspended reports whether the owner must not act: it stood still, or is isolated.
func (s *session) suspended() bool { return s.confirming || s.isolated }
