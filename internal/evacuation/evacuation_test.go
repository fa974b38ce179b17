package evacuation_test

import (
	"slices"
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/evacuation"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

const moveTime = time.Second

func run(job string, remaining time.Duration, change func(*evacuation.Run)) evacuation.Run {
	r := evacuation.Run{
		Task: replica.Task{Job: job}, Service: "s", Need: assign.Resources{CPU: 1000, Memory: 1024, Accelerators: 4}, Members: 1,
		Remaining: remaining, Checkpointing: true, Stoppable: true,
	}
	if change != nil {
		change(&r)
	}
	return r
}

func worker(accelerators int) evacuation.Worker {
	return evacuation.Worker{Service: "s", Free: assign.Resources{CPU: 32000, Memory: 65536, Accelerators: accelerators}}
}

// Guards against an evacuation that loses work: runs without checkpoints, or that end sooner than a move takes, are left to end.
func TestOnlyRunsThatGainAreMoved(t *testing.T) {
	runs := []evacuation.Run{
		run("no-checkpoint", time.Minute, func(r *evacuation.Run) { r.Checkpointing = false }),
		run("ends-soon", moveTime, nil),
		run("moves", time.Minute, nil),
		run("may-not-miss", time.Minute, func(r *evacuation.Run) { r.LongRunning, r.Stoppable = true, false }),
	}
	moves := evacuation.Moves(runs, []evacuation.Worker{worker(8), worker(8)}, moveTime)
	if want := []replica.Task{{Job: "moves"}}; !slices.Equal(moves, want) {
		t.Errorf("moves are %v, want %v", moves, want)
	}
}

// Guards against runs that are stopped for a move and then wait, because there is no room elsewhere for all members.
func TestNothingIsMovedWithoutRoom(t *testing.T) {
	runs := []evacuation.Run{
		run("long", time.Hour, func(r *evacuation.Run) { r.Members = 5 }),
		run("short", time.Minute, nil),
		run("other-service", time.Hour, func(r *evacuation.Run) { r.Service = "t" }),
	}
	moves := evacuation.Moves(runs, []evacuation.Worker{worker(8), worker(8)}, moveTime)
	if want := []replica.Task{{Job: "short"}}; !slices.Equal(moves, want) {
		t.Errorf("moves are %v, want %v: five members of 4 accelerators don't fit into 16", moves, want)
	}
}

// Guards against a long-running task that waits until the others have taken the room, although it never ends by itself.
func TestLongRunningTasksAreReplacedFirst(t *testing.T) {
	runs := []evacuation.Run{
		run("checkpointing", time.Hour, nil),
		run("long-running", 0, func(r *evacuation.Run) { r.LongRunning = true }),
	}
	moves := evacuation.Moves(runs, []evacuation.Worker{worker(4)}, moveTime)
	if want := []replica.Task{{Job: "long-running"}}; !slices.Equal(moves, want) {
		t.Errorf("moves are %v, want %v", moves, want)
	}
}

// Guards against a data centre that operators see as empty while tasks run there, or as in use before any task could start again.
func TestStates(t *testing.T) {
	for _, test := range []struct {
		requested, returned bool
		tasks               int
		want                evacuation.State
	}{
		{false, false, 3, evacuation.InUse}, {true, false, 3, evacuation.Evacuating}, {true, false, 0, evacuation.Empty},
		{false, true, 0, evacuation.Returning},
	} {
		if state := evacuation.StateOf(test.requested, test.returned, test.tasks); state != test.want {
			t.Errorf("state of %+v is %q, want %q", test, state, test.want)
		}
	}
}
