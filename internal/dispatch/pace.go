package dispatch

import (
	"context"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

const (
	// highLatencyShare and lowLatencyShare are tail latencies of a serving task, as shares of its target: filler tasks
	// beside it are slowed down above the first, and may speed up below the second.
	highLatencyShare = 0.85
	lowLatencyShare  = 0.6
	// slowDownFactor and speedUpFactor change the pace of a filler task; a pace below minPacePercent becomes 0.
	slowDownFactor = 0.35
	speedUpFactor  = 1.6
	minPacePercent = 10
)

// latencyRatio returns the worst tail latency of the serving tasks on a worker, as a share of its target; 0 if none serves.
func (ws *workerState) latencyRatio() float64 {
	worst := 0.0
	for _, member := range ws.members {
		if target := member.run.unit.step.spec.GetTargetMs(); target > 0 && member.phase == running {
			worst = max(worst, member.latencyMs/float64(target))
		}
	}
	return worst
}

// adjustPaces slows down the filler tasks on a worker, which use its unused resources, while the latency of a serving task
// there is too high.
func (s *session) adjustPaces(ws *workerState) {
	ratio := ws.latencyRatio()
	for _, member := range ws.members {
		if !member.run.unit.step.spec.GetFills() || member.phase != running || member.paceInFlight {
			continue
		}
		if next := nextPace(member.pacePercent, ratio); next != member.pacePercent {
			s.setPace(member, next)
		}
	}
}

// nextPace returns the next pace of a filler task in percent, given the latency ratio of its worker.
func nextPace(pace int, ratio float64) int {
	switch {
	case ratio > 1:
		return 0
	case ratio > highLatencyShare:
		if slower := int(float64(pace) * slowDownFactor); slower >= minPacePercent {
			return slower
		}
		return 0
	case ratio < lowLatencyShare:
		return min(fullPercent, max(minPacePercent, int(float64(pace)*speedUpFactor)))
	default:
		return pace
	}
}

// setPace orders a member to run at a share of its speed, in percent.
func (s *session) setPace(m *member, percent int) {
	m.paceInFlight = true
	pace := worker.Pace{Task: m.name, Run: m.run.number, Percent: percent, Fence: s.term.Epoch}
	s.enqueue(m.worker, func(ctx context.Context, target worker.Target) (worker.Reply, error) {
		return s.Client.Pace(ctx, target, pace)
	}, func(err error, _ int) {
		m.paceInFlight = false
		switch refusalOf(err) {
		case worker.RefusedFence:
			s.term.StepDown("worker " + m.worker.id + " has seen a higher fencing token")
		case 0:
			if err == nil {
				m.pacePercent = percent
			}
		}
	})
}
