package dispatch

import "time"

// maxStartTime is how long after its first run was planned a job may take to begin before it is recorded as waiting. A start takes
// much less, unless its worker doesn't answer or refuses it.
const maxStartTime = time.Second

// recordWaitingJobs records of each job that has a recorded run and hasn't begun in time that it waits: a run that is recorded counts as
// begun otherwise.
func (s *session) recordWaitingJobs() {
	for _, j := range s.jobs {
		if j.begun || j.waitingUnit != nil || j.hasEnded() || j.cancelled || j.firstRunAt.IsZero() || s.now.Sub(j.firstRunAt) < maxStartTime {
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

// restoreWaiting restores whether a job has begun. A job with recorded runs has, unless one of these records says that it waits.
func (s *session) restoreWaiting(j *job) {
	j.begun = len(j.recordedRuns) > 0
	for _, u := range j.units() {
		if j.recordedRuns[u.task].GetJobWaits() {
			j.begun, j.waitingUnit = false, u
			return
		}
	}
}
