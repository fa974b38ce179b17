// Package evacuation decides which runs leave a data centre that the operator evacuates, and names the state of each data centre.
//
// It is pure: callers pass what runs and what is free elsewhere. A run is moved only if it loses no more than the time to stop and restore,
// and if there is room for it, so that it doesn't wait stopped for what it could have finished.
package evacuation

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// State is the state of a data centre for operators.
type State string

// States of a data centre.
const (
	// InUse means that tasks start there.
	InUse State = "in use"
	// Evacuating means that nothing starts there, and that tasks still run.
	Evacuating State = "evacuating"
	// Empty means that nothing starts and nothing runs there.
	Empty State = "empty"
	// Returning means that the evacuation has ended and no task has started there since.
	Returning State = "returning"
)

// StateOf returns the state of a data centre in which the given number of tasks run; returned is true from the end of an evacuation until
// a task starts there.
func StateOf(requested, returned bool, tasks int) State {
	switch {
	case requested && tasks > 0:
		return Evacuating
	case requested:
		return Empty
	case returned:
		return Returning
	}
	return InUse
}

// Run is a run with members in a data centre that is evacuated.
type Run struct {
	Task    replica.Task
	Service string
	// Need is what one member takes on a worker. Members counts all of them, also those in other data centres.
	Need    assign.Resources
	Members int
	// Remaining is the expected time until the run ends by itself.
	Remaining time.Duration
	// Checkpointing and LongRunning are those of the step. Stoppable is false for a long-running task of which no more may be missing.
	Checkpointing, LongRunning, Stoppable bool
}

// Worker is a worker outside the data centres that are evacuated, on which tasks may start.
type Worker struct {
	Service string
	Free    assign.Resources
}

// Moves returns the runs to stop now so that they start elsewhere, given the time to stop a run and restore it. Long-running ones go first,
// since they don't end by themselves, then those with most time left. Runs without checkpoints and those that end sooner than a move
// takes are left to end. It reduces what is free on the workers.
func Moves(runs []Run, workers []Worker, moveTime time.Duration) []replica.Task {
	candidates := slices.DeleteFunc(slices.Clone(runs), func(run Run) bool {
		if run.LongRunning {
			return !run.Stoppable
		}
		return !run.Checkpointing || run.Remaining <= moveTime
	})
	slices.SortStableFunc(candidates, func(a, b Run) int {
		switch {
		case a.LongRunning != b.LongRunning && a.LongRunning:
			return -1
		case a.LongRunning != b.LongRunning:
			return 1
		}
		return cmp.Compare(b.Remaining, a.Remaining)
	})
	var moves []replica.Task
	for _, run := range candidates {
		if takeRoom(run, workers) {
			moves = append(moves, run.Task)
		}
	}
	return moves
}

// takeRoom takes the room for all members of a run on the workers, and reports whether there was enough. It changes nothing if there wasn't.
func takeRoom(run Run, workers []Worker) bool {
	taken := make([]int, 0, run.Members)
	for i := range workers {
		for free := workers[i].Free; workers[i].Service == run.Service && len(taken) < run.Members && free.Contains(run.Need); free = free.Sub(run.Need) {
			taken = append(taken, i)
		}
	}
	if len(taken) < run.Members {
		return false
	}
	for _, i := range taken {
		workers[i].Free = workers[i].Free.Sub(run.Need)
	}
	return true
}
