package gang_test

import (
	"testing"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/gang"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/worker"
)

// TestPausedOwnerIsFenced holds back all that the first owner sends, lets a second one take over, and
// delivers the first one's calls late: renewals and the stops by which it gives its gang up.
func TestPausedOwnerIsFenced(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, f *fleet) {
		first := f.newOwner(t, 1).run(t)
		placed := job("a", 1, 0, 1, 2)
		first.mustStart(t, placed)
		time.Sleep(term)
		first.network.SetLinks(worker.LinkHeld)
		time.Sleep(period)

		second := f.newOwner(t, 2)
		if err := second.Restore(second.ctx, []*apiv1.Job{placed.job}); err != nil {
			t.Fatal(err)
		}
		second.run(t)
		time.Sleep(2 * term)
		first.network.SetLinks(worker.LinkUp)
		time.Sleep(term)
		if err := first.Start(first.ctx, job("b", 1, 0, 1, 2).job); !errors.Is(err, gang.ErrFenced) {
			t.Errorf("start by the old owner: %v", err)
		}
		time.Sleep(work)

		f.wantIntervals(t, "a", 3, worker.CauseFinished)
		second.wantEnd(t, finished, "")
		refused := 0
		for _, w := range f.workers {
			refused += w.History().Refused
		}
		if refused == 0 {
			t.Error("no call of the old owner arrived late")
		}
	})
}

func TestTakeover(t *testing.T) {
	tests := []struct {
		name string
		// after is how long after the first owner's death the second one restores.
		after  time.Duration
		break1 func(f *fleet, second *owner)
		want   apiv1.RunResult
	}{
		{"within the term", term / 2, func(*fleet, *owner) {}, finished},
		{"after the term", term + period, func(*fleet, *owner) {}, lost},
		{"with a dead worker", term / 2, func(f *fleet, _ *owner) { f.workers[1].SetFaults(worker.Faults{Dead: true}) }, lost},
		{"with answers lost at first", term / 3, func(_ *fleet, second *owner) {
			second.network.SetLink("w1", worker.LinkAnswersLost)
			time.AfterFunc(term/2, func() { second.network.SetLink("w1", worker.LinkUp) })
		}, finished},
		{"with a worker that restarted", term / 2, func(f *fleet, _ *owner) {
			f.workers[1].SetFaults(worker.Faults{Dead: true})
			f.workers[1].SetFaults(worker.Faults{})
		}, lost},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, 3, func(t *testing.T, f *fleet) {
				first := f.newOwner(t, 1).run(t)
				placed := job("a", 1, 0, 1, 2)
				first.mustStart(t, placed)
				time.Sleep(term)
				first.kill()
				second := f.newOwner(t, 2)
				test.break1(f, second)
				time.Sleep(test.after)
				if err := second.Restore(second.ctx, []*apiv1.Job{placed.job}); err != nil {
					t.Fatal(err)
				}
				second.run(t)
				time.Sleep(work + 2*term)
				f.wantWhole(t, "a", 1, 3)
				if ends := second.ended(); len(ends) != 1 || ends[0].Result != test.want {
					t.Errorf("ends %+v, want one %v", ends, test.want)
				}
			})
		})
	}
}

// TestTakeoverStartsWhatWasOnlyReserved lets the first owner die after it logged the start and before
// it started a member.
func TestTakeoverStartsWhatWasOnlyReserved(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *fleet) {
		first := f.newOwner(t, 1).run(t)
		first.log = func(*apiv1.Record) error {
			first.network.SetLinks(worker.LinkCut)
			return nil
		}
		placed := job("a", 1, 0, 1)
		go func() { _ = first.Start(first.ctx, placed.job) }()
		time.Sleep(term / 2)
		first.kill()
		second := f.newOwner(t, 2)
		if err := second.Restore(second.ctx, []*apiv1.Job{placed.job}); err != nil {
			t.Fatal(err)
		}
		second.run(t)
		time.Sleep(work + term)
		f.wantIntervals(t, "a", 2, worker.CauseFinished)
		second.wantEnd(t, finished, "")
	})
}

// TestTakeoverStopsWhatTheLedgerDoesNotKnow lets the first owner die with a reservation that it did not log.
func TestTakeoverStopsWhatTheLedgerDoesNotKnow(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *fleet) {
		first := f.newOwner(t, 1).run(t)
		known := job("a", 1, 0, 1)
		first.mustStart(t, known)
		first.log = func(*apiv1.Record) error {
			first.network.SetLinks(worker.LinkCut)
			<-first.ctx.Done()
			return first.ctx.Err()
		}
		go func() { _ = first.Start(first.ctx, job("b", 1, 0, 1).withAccelerators(12).job) }()
		time.Sleep(time.Second)
		first.kill()
		second := f.newOwner(t, 2)
		if err := second.Restore(second.ctx, []*apiv1.Job{known.job}); err != nil {
			t.Fatal(err)
		}
		second.run(t)
		time.Sleep(time.Second)
		second.mustStart(t, job("c", 2, 0, 1).withAccelerators(12))
	})
}
