package policy

import (
	"fmt"
	"slices"
	"time"
)

const (
	// suspectJobs is the number of different jobs whose failures on a worker make a verdict.
	suspectJobs = 3
	// suspectLead is by how many jobs a worker must lead the other workers of a gang that failed.
	suspectLead = 2
	// faultyWorkers is the number of different workers on which a job fails before it is itself at fault.
	faultyWorkers = 3
	// probesToReturn is the number of good probes in a row that end a quarantine.
	probesToReturn = 2
	// evidenceMillis is how long a failure counts.
	evidenceMillis = int64(2 * time.Hour / time.Millisecond)
	// firstProbeMillis is the time to the first probe; it doubles with every quarantine up to lastProbeMillis.
	firstProbeMillis = int64(time.Minute / time.Millisecond)
	lastProbeMillis  = int64(time.Hour / time.Millisecond)
)

// failure is one job that failed on a worker.
type failure struct {
	job      string
	atMillis int64
}

// evidence is what speaks against a worker.
type evidence struct {
	failures []failure
	// verdict is set while the proposed return of a worker waits for MarkWorker.
	verdict bool
	// quarantines counts the quarantines since the worker last finished a job.
	quarantines  int
	goodProbes   int
	probeMillis  int64
	probePending bool
}

// StartFailed notes that the worker could not start a task of the job.
func (s *Scheduler) StartFailed(jobID, worker string, nowMillis int64) {
	r, w := s.runs[jobID], s.byName[worker]
	if r == nil || w == nil {
		return
	}
	s.judging = true
	s.blame(r, w, nowMillis)
	r.blamed = true
}

// blame adds the job to the evidence against the worker and keeps the job off it.
func (s *Scheduler) blame(r *run, w *workerState, nowMillis int64) {
	if !slices.Contains(r.FailedWorkers, w.Name) {
		r.FailedWorkers = append(r.FailedWorkers, w.Name)
	}
	s.suspect(r, w, nowMillis)
}

func (s *Scheduler) suspect(r *run, w *workerState, nowMillis int64) {
	e := &w.evidence
	e.failures = slices.DeleteFunc(e.failures, func(f failure) bool {
		return f.job == r.ID || nowMillis-f.atMillis > evidenceMillis
	})
	if r.atFault {
		return
	}
	e.failures = append(e.failures, failure{job: r.ID, atMillis: nowMillis})
	if !slices.Contains(s.suspects, w) {
		s.suspects = append(s.suspects, w)
	}
}

// noteEnd draws the conclusions from the end of a run.
func (s *Scheduler) noteEnd(r *run, result EndResult, nowMillis int64) {
	switch result {
	case Finished:
		s.noteFinished(r, nowMillis)
	case Failed:
		s.noteFailed(r, nowMillis)
	default:
	}
}

func (s *Scheduler) noteFinished(r *run, nowMillis int64) {
	if r.state != running {
		return
	}
	s.noteProgress(r)
	for _, sp := range r.spots {
		sp.worker.evidence.quarantines = 0
	}
	const full = 1000
	work := (nowMillis - r.startedMillis) * int64(r.slowest) / full
	declared := max(r.ExpectedMillis, 1) * int64(fullPPM-min(r.startedPPM, fullPPM)) / fullPPM
	r.account.declared.note(work, declared)
}

// noteProgress clears the evidence against the workers of a run that gets on.
func (s *Scheduler) noteProgress(r *run) {
	for _, sp := range r.spots {
		sp.worker.evidence.failures = sp.worker.evidence.failures[:0]
		sp.worker.distrusted = false
	}
}

// noteFailed blames the worker of a run on one worker. Of several workers all are suspected, and the one with the
// most failures is avoided by the job from now on.
func (s *Scheduler) noteFailed(r *run, nowMillis int64) {
	if !s.judging {
		return
	}
	r.failures++
	if r.blamed {
		r.blamed = false
		s.judgeJob(r)
		return
	}
	var worst *workerState
	alone := true
	for _, sp := range r.spots {
		alone = alone && sp.worker == r.spots[0].worker
		s.suspect(r, sp.worker, nowMillis)
		if worst == nil || len(sp.worker.evidence.failures) > len(worst.evidence.failures) {
			worst = sp.worker
		}
	}
	if worst != nil && (alone || s.leads(worst, r)) && !slices.Contains(r.FailedWorkers, worst.Name) {
		r.FailedWorkers = append(r.FailedWorkers, worst.Name)
	}
	s.judgeJob(r)
}

// leads reports whether clearly more jobs failed on the worker than on the other workers of the run.
func (s *Scheduler) leads(w *workerState, r *run) bool {
	for _, sp := range r.spots {
		if sp.worker != w && len(sp.worker.evidence.failures)+suspectLead > len(w.evidence.failures) {
			return false
		}
	}
	return true
}

// judgeJob finds the job at fault when it failed on several workers that have not failed several other jobs, and
// withdraws its evidence against them.
func (s *Scheduler) judgeJob(r *run) {
	innocent := 0
	for _, name := range r.FailedWorkers {
		if w := s.byName[name]; w != nil && w.condition == Healthy && len(w.evidence.failures) < suspectJobs {
			innocent++
		}
	}
	if r.atFault || innocent < faultyWorkers && r.failures < 2*faultyWorkers {
		return
	}
	r.atFault = true
	for _, w := range s.suspects {
		w.evidence.failures = slices.DeleteFunc(w.evidence.failures, func(f failure) bool { return f.job == r.ID })
	}
	s.faulty = append(s.faulty, r)
}

// reportFaulty reports the jobs found at fault that still wait.
func (s *Scheduler) reportFaulty() {
	for _, r := range s.faulty {
		if s.runs[r.ID] == r && r.state == waiting {
			s.decisions = append(s.decisions, Decision{AtFault: &AtFault{
				JobID:  r.ID,
				Reason: fmt.Sprintf("failed %d times, and on %d different workers: correct the job and submit it again", r.failures, len(r.FailedWorkers)),
			}})
		}
	}
	s.faulty = s.faulty[:0]
}

// judge proposes the quarantine of suspected workers, probes those in quarantine and proposes their return.
func (s *Scheduler) judge() {
	s.reportFaulty()
	for _, w := range s.suspects {
		s.judgeWorker(w)
	}
	s.suspects = slices.DeleteFunc(s.suspects, func(w *workerState) bool {
		return w.condition != Quarantined && len(w.evidence.failures) == 0
	})
}

func (s *Scheduler) judgeWorker(w *workerState) {
	e := &w.evidence
	switch {
	case w.condition == Healthy && len(e.failures) >= suspectJobs && s.standsOut(w):
		s.MarkWorker(w.Name, Quarantined)
		s.decisions = append(s.decisions, Decision{Verdict: &Verdict{
			Worker: w.Name, Condition: Quarantined,
			Reason: fmt.Sprintf("%d different jobs failed there and none got on", len(e.failures)),
		}})
	case w.condition == Quarantined && e.goodProbes >= probesToReturn && !e.verdict:
		e.verdict = true
		s.decisions = append(s.decisions, Decision{Verdict: &Verdict{
			Worker: w.Name, Condition: Healthy, Reason: fmt.Sprintf("%d probes in a row succeeded", e.goodProbes),
		}})
	case s.judging && w.condition == Quarantined && !e.probePending && s.now >= e.probeMillis && e.goodProbes < probesToReturn:
		e.probePending = true
		s.decisions = append(s.decisions, Decision{Probe: &Probe{Worker: w.Name}})
	}
}

// standsOut reports whether the jobs that failed on the worker do not speak as much against a rack of others, which
// would point to something else than the worker.
func (s *Scheduler) standsOut(w *workerState) bool {
	alike := 0
	for _, other := range s.suspects {
		if other != w && len(other.evidence.failures) >= len(w.evidence.failures) && sameJobs(w, other) {
			alike++
		}
	}
	return alike == 0
}

// sameJobs reports whether all jobs that failed on w failed on the other worker too.
func sameJobs(w, other *workerState) bool {
	for _, f := range w.evidence.failures {
		if !slices.ContainsFunc(other.evidence.failures, func(g failure) bool { return g.job == f.job }) {
			return false
		}
	}
	return true
}

// noteCondition starts or ends the watch over a worker whose condition changed.
func (s *Scheduler) noteCondition(w *workerState) {
	e := &w.evidence
	e.verdict = false
	w.distrusted = false
	if w.condition == Quarantined {
		e.quarantines++
		e.goodProbes, e.probePending = 0, false
		e.probeMillis = s.now + e.probePause()
		if !slices.Contains(s.suspects, w) {
			s.suspects = append(s.suspects, w)
		}
	}
	if w.condition == Healthy {
		e.failures = e.failures[:0]
	}
}

func (e *evidence) probePause() int64 {
	pause := firstProbeMillis
	for i := 1; i < e.quarantines && pause < lastProbeMillis; i++ {
		pause *= 2
	}
	return min(pause, lastProbeMillis)
}

// Probed notes the result of a probe.
func (s *Scheduler) Probed(worker string, healthy bool, nowMillis int64) {
	w := s.byName[worker]
	if w == nil || w.condition != Quarantined {
		return
	}
	e := &w.evidence
	e.probePending = false
	s.judging = true
	s.now = max(s.now, nowMillis)
	e.probeMillis = s.now + e.probePause()
	if healthy {
		e.goodProbes++
		return
	}
	e.goodProbes = 0
}

// nextProbe is when the next probe is due; 0 for never.
func (s *Scheduler) nextProbe() int64 {
	next := int64(0)
	for _, w := range s.suspects {
		e := &w.evidence
		if s.judging && w.condition == Quarantined && !e.probePending && !e.verdict && (next == 0 || e.probeMillis < next) {
			next = e.probeMillis
		}
	}
	return next
}
