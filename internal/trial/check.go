package trial

import (
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/worker"
)

// Violation is an invariant that did not hold.
type Violation struct {
	Invariant string
	Detail    string
}

// Invariant counts the checks of one promise and their violations.
type Invariant struct {
	Name       string
	Checks     int
	Violations []Violation
}

// Check counts one check and, when it fails, a violation.
func (i *Invariant) Check(holds bool, format string, arguments ...any) {
	i.Checks++
	if !holds {
		i.Violations = append(i.Violations, Violation{Invariant: i.Name, Detail: fmt.Sprintf(format, arguments...)})
	}
}

// CheckAtMostOnce checks the non-idempotent requests of the outcomes against what the workers ran: none ran
// twice, none that was told not run ran after that answer or before, and each that is done ran. Of a request that
// was asked through two instances at once, one call may not run and the other run.
func CheckAtMostOnce(outcomes []Outcome, histories []worker.History) []*Invariant {
	ran := make(map[uint64]int)
	for _, history := range histories {
		for _, request := range history.Requests {
			ran[request.Checksum]++
		}
	}
	once := &Invariant{Name: "a non-idempotent request runs at most once"}
	truth := &Invariant{Name: "a request told not run did not run"}
	for _, outcome := range outcomes {
		count := ran[xxhash.Sum64String(outcome.Payload)]
		if !outcome.Idempotent {
			once.Check(count <= 1, "%s ran %d times", outcome.Payload, count)
		}
		if outcome.Result == NotRun && !outcome.Repeated {
			truth.Check(count == 0, "%s was told not run and ran %d times", outcome.Payload, count)
		}
		if outcome.Result == Done {
			truth.Check(count >= 1, "%s was told done and never ran", outcome.Payload)
		}
	}
	return []*Invariant{once, truth}
}

// CheckAnswers checks that each caller got the whole answer to its own request or a truthful refusal.
func CheckAnswers(outcomes []Outcome) []*Invariant {
	own := &Invariant{Name: "each caller receives the whole answer to its own request"}
	none := &Invariant{Name: "every request is answered"}
	for _, outcome := range outcomes {
		none.Check(outcome.Result != Lost, "%s was never answered: %s", outcome.Payload, outcome.Detail)
		if outcome.Result == Done || outcome.Result == Foreign {
			own.Check(outcome.Result == Done, "%s was answered with %q", outcome.Payload, outcome.Detail)
		}
	}
	return []*Invariant{own, none}
}

// Shutdown is a graceful shutdown of an instance.
type Shutdown struct {
	// Address is the instance's callers' address, IP:port.
	Address string
	// From and To are when it was asked and when the process had ended.
	From, To time.Time
	// Cut counts the calls that were made for this shutdown and cut off.
	Cut int
}

// CheckShutdowns checks that no call was cut off by a graceful shutdown. Each shutdown is one check.
func CheckShutdowns(outcomes []Outcome, shutdowns []Shutdown) *Invariant {
	whole := &Invariant{Name: "a graceful shutdown cuts off no request"}
	for _, shutdown := range shutdowns {
		cut := shutdown.Cut
		for _, outcome := range outcomes {
			for _, broken := range outcome.Cuts {
				if broken.Address == shutdown.Address && broken.To.After(shutdown.From) && broken.From.Before(shutdown.To) {
					cut++
				}
			}
		}
		whole.Check(cut == 0, "%s cut off %d calls", shutdown.Address, cut)
	}
	return whole
}

// runKey names one run of a gang.
type runKey struct {
	job string
	run uint32
}

// Gangs is what the workers' histories say of the gangs.
type Gangs struct {
	// Whole: no gang ran in part for longer than the window. It is the one with a bound in time.
	Whole *Invariant
	// Overlap: no two runs of a job ran at once.
	Overlap *Invariant
	// StartedOnce: no member of a run started twice.
	StartedOnce *Invariant
}

// CheckGangs checks from what the workers ran that no gang ran with only some of its members for longer
// than the window, in which members start one after another or a cut gang lapses. A member that finished is not
// missing. members gives the size of each job's gang; now ends what still runs.
func CheckGangs(members func(job string) int, histories []worker.History, window time.Duration, now time.Time) Gangs {
	runs := make(map[runKey][]worker.TaskRun)
	for _, history := range histories {
		for _, task := range history.Tasks {
			if task.End.IsZero() {
				task.End = now
			}
			key := runKey{job: task.Job, run: task.Run}
			runs[key] = append(runs[key], task)
		}
	}
	whole := &Invariant{Name: "no gang runs with only some of its members"}
	for key, tasks := range runs {
		partial := worker.Measure(tasks, members(key.job), now)
		whole.Check(max(partial.Start, partial.Stop) <= window, "job %s run %d ran in part for %s at its start and %s at its end",
			key.job, key.run, partial.Start, partial.Stop)
	}
	return Gangs{Whole: whole, Overlap: overlap(runs), StartedOnce: startedOnce(runs)}
}

// startedOnce checks that no member of a run started twice: two owners that both believe the run theirs would do so.
func startedOnce(byRun map[runKey][]worker.TaskRun) *Invariant {
	once := &Invariant{Name: "no member of a run starts twice"}
	for key, tasks := range byRun {
		starts := make(map[uint32]int)
		for _, task := range tasks {
			starts[task.Member]++
			once.Check(starts[task.Member] == 1, "job %s run %d: member %d started again on %s", key.job, key.run, task.Member, task.Worker)
		}
	}
	return once
}

// CheckFencing checks that no worker carried out a call of an owner after one of a later owner. A worker that
// died has forgotten the owners, which a 0 shows.
func CheckFencing(histories []worker.History) *Invariant {
	fenced := &Invariant{Name: "a worker obeys no earlier owner after a later one"}
	for number, history := range histories {
		highest := uint64(0)
		for _, epoch := range history.Epochs {
			fenced.Check(epoch == 0 || epoch >= highest, "worker %d carried out a call of epoch %d after one of epoch %d", number, epoch, highest)
			highest = epoch
		}
	}
	return fenced
}

// Cancellation is a job whose caller was told that it is cancelled.
type Cancellation struct {
	ID string
	At time.Time
}

// CheckCancelled checks that no task of a cancelled job runs later than the bound after the cancellation. now ends
// what still runs.
func CheckCancelled(cancelled []Cancellation, histories []worker.History, bound time.Duration, now time.Time) *Invariant {
	stopped := &Invariant{Name: "a cancelled job stops"}
	last := make(map[string]time.Time)
	for _, history := range histories {
		for _, task := range history.Tasks {
			if task.End.IsZero() {
				task.End = now
			}
			if task.End.After(last[task.Job]) {
				last[task.Job] = task.End
			}
		}
	}
	for _, job := range cancelled {
		over := last[job.ID].Sub(job.At)
		stopped.Check(over <= bound, "job %s ran for %s after its cancellation", job.ID, over)
	}
	return stopped
}

// overlap checks that no two runs of one job ran at once.
func overlap(byRun map[runKey][]worker.TaskRun) *Invariant {
	invariant := &Invariant{Name: "two runs of a job never run at once"}
	type span struct {
		run        uint32
		start, end time.Time
	}
	spans := make(map[string][]span)
	for key, tasks := range byRun {
		s := span{run: key.run, start: tasks[0].Start, end: tasks[0].End}
		for _, task := range tasks {
			if task.Start.Before(s.start) {
				s.start = task.Start
			}
			if task.End.After(s.end) {
				s.end = task.End
			}
		}
		spans[key.job] = append(spans[key.job], s)
	}
	for job, runs := range spans {
		sort.Slice(runs, func(i, j int) bool { return runs[i].run < runs[j].run })
		invariant.Checks++
		for i := 1; i < len(runs); i++ {
			invariant.Check(!runs[i].start.Before(runs[i-1].end), "job %s: run %d began before run %d ended", job, runs[i].run, runs[i-1].run)
		}
	}
	return invariant
}
