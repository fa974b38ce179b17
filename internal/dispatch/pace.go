package dispatch

import (
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

const (
	// strainedShare and easyShare of its target are the tail latencies of a serving task from which on tasks that fill
	// beside it are slowed down, and below which they may work faster.
	strainedShare = 0.85
	easyShare     = 0.6
	// paceDown and paceUp change the pace of a filling task; leastPace is the one from which on it stands.
	paceDown  = 0.35
	paceUp    = 1.6
	leastPace = 10
)

// strain is the worst tail latency of the tasks that serve on a worker, in shares of their targets; 0 if none serves.
func (h *host) strain() float64 {
	worst := 0.0
	for _, member := range h.members {
		if target := member.run.unit.step.spec.GetTargetMs(); target > 0 && member.phase == running {
			worst = max(worst, member.load/float64(target))
		}
	}
	return worst
}

// shareRoom slows the tasks that fill a worker's unused room while a task that serves there suffers.
func (s *session) shareRoom(h *host) {
	strain := h.strain()
	for _, member := range h.members {
		if !member.run.unit.step.spec.GetFills() || member.phase != running || member.pacing {
			continue
		}
		if next := nextPace(member.pace, strain); next != member.pace {
			s.pace(member, next)
		}
	}
}

// nextPace is the pace of a filling task beside tasks under a strain.
func nextPace(pace int, strain float64) int {
	switch {
	case strain > 1:
		return 0
	case strain > strainedShare:
		if slower := int(float64(pace) * paceDown); slower >= leastPace {
			return slower
		}
		return 0
	case strain < easyShare:
		return min(allPercent, max(leastPace, int(float64(pace)*paceUp)))
	default:
		return pace
	}
}

// pace orders a member to work at a share of its speed.
func (s *session) pace(m *member, percent int) {
	m.pacing = true
	order := worker.Pace{Task: m.name, Run: m.run.number, Percent: percent, Fence: s.term.Epoch}
	s.call(m.host, func(target worker.Target) (worker.Reply, error) {
		ctx, cancel := s.orderContext()
		defer cancel()
		return s.Client.Pace(ctx, target, order)
	}, func(err error) {
		m.pacing = false
		switch refusalOf(err) {
		case worker.RefusedFence:
			s.term.StepDown("worker " + m.host.id + " knows a higher fencing token")
		case 0:
			if err == nil {
				m.pace = percent
			}
		}
	})
}
