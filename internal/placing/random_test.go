package placing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/gang"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/logservice"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/worker"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

const (
	// startWindow is how long a gang may run before all its members have started.
	startWindow = time.Second
	// longestDelay is how late a worker of the random tests takes a call.
	longestDelay = 2 * time.Second
)

// chaos is one random run over a cluster of two instances.
type chaos struct {
	c         *cluster
	random    *rand.Rand
	instances []*instance
	owner     *instance
	epoch     uint64
	jobs      []string
	cancelled map[string]bool
	members   map[string]int
}

// TestRandomFaults runs over the least policy.
func TestRandomFaults(t *testing.T) {
	testRandomFaults(t, func() policy.Policy { return newFirstFit() })
}

// TestRandomFaultsWithThePolicyOfTheLounge runs over the policy of the product.
func TestRandomFaultsWithThePolicyOfTheLounge(t *testing.T) {
	testRandomFaults(t, func() policy.Policy { return policy.New(policy.LoungeConfig()) })
}

// testRandomFaults breaks workers, links, the log and owners at random, two and more at a time, while
// jobs come and are cancelled. Whatever happens, gangs are whole, runs of a job never overlap, and when
// all is mended every job that was not cancelled finishes.
func testRandomFaults(t *testing.T, newPolicy func() policy.Policy) {
	checked := 0
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			inBubble(t, 6, func(t *testing.T, c *cluster) {
				c.newPolicy = newPolicy
				x := &chaos{
					c: c, random: rand.New(rand.NewPCG(seed, 7)), epoch: 1,
					cancelled: map[string]bool{}, members: map[string]int{},
				}
				x.instances = []*instance{c.newInstance("i0", 1)}
				x.owner = x.instances[0].own(1)
				for range 60 {
					time.Sleep(time.Duration(x.random.Int64N(int64(term))))
					x.act()
				}
				x.mend()
				x.settle()
				checked += x.check(t)
				x.owner.kill()
			})
		})
	}
	if checked == 0 {
		t.Error("no gang was checked")
	}
}

// act does one thing at random.
func (x *chaos) act() {
	target := x.c.workers[x.random.IntN(len(x.c.workers))]
	address := target.Description().GetAddress()
	switch x.random.IntN(12) {
	case 0, 1, 2:
		x.submit()
	case 3:
		x.cancel()
	case 4:
		x.owner.network.SetLink(address, worker.LinkState(x.random.IntN(3)))
	case 5:
		target.SetFaults(worker.Faults{Freeze: true})
	case 6:
		target.SetFaults(worker.Faults{SlowMillis: x.random.Int64N(longestDelay.Milliseconds())})
	case 7:
		target.SetFaults(worker.Faults{Dead: true})
	case 8:
		x.c.log.SetFaults(logservice.Faults{Outage: x.random.IntN(2) == 0, LostAfterPermille: 300, AppendDelayMillis: 200})
	case 9:
		x.takeOver()
	default:
		target.SetFaults(worker.Faults{})
		x.owner.network.SetLinks(worker.LinkUp)
		x.c.log.SetFaults(logservice.Faults{})
	}
}

func (x *chaos) submit() {
	id := fmt.Sprintf("j%02d", len(x.jobs))
	class := ordinary
	if x.random.IntN(4) == 0 {
		class = urgent
	}
	members := 1 + x.random.IntN(4)
	x.c.log.SetFaults(logservice.Faults{})
	x.owner.submit(id, class, uint32(members), 1<<x.random.IntN(4))
	x.jobs = append(x.jobs, id)
	x.members[id] = members
}

func (x *chaos) cancel() {
	if len(x.jobs) == 0 {
		return
	}
	id := x.jobs[x.random.IntN(len(x.jobs))]
	if job := x.owner.job(id); !job.Live() {
		return
	}
	x.c.log.SetFaults(logservice.Faults{})
	err := x.owner.replica.Propose(x.owner.ctx, &apiv1.Record{
		Body: &apiv1.Record_JobCancelled{JobCancelled: &apiv1.JobCancelled{Id: id}},
	})
	x.cancelled[id] = err == nil
}

// takeOver kills the owner, or leaves it running without the log, and lets a new instance own.
func (x *chaos) takeOver() {
	x.c.log.SetFaults(logservice.Faults{})
	last := x.owner
	if x.random.IntN(2) == 0 {
		last.kill()
	} else {
		last.log.setCut(true)
		defer func() {
			last.log.setCut(false)
			if err := <-last.ended; !errors.Is(err, gang.ErrFenced) {
				x.c.t.Errorf("the old loop ended with %v", err)
			}
		}()
	}
	time.Sleep(time.Duration(x.random.Int64N(int64(2 * term))))
	x.epoch++
	x.owner = x.c.newInstance(fmt.Sprintf("i%d", x.epoch), x.epoch).own(x.epoch)
	time.Sleep(term)
}

// settle waits until all jobs have ended, at most as long as they would take one after another.
func (x *chaos) settle() {
	for range 20 {
		time.Sleep(work)
		if !slices.ContainsFunc(x.jobs, func(id string) bool {
			job := x.owner.job(id)
			return job.Live()
		}) {
			return
		}
	}
}

func (x *chaos) mend() {
	x.c.log.SetFaults(logservice.Faults{})
	x.owner.network.SetLinks(worker.LinkUp)
	for _, w := range x.c.workers {
		w.SetFaults(worker.Faults{})
	}
}

// check returns the number of runs of gangs that it checked.
func (x *chaos) check(t *testing.T) int {
	checked := 0
	for _, id := range x.jobs {
		job := x.owner.job(id)
		if !x.cancelled[id] && job.State != finished {
			t.Errorf("%s is %v in run %d after all was mended: %s", id, job.State, job.Run, job.Reason)
		}
		runs := x.c.runs(id)
		wantNoOverlap(t, runs)
		for run := uint32(1); run <= job.Run; run++ {
			ofRun := slices.DeleteFunc(slices.Clone(runs), func(r worker.TaskRun) bool { return r.Run != run })
			checked++
			wantWhole(t, ofRun, x.members[id])
		}
	}
	return checked
}

// wantWhole fails the test if a run had some of its members running for longer than stated.
func wantWhole(t *testing.T, runs []worker.TaskRun, members int) {
	t.Helper()
	got := worker.Measure(runs, members, time.Now())
	bound := term + longestDelay
	if slices.ContainsFunc(runs, func(run worker.TaskRun) bool { return run.Cause == worker.CauseDied }) {
		// The others may have been renewed in the round in which the worker died, and their stops be lost.
		bound += term / 3
	}
	if got.Start > startWindow+longestDelay || got.Stop > bound {
		t.Errorf("started over %v, stopped over %v, want at most %v: %+v", got.Start, got.Stop, bound, runs)
	}
}
