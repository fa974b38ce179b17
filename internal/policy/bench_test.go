package policy

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"
)

// steady keeps a data centre busy: every step ends one gang and submits another.
type steady struct {
	s       *Scheduler
	random  *rand.Rand
	now     int64
	next    int
	running []string
	claims  int
}

const steadyWaiting = 40

func newSteady(workers int) *steady {
	b := &steady{s: New(LoungeConfig()), random: rand.New(rand.NewPCG(7, uint64(workers))), now: 1_000_000_000}
	for i := range workers {
		b.s.AddWorker(Worker{
			Name: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%03d", i/8), Accelerators: 8, Cores: 32,
			MemoryMiB: 131072, SpeedPermille: []int{600, 800, 1000, 1300}[i%4],
		})
	}
	var accounts []Account
	var teams []Team
	for a := range 4 {
		account := fmt.Sprintf("a%d", a)
		accounts = append(accounts, Account{Name: account, Weight: 1 + a})
		for t := range 40 {
			teams = append(teams, Team{Account: account, Name: fmt.Sprintf("t%d", t), Quota: 4 * workers})
		}
	}
	var guarantees []Guarantee
	for _, account := range accounts {
		guarantees = append(guarantees,
			Guarantee{Account: account.Name, Shape: Shape{Members: 1, Accelerators: 8}, Count: workers / 20},
			Guarantee{Account: account.Name, Shape: Shape{Members: 4, Accelerators: 4, Adjacency: SameRack}, Count: workers / 40},
			Guarantee{Account: account.Name, Shape: Shape{Members: 2, Accelerators: 2}, Count: workers / 20},
		)
	}
	b.s.Configure(accounts, teams, guarantees)
	for len(b.running) == 0 || b.waiting() < steadyWaiting {
		b.submit()
		b.decide()
	}
	for range 500 {
		b.step()
	}
	return b
}

func (b *steady) waiting() int {
	count := 0
	for _, a := range b.s.accountList {
		count += a.waiting.Len()
	}
	return count
}

func (b *steady) submit() {
	b.next++
	shape := Shape{Members: 1, Accelerators: 1 << b.random.IntN(4)}
	if b.random.IntN(5) == 0 {
		shape = Shape{Members: 2 << b.random.IntN(2), Accelerators: 1 << b.random.IntN(3), Adjacency: SameRack}
	}
	if b.random.IntN(25) == 0 {
		shape = Shape{Members: 16 << b.random.IntN(3), Accelerators: 1, Adjacency: SameDataCentre}
	}
	b.s.Submit(Job{
		ID: fmt.Sprintf("j%d", b.next), Account: fmt.Sprintf("a%d", b.random.IntN(4)), Team: fmt.Sprintf("t%d", b.random.IntN(40)),
		Class: Class(min(b.random.IntN(20), 2)), Shape: shape, Cores: 2 * shape.Accelerators, MemoryMiB: 4096 * shape.Accelerators,
		ExpectedMillis: 60_000 + b.random.Int64N(4*3_600_000), SubmittedMillis: b.now,
	})
}

func (b *steady) decide() {
	for _, d := range b.s.Decide(b.now) {
		switch {
		case d.Start != nil:
			b.s.Started(d.Start.JobID, b.now)
			b.running = append(b.running, d.Start.JobID)
		case d.Stop != nil:
			result := PreemptedEnd
			if d.Stop.Reason == Moved {
				result = MovedEnd
			}
			b.drop(slices.Index(b.running, d.Stop.JobID), result)
			b.claims++
		}
	}
}

func (b *steady) drop(at int, result EndResult) {
	id := b.running[at]
	b.running[at] = b.running[len(b.running)-1]
	b.running = b.running[:len(b.running)-1]
	b.s.Ended(id, result, 0, b.now)
}

// step makes one end, one submission when the queue is short, and one decision.
func (b *steady) step() {
	b.now += 30_000
	b.drop(b.random.IntN(len(b.running)), Finished)
	for range 4 {
		if b.waiting() < steadyWaiting {
			b.submit()
		}
	}
	b.decide()
}

func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{50, 200, 720} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := newSteady(workers)
			times := make([]time.Duration, 0, b.N)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				begin := time.Now()
				s.step()
				times = append(times, time.Since(begin))
			}
			b.StopTimer()
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)*99/100].Nanoseconds()), "p99-ns/op")
			b.ReportMetric(float64(len(s.running)), "running")
			b.ReportMetric(float64(s.waiting()), "waiting")
		})
	}
}

// TestDecisionAllocations bounds what one decision allocates, whatever the number of workers.
func TestDecisionAllocations(t *testing.T) {
	const (
		steps = 500
		// A decision may allocate for the gangs that it starts, 64 members at most, and the sets that they enter.
		boundAllocs = 60
		boundBytes  = 4096
	)
	for _, workers := range []int{50, 200, 720} {
		s := newSteady(workers)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range steps {
			s.step()
		}
		runtime.ReadMemStats(&after)
		allocs, bytes := (after.Mallocs-before.Mallocs)/steps, (after.TotalAlloc-before.TotalAlloc)/steps
		t.Logf("%d workers: %d allocations and %d bytes a decision", workers, allocs, bytes)
		if allocs > boundAllocs || bytes > boundBytes {
			t.Errorf("%d workers: %d allocations and %d bytes a decision, bounds %d and %d", workers, allocs, bytes, boundAllocs, boundBytes)
		}
	}
}
