package dispatch

import "time"

// maxStartTime is how long after its first run was planned a job may take to begin before it is recorded as waiting. A start takes
// much less, unless its worker doesn't answer or refuses it.
const maxStartTime = time.Second

// recordWaitingJobs records of each job that has a recorded run and hasn't begun in time that it waits: a run that is recorded counts as
// begun otherwise. So does the job whose workers under an earlier owner don't answer, unless it is known to have begun.
func (s *session) recordWaitingJobs() {
	for _, j := range s.jobs {
		if j.begun || j.waitingUnit != nil || j.hasEnded() || j.cancelled || j.firstRunAt.IsZero() || s.now.Sub(j.firstRunAt) < maxStartTime ||
			s.awaitsReport(j) {
			continue
		}
		for _, u := range j.units() {
			if u.runNumber > 0 {
				j.waitingUnit = u
				s.recordLatestRun(u, nil)
				break
			}
		}
	}
}

// recordBegun records that a task of a job has started if the job is recorded as waiting.
func (s *session) recordBegun(j *job) {
	j.begun = true
	u := j.waitingUnit
	if u == nil {
		return
	}
	j.waitingUnit = nil
	if !j.hasEnded() {
		s.recordLatestRun(u, nil)
	}
}

// awaitsReport reports whether a worker that has yet to answer this owner may run a task of the job that an earlier owner recorded.
func (s *session) awaitsReport(j *job) bool {
	for _, u := range j.units() {
		if u.run == nil {
			continue
		}
		for _, m := range u.run.members {
			if ws := m.worker; m.phase == unconfirmed && !ws.confirmed && !ws.unresponsive && (ws.listed || !s.registryRead) {
				return true
			}
		}
	}
	return false
}

// restoreWaiting restores whether a job has begun. The start that follows the record of a run isn't recorded, so if no record says that
// the job has begun, it has the time of a first start to show that.
func (s *session) restoreWaiting(j *job) {
	for _, u := range j.units() {
		recorded, known := j.recordedRuns[u.task]
		switch {
		case !known:
		case recorded.GetJobWaits():
			j.begun, j.waitingUnit = false, u
			return
		case recorded.GetJobNotBegun():
			j.firstRunAt = s.now
		default:
			j.begun = true
		}
	}
}
