package dispatch

import "time"

// usualLeasesInterval is the interval between two records of the runs whose workers hold usual leases.
const usualLeasesInterval = 500 * time.Millisecond

// usualLease is the length of the leases that owners ask for.
func (s *session) usualLease() time.Duration { return min(s.Options.MaxLease, leaseDuration) }

// breaksUsualLease reports whether a worker may hold a lease that is longer than usual if an order with a lease was sent now, although later
// owners rely on a record of usual leases.
func (s *session) breaksUsualLease(ws *workerState) bool {
	if float64(s.now.Sub(ws.clockReadAt))*(clockDriftFactor-1) <= float64(maxDriftAllowance) {
		return false
	}
	for _, m := range ws.members {
		if m.run.usualLeases {
			return true
		}
	}
	return false
}

// checkUsualLeases records that the workers of a run hold no longer leases than usual, once that is certain.
func (s *session) checkUsualLeases(r *run) {
	if r.usualLeases || r.stopReason != "" || r.unit.run != r {
		return
	}
	for _, m := range r.members {
		if m.phase != finished && !s.holdsUsualLease(m) {
			return
		}
	}
	r.usualLeases = true
	s.unrecordedLeases = append(s.unrecordedLeases, r)
}

// holdsUsualLease reports whether the worker of a member certainly holds no longer lease than usual for it. A report has listed it, and this
// owner knows that no start of it is on its way, so it is in the incarnation whose clock was read; this is the first one that has answered
// this owner, so it got no order with the clock of a former one; and no longer lease is left of before.
func (s *session) holdsUsualLease(m *member) bool {
	ws := m.worker
	startedOnce := m.startSent && !m.reportedAt.IsZero() && !m.startCopied && m.unansweredStarts == 0 && ws.ordersInFlight == 0
	firstIncarnation := ws.confirmed && ws.startedAtMs != 0 && !ws.restarted
	return startedOnce && firstIncarnation && !ws.leaseEnd.After(s.leaseEndsBy(s.usualLease()))
}

// recordUsualLeases records the runs that checkUsualLeases has found.
func (s *session) recordUsualLeases() {
	if s.now.Sub(s.usualLeasesRecordedAt) < usualLeasesInterval {
		return
	}
	s.usualLeasesRecordedAt = s.now
	for _, r := range s.unrecordedLeases {
		if r.unit.run == r && !r.unit.step.job.hasEnded() {
			s.recordLatestRun(r.unit, nil)
		}
	}
	s.unrecordedLeases = nil
}
