package policy

import (
	"fmt"
	"time"
)

// reasonKind is why a job waits.
type reasonKind uint8

const (
	waitsForDecision reasonKind = iota
	waitsForQuota
	waitsForOrder
	waitsForCells
	waitsForVictims
	waitsForReservation
	waitsForVerdict
)

// reason is what the last decision found out about a waiting job.
type reason struct {
	kind  reasonKind
	count int
	// millis is a time since the Unix epoch.
	millis int64
}

// explainShortage notes that the job found no room.
func (s *Scheduler) explainShortage(r *run) {
	r.why = reason{kind: waitsForCells}
}

// Explain says why a waiting job waits, and what it waits for. It is empty for other jobs.
func (s *Scheduler) Explain(jobID string) string {
	r := s.runs[jobID]
	if r == nil || r.state != waiting && r.state != claiming {
		return ""
	}
	switch r.why.kind {
	case waitsForQuota:
		return fmt.Sprintf("waits for the quota of team %s of account %s: %d of %d accelerators are held, %d more are needed",
			r.Team, r.Account, r.team.held, r.team.Quota, r.total())
	case waitsForVerdict:
		return "is not started again, for it failed on several workers that run other jobs: correct it and submit it again"
	case waitsForOrder:
		return "waits for jobs that come before it by class, deadline, run time and age"
	case waitsForVictims:
		return fmt.Sprintf("waits for %d gangs to leave its accelerators", r.victims)
	case waitsForReservation:
		return fmt.Sprintf("waits for %s: cells are reserved and expected to be free at %s",
			r.Shape, time.UnixMilli(r.why.millis).UTC().Format(time.RFC3339))
	case waitsForCells:
		return s.explainCells(r)
	default:
		return "waits for the next decision"
	}
}

func (s *Scheduler) explainCells(r *run) string {
	if err := s.CheckFits(r.Job); err != nil {
		return "cannot run at present: " + err.Error()
	}
	head := ""
	if s.reservation.run != nil && s.reservation.run != r {
		head = "; job " + s.reservation.run.ID + " is before it"
	}
	if len(r.account.guarantees) == 0 {
		return fmt.Sprintf("waits for %s: too few adjacent accelerators, cores or memory are free, and its account has no guarantee%s", r.Shape, head)
	}
	return fmt.Sprintf("waits for %s: too few adjacent accelerators, cores or memory are free, and its account's guarantee has no unused room for it%s", r.Shape, head)
}
