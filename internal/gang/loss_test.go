package gang_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/gang"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/worker"
)

// period is the time between two rounds.
const period = term / 3

func TestCutGangLapsesWhole(t *testing.T) {
	tests := []struct {
		name string
		cut  func(f *fleet, o *owner)
		// bound is how long some members may run without the others: a term when one died that the
		// owner cannot tell from a silent one, a round when the owner dies within one.
		bound time.Duration
		// tells: the owner lives and tells of the loss.
		tells   bool
		atFault string
	}{
		{"one member cut", func(_ *fleet, o *owner) { o.network.SetLink("w1", worker.LinkCut) }, period, true, "w1"},
		{"one member frozen", func(f *fleet, _ *owner) { f.workers[1].SetFaults(worker.Faults{Freeze: true}) }, period, true, "w1"},
		{"one worker dead", func(f *fleet, _ *owner) { f.workers[1].SetFaults(worker.Faults{Dead: true}) }, term, true, "w1"},
		{"all cut", func(_ *fleet, o *owner) { o.network.SetLinks(worker.LinkCut) }, period, true, "w0"},
		{"owner killed", func(_ *fleet, o *owner) { o.kill() }, period, false, ""},
		{"owner killed in the middle of a round", func(_ *fleet, o *owner) {
			o.network.SetLink("w1", worker.LinkCut)
			time.Sleep(period)
			o.kill()
		}, period, false, ""},
		{"owner killed just before it gives up", func(_ *fleet, o *owner) {
			o.network.SetLink("w1", worker.LinkCut)
			time.Sleep(2 * period)
			o.kill()
		}, period, false, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, 3, func(t *testing.T, f *fleet) {
				o := f.newOwner(t, 1).run(t)
				o.mustStart(t, job("a", 1, 0, 1, 2))
				time.Sleep(2*term + period/2)
				test.cut(f, o)
				time.Sleep(4 * term)
				f.workers[1].SetFaults(worker.Faults{})
				if got := f.measure("a", 1, 3); got.Stop > test.bound {
					t.Errorf("the gang stopped over %v, want at most %v", got.Stop, test.bound)
				}
				if all, done := f.intervals("a", worker.CauseFinished); all != 3 || done != 0 {
					t.Errorf("%d of %d members ran to their end without the others", done, all)
				}
				if test.tells {
					o.wantEnd(t, lost, test.atFault)
				}
			})
		})
	}
}

func TestSilentWorkerDoesNotHoldUpOtherGangs(t *testing.T) {
	inBubble(t, 4, func(t *testing.T, f *fleet) {
		o := f.newOwner(t, 1).run(t)
		o.mustStart(t, job("a", 1, 0, 1))
		o.mustStart(t, job("b", 1, 1, 2).withAccelerators(12))
		o.mustStart(t, job("c", 1, 2, 3).withAccelerators(48))
		f.workers[0].SetFaults(worker.Faults{Freeze: true})
		time.Sleep(work + term)
		f.workers[0].SetFaults(worker.Faults{})
		f.wantWhole(t, "a", 1, 2)
		f.wantIntervals(t, "b", 2, worker.CauseFinished)
		f.wantIntervals(t, "c", 2, worker.CauseFinished)
	})
}

func TestFailedTaskStopsTheGang(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, f *fleet) {
		o := f.newOwner(t, 1).run(t)
		o.mustStart(t, job("a", 1, 0, 1, 2))
		time.Sleep(term)
		f.workers[2].SetFaults(worker.Faults{FailTasks: true})
		time.Sleep(term)
		o.wantEnd(t, apiv1.RunResult_RUN_RESULT_FAILED, "w2")
		f.wantWhole(t, "a", 1, 3)
	})
}

func TestShortOutageOfALinkIsSurvived(t *testing.T) {
	for name, state := range map[string]worker.LinkState{
		"cut": worker.LinkCut, "answers lost": worker.LinkAnswersLost, "held": worker.LinkHeld,
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 3, func(t *testing.T, f *fleet) {
				o := f.newOwner(t, 1).run(t)
				o.mustStart(t, job("a", 1, 0, 1, 2))
				time.Sleep(term + period/2)
				o.network.SetLink("w1", state)
				time.Sleep(period)
				o.network.SetLink("w1", worker.LinkUp)
				time.Sleep(work + term)
				f.wantIntervals(t, "a", 3, worker.CauseFinished)
			})
		})
	}
}

// TestLateCallsOfAFailedStart lets a worker take the reservation and the release of a first attempt after a
// second attempt of the same run has started there.
func TestLateCallsOfAFailedStart(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *fleet) {
		o := f.newOwner(t, 1).run(t)
		f.workers[1].SetFaults(worker.Faults{SlowMillis: 2000})
		if err := o.Start(o.ctx, job("a", 1, 0, 1).withAttempt(1).job); err == nil {
			t.Fatal("the slow worker took the reservation in time")
		}
		f.workers[1].SetFaults(worker.Faults{})
		o.mustStart(t, job("a", 1, 0, 1).withAttempt(2))
		time.Sleep(work + term)
		f.wantIntervals(t, "a", 2, worker.CauseFinished)
	})
}

func TestStopWaitsForASilentWorkerToLapse(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *fleet) {
		o := f.newOwner(t, 1).run(t)
		o.mustStart(t, job("a", 1, 0, 1))
		time.Sleep(term)
		o.network.SetLink("w1", worker.LinkCut)
		if _, err := o.Stop(o.ctx, "a", 1, 0); err != nil {
			t.Fatal(err)
		}
		for i, w := range f.workers {
			if run := w.History().Tasks[0]; run.End.IsZero() {
				t.Errorf("the stop returned while worker %d runs %+v", i, run)
			}
		}
	})
}

// TestStopMeantForAnEarlierRunSparesTheNext stops run 1 of a job when run 2 is held.
func TestStopMeantForAnEarlierRunSparesTheNext(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *fleet) {
		o := f.newOwner(t, 1).run(t)
		next := job("a", 1, 0, 1)
		next.job.Run = 2
		o.mustStart(t, next)
		if _, err := o.Stop(o.ctx, "a", 1, 0); !errors.Is(err, gang.ErrNotHeld) {
			t.Errorf("the stop of run 1 gave %v, want ErrNotHeld", err)
		}
		time.Sleep(work + term)
		f.wantIntervals(t, "a", 2, worker.CauseFinished)
	})
}

func TestCheckpointIsBoundedAndCountsWhenWhole(t *testing.T) {
	const bound = 2 * time.Second
	const half = 500_000
	inBubble(t, 2, func(t *testing.T, f *fleet) {
		o := f.newOwner(t, 1).run(t)
		o.mustStart(t, job("a", 1, 0, 1))
		time.Sleep(work / 2)
		if kept, err := o.Checkpoint(o.ctx, "a", bound); err != nil || kept != half {
			t.Fatalf("checkpoint kept %d, error %v", kept, err)
		}
		time.Sleep(work / 4)
		f.workers[1].SetFaults(worker.Faults{SlowCheckpointMillis: time.Minute.Milliseconds()})
		asked := time.Now()
		kept, err := o.Stop(o.ctx, "a", 1, bound)
		if err != nil || kept != half {
			t.Errorf("stop kept %d, error %v; want the last whole checkpoint", kept, err)
		}
		for i, w := range f.workers {
			if end := w.History().Tasks[0].End; end.IsZero() || end.Sub(asked) > bound {
				t.Errorf("worker %d stopped after %v, want at most %v", i, end.Sub(asked), bound)
			}
		}
		time.Sleep(time.Minute)
	})
}

// TestRandomFaultsLeaveGangsWhole breaks links, workers and owners at random while gangs run.
func TestRandomFaultsLeaveGangsWhole(t *testing.T) {
	checks := 0
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			inBubble(t, 6, func(t *testing.T, f *fleet) {
				checks += f.runRandomFaults(t, rand.New(rand.NewPCG(seed, 4)))
			})
		})
	}
	if checks == 0 {
		t.Error("no gang was checked")
	}
}

// runRandomFaults returns the number of gangs that it checked.
func (f *fleet) runRandomFaults(t *testing.T, random *rand.Rand) int {
	const gangs = 4
	epoch := uint64(1)
	o := f.newOwner(t, epoch).run(t)
	var jobs []*apiv1.Job
	for i := range gangs {
		members := random.Perm(len(f.workers))[:2+random.IntN(3)]
		next := job(fmt.Sprintf("j%d", i), epoch, members...)
		for _, each := range next.job.Placement.Members {
			each.Accelerators = 3 << (2 * i)
		}
		o.mustStart(t, next)
		jobs = append(jobs, next.job)
	}
	for range 40 {
		time.Sleep(time.Duration(random.Int64N(int64(period))))
		name := fmt.Sprintf("w%d", random.IntN(len(f.workers)))
		target := f.workers[random.IntN(len(f.workers))]
		switch random.IntN(8) {
		case 0:
			o.network.SetLink(name, worker.LinkCut)
		case 1:
			o.network.SetLink(name, worker.LinkAnswersLost)
		case 2:
			target.SetFaults(worker.Faults{Freeze: true})
		case 3:
			target.SetFaults(worker.Faults{SlowMillis: random.Int64N(2 * period.Milliseconds())})
		case 4:
			o.kill()
			epoch++
			o = f.takeOver(t, epoch, o, jobs)
		default:
			o.network.SetLinks(worker.LinkUp)
			target.SetFaults(worker.Faults{})
		}
	}
	for _, w := range f.workers {
		w.SetFaults(worker.Faults{})
	}
	time.Sleep(work + 4*term)
	for _, each := range jobs {
		f.wantWhole(t, each.GetId(), 1, len(each.GetPlacement().GetMembers()))
	}
	return len(jobs)
}

// takeOver restores the gangs that the last owner did not see end.
func (f *fleet) takeOver(t *testing.T, epoch uint64, last *owner, jobs []*apiv1.Job) *owner {
	next := f.newOwner(t, epoch)
	var held []*apiv1.Job
	for _, each := range jobs {
		if last.Holds(each.GetId()) {
			held = append(held, each)
		}
	}
	if err := next.Restore(next.ctx, held); err != nil {
		t.Fatal(err)
	}
	return next.run(t)
}
