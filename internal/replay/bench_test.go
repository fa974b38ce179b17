package replay_test

import (
	"fmt"
	"path/filepath"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/policy"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
)

// timed measures the decisions of a scheduler, and apart those that decided something.
type timed struct {
	*policy.Scheduler
	took   *[]time.Duration
	acting *[]time.Duration
}

func (p timed) Decide(nowMillis int64) []policy.Decision {
	begin := time.Now()
	decisions := p.Scheduler.Decide(nowMillis)
	took := time.Since(begin)
	*p.took = append(*p.took, took)
	if len(decisions) > 0 {
		*p.acting = append(*p.acting, took)
	}
	return decisions
}

// BenchmarkTwoYearDecisions reports the time of a decision over a whole replay at the two-year size.
func BenchmarkTwoYearDecisions(b *testing.B) {
	trace, err := replay.ReadFile(filepath.Join("..", "..", "testdata", "traces", "two-year.jsonl.gz"))
	if err != nil {
		b.Fatal(err)
	}
	for _, name := range []string{policy.PresetLounge, policy.PresetGallery} {
		b.Run(name, func(b *testing.B) {
			config, _ := policy.Preset(name)
			var took, acting []time.Duration
			candidate := replay.Candidate{Name: name, New: func() policy.Policy {
				return timed{policy.New(config), &took, &acting}
			}}
			for b.Loop() {
				if _, err := replay.Run(trace, nil, replay.Options{Policies: []replay.Candidate{candidate}}); err != nil {
					b.Fatal(err)
				}
			}
			slices.Sort(took)
			slices.Sort(acting)
			const whole, high = 1000, 990
			b.ReportMetric(float64(acting[len(acting)*high/whole].Nanoseconds()), "p99-ns/acting-decision")
			b.ReportMetric(float64(took[len(took)*high/whole].Nanoseconds()), "p99-ns/decision")
			b.ReportMetric(float64(took[len(took)-1].Nanoseconds()), "max-ns/decision")
			b.ReportMetric(float64(len(took)/b.N), "decisions/replay")
		})
	}
}

// ownerSize is a data centre in steady state.
type ownerSize struct {
	workers int
	// gangs run with 16 tasks each, waiting gangs wait.
	gangs   int
	waiting int
}

// tasksOfGang is the size of the gangs in BenchmarkOwnerState; the two-year size runs 14,000 tasks in 875 of them.
const tasksOfGang = 16

// BenchmarkOwnerState reports the memory that a policy holds for its workers, running and waiting gangs, and
// the time to submit, decide and end one gang at that size.
func BenchmarkOwnerState(b *testing.B) {
	sizes := []ownerSize{
		{120, 146, 100}, {360, 438, 100}, {720, 875, 100},
		{720, 146, 100}, {720, 438, 100}, {720, 875, 1000}, {720, 875, 4000},
	}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("workers=%d/gangs=%d/waiting=%d", size.workers, size.gangs, size.waiting), func(b *testing.B) {
			before := heapBytes()
			owner := newOwner(b, size)
			held := heapBytes() - before
			b.ReportAllocs()
			at := 0
			for b.Loop() {
				at++
				owner.turn(fmt.Sprintf("turn%d", at))
			}
			b.ReportMetric(float64(held), "heap-B")
			if started := owner.starts - size.gangs; started != at {
				b.Fatalf("%d of %d gangs started", started, at)
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

type owner struct {
	scheduler *policy.Scheduler
	now       int64
	starts    int
}

func newOwner(b *testing.B, size ownerSize) *owner {
	o := &owner{scheduler: policy.New(policy.LoungeConfig()), now: 1_000_000_000}
	var accounts []policy.Account
	var teams []policy.Team
	for at := range 12 {
		name := fmt.Sprintf("account-%d", at)
		accounts = append(accounts, policy.Account{Name: name, Weight: 1})
		teams = append(teams, policy.Team{Account: name, Name: fullTeam, Quota: 1})
		for team := range 13 {
			teams = append(teams, policy.Team{Account: name, Name: fmt.Sprintf("team-%d", team)})
		}
	}
	for at := range size.workers {
		o.scheduler.AddWorker(policy.Worker{
			Name: fmt.Sprintf("w%d", at), Rack: fmt.Sprintf("r%d", at/8), Accelerators: 8, Cores: 32, MemoryMiB: 128 << 10, SpeedPermille: 1000,
		})
	}
	o.scheduler.Configure(accounts, teams, nil)
	// A quarter of the gangs take accelerators; they come first, since tasks that take cores only can fill a worker.
	for at := range size.gangs {
		accelerators := 0
		if at < size.gangs/4 {
			accelerators = 1
		}
		o.submit(fmt.Sprintf("g%d", at), at, tasksOfGang, accelerators, longMillis)
		o.decide()
	}
	if o.starts != size.gangs {
		b.Fatalf("%d gangs run, want %d", o.starts, size.gangs)
	}
	// These are over their team's quota, so that all of them stay waiting.
	for at := range size.waiting {
		o.scheduler.Submit(policy.Job{
			ID: fmt.Sprintf("q%d", at), Account: fmt.Sprintf("account-%d", at%12), Team: fullTeam, Class: policy.Patient,
			Shape: policy.Shape{Members: 8, Accelerators: 8, Adjacency: policy.SameRack}, ExpectedMillis: 3_600_000, SubmittedMillis: o.now,
		})
	}
	o.decide()
	return o
}

// fullTeam has a quota that none of its gangs keeps.
const fullTeam = "full"

// Declared run times.
const (
	shortMillis = 10_000
	longMillis  = 24 * 3_600_000
)

func (o *owner) submit(id string, at, members, accelerators int, expectedMillis int64) {
	o.scheduler.Submit(policy.Job{
		ID: id, Account: fmt.Sprintf("account-%d", at%12), Team: fmt.Sprintf("team-%d", at%13), Class: policy.Ordinary,
		Shape: policy.Shape{Members: members, Accelerators: accelerators, Adjacency: policy.SameDataCentre},
		Cores: 1, MemoryMiB: 1 << 10, ExpectedMillis: expectedMillis, SubmittedMillis: o.now,
	})
}

func (o *owner) decide() {
	for _, decision := range o.scheduler.Decide(o.now) {
		if decision.Start != nil {
			o.starts++
			o.scheduler.Started(decision.Start.JobID, o.now)
		}
	}
}

// turn submits, starts and ends one gang.
func (o *owner) turn(id string) {
	o.now += 1000
	o.submit(id, 0, 1, 1, shortMillis)
	o.decide()
	o.scheduler.Ended(id, policy.Finished, 0, o.now)
	o.decide()
}
