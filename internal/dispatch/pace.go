package dispatch

import (
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

const (
	// highLatencyShare and easyShare of its target are the tail latencies of a serving task from which on tasks that fill
	// beside it are slowed down, and below which they may work faster.
	highLatencyShare = 0.85
	lowLatencyShare  = 0.6
	// slowDownFactor and paceUp change the pace of a filling task; leastPace is the one from which on it stands.
	slowDownFactor = 0.35
	speedUpFactor  = 1.6
	minPacePercent = 10
)

// latencyRatio is the worst tail latency of the tasks that serve on a worker, in shares of their targets; 0 if none serves.
func (ws *workerState) latencyRatio() float64 {
	worst := 0.0
	for _, member := range ws.members {
		if target := member.run.unit.step.spec.GetTargetMs(); target > 0 && member.phase == running {
			worst = max(worst, member.latencyMs/float64(target))
		}
	}
	return worst
}

// adjustPaces slows the tasks that fill a worker's unused room while a task that serves there suffers.
func (s *session) adjustPaces(ws *workerState) {
	strain := ws.latencyRatio()
	for _, member := range ws.members {
		if !member.run.unit.step.spec.GetFills() || member.phase != running || member.paceInFlight {
			continue
		}
		if next := nextPace(member.pacePercent, strain); next != member.pacePercent {
			s.setPace(member, next)
		}
	}
}

// nextPace is the pace of a filling task beside tasks under a strain.
func nextPace(pace int, strain float64) int {
	switch {
	case strain > 1:
		return 0
	case strain > highLatencyShare:
		if slower := int(float64(pace) * slowDownFactor); slower >= minPacePercent {
			return slower
		}
		return 0
	case strain < lowLatencyShare:
		return min(fullPercent, max(minPacePercent, int(float64(pace)*speedUpFactor)))
	default:
		return pace
	}
}

// setPace orders a member to work at a share of its speed.
func (s *session) setPace(m *member, percent int) {
	m.paceInFlight = true
	order := worker.Pace{Task: m.name, Run: m.run.number, Percent: percent, Fence: s.term.Epoch}
	s.enqueue(m.worker, func(target worker.Target) (worker.Reply, error) {
		ctx, cancel := s.requestContext()
		defer cancel()
		return s.Client.Pace(ctx, target, order)
	}, func(err error) {
		m.paceInFlight = false
		switch refusalOf(err) {
		case worker.RefusedFence:
			s.term.StepDown("worker " + m.worker.id + " knows a higher fencing token")
		case 0:
			if err == nil {
				m.pacePercent = percent
			}
		}
	})
}
