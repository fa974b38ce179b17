package assign_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

// of makes an account the owner of a unit.
func of(account string) func(*assign.Unit) {
	return func(unit *assign.Unit) { unit.Account = account }
}

// credit sets the credit of a unit.
func credit(credit float64) func(*assign.Unit) {
	return func(unit *assign.Unit) { unit.Credit = credit }
}

// short gives the snapshot a shortage in which the accounts use the given cores with jobs of priority 1.
func (s *scene) short(inUse map[string]float64) *scene {
	shares := &s.snapshot.Shares
	shares.Short, shares.InUse = map[string]bool{"s": true}, map[assign.ShareKey]float64{}
	for account, cores := range inUse {
		shares.InUse[assign.ShareKey{Service: "s", Priority: 1, Account: account}] = cores
	}
	return s
}

// startedJobs returns the jobs in the order in which the plan starts them.
func startedJobs(plan assign.Plan) []string {
	var jobs []string
	for _, start := range plan.Starts {
		jobs = append(jobs, start.Task.Job)
	}
	return jobs
}

// Guards against an account that gets all that becomes free because its jobs have the highest density, and against shares without a
// shortage.
func TestAccountBelowItsShareIsServedFirstInAShortage(t *testing.T) {
	for _, test := range []struct {
		name    string
		short   bool
		weights map[string]float64
		want    string
	}{{"no shortage", false, nil, "dense"}, {"equal weights", true, nil, "thin"}, {"weights", true, map[string]float64{"large": 9}, "dense"}} {
		build := newScene().workers(4, 4).running("a", 1, step(1, 8), 1, "w00").running("b", 1, step(1, 8), 1, "w01").
			running("c", 1, step(1, 8), 1, "w02").
			waiting("dense", 1, step(1, 8), of("large"), credit(5)).waiting("thin", 1, step(1, 8), of("small"))
		if test.short {
			build.short(map[string]float64{"large": 216})
		}
		build.snapshot.Shares.Weights = test.weights
		if got := startedJobs(assign.MakePlan(&build.snapshot)); len(got) != 1 || got[0] != test.want {
			t.Errorf("%s: %v start, want %s", test.name, got, test.want)
		}
	}
}

// Guards against jobs that can't earn anything any more taking the place of those that can.
func TestSharesDoNotPutForwardWhatIsTooLate(t *testing.T) {
	build := newScene().workers(1, 1).short(map[string]float64{"large": 100}).
		waiting("fresh", 1, step(1, 8), of("large")).
		waiting("late", 1, step(1, 8), of("small"), func(unit *assign.Unit) { unit.LateUntil, unit.Objective = snapshotTime, snapshotTime })
	if got := startedJobs(assign.MakePlan(&build.snapshot)); !slices.Equal(got, []string{"fresh"}) {
		t.Errorf("%v start, want fresh", got)
	}
}

// Guards against preemptions that take from accounts below their share.
func TestRunsOfAccountsAboveTheirShareAreMarked(t *testing.T) {
	build := newScene().workers(2, 2).running("a", 1, step(1, 8), 1, "w00").running("b", 1, step(1, 4), 1, "w01").
		running("c", 2, step(1, 4), 1, "w01").
		short(map[string]float64{"large": 72, "small": 36}).
		waiting("more", 1, step(1, 8), of("large")).waiting("rest", 1, step(2, 8), of("small"))
	for i := range build.snapshot.Running {
		run := &build.snapshot.Running[i]
		run.Service, run.Account = "s", []string{"large", "small", "small"}[i]
	}
	assign.MakePlan(&build.snapshot)
	if running := build.snapshot.Running; !running[0].OverShare || running[1].OverShare {
		t.Errorf("marked are %v and %v, want only the run of the large account", running[0].OverShare, running[1].OverShare)
	}
}

// Guards against shares that let a lower priority pass a higher one, and claims be passed: the order with shares is compared with the
// one without.
func TestSharesKeepThePriorities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		build := newScene().workers(2, 2)
		count := rapid.IntRange(1, 25).Draw(t, "units")
		for i := range count {
			priority := uint32(rapid.IntRange(0, 2).Draw(t, "priority"))
			build.waiting(fmt.Sprintf("j%02d", i), priority, step(1, 1), of(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")),
				credit(rapid.Float64Range(0.1, 9).Draw(t, "credit")), func(unit *assign.Unit) {
					unit.Claimed = priority == 0 && rapid.Bool().Draw(t, "claimed")
				})
		}
		units := map[string]assign.Unit{}
		for _, unit := range build.snapshot.Waiting {
			units[unit.Task.Job] = unit
		}
		before := startedJobs(assign.MakePlan(withRoom(build.snapshot)))
		build.short(map[string]float64{"a": rapid.Float64Range(0, 100).Draw(t, "a"), "b": rapid.Float64Range(0, 100).Draw(t, "b")})
		after := startedJobs(assign.MakePlan(withRoom(build.snapshot)))
		if !slices.Equal(slices.Sorted(slices.Values(before)), slices.Sorted(slices.Values(after))) {
			t.Fatalf("%v start with shares, %v without", after, before)
		}
		for i, first := range after {
			for _, second := range after[i+1:] {
				if slices.Index(before, first) < slices.Index(before, second) {
					continue
				}
				if a, b := units[first], units[second]; a.Priority > b.Priority || b.Claimed {
					t.Fatalf("%s (%d) passes %s (%d, claimed: %v)", first, a.Priority, second, b.Priority, b.Claimed)
				}
			}
		}
	})
}

// withRoom returns a copy of a snapshot in which all units find room.
func withRoom(snapshot assign.Snapshot) *assign.Snapshot {
	copied := copySnapshot(snapshot)
	for i := range copied.Workers {
		copied.Workers[i].Free = copied.Workers[i].Capacity
	}
	return copied
}

// shareTask is a task of a shareTrial.
type shareTask struct {
	account  string
	duration time.Duration
	spec     *storev1.Step
	worker   string
	ends     time.Time
}

// Guards against an account that falls behind its share while all want more than there is, whatever the size of the tasks, jobs and
// credits of the others. Bound, as in docs/design/shares.md: over any time since the shortage began, an account whose units wait all
// the time is behind its share by at most the share of the longest run and of the delay of a shortage, and by one unit of each other
// account for the longest run and balanceTime.
func TestWorstServedAccountStaysNearItsShare(t *testing.T) {
	const (
		interval = 200 * time.Millisecond
		workers  = 2
		capacity = workers * 8.0
	)
	rapid.Check(t, func(t *rapid.T) {
		accounts := []string{"a", "b", "c", "d"}[:rapid.IntRange(2, 4).Draw(t, "accounts")]
		weights, durations, credits := map[string]float64{}, map[string]time.Duration{}, map[string]float64{}
		total, longest := 0.0, time.Duration(0)
		for _, account := range accounts {
			weights[account] = float64(rapid.IntRange(1, 3).Draw(t, "weight"))
			durations[account] = time.Duration(rapid.IntRange(2, 30).Draw(t, "duration")) * interval
			credits[account] = rapid.Float64Range(0.1, 10).Draw(t, "credit")
			total += weights[account]
			longest = max(longest, durations[account])
		}
		variation := rapid.SampledFrom([]int{1, 3}).Draw(t, "variation")
		tracker := assign.UseTracker{}
		running, used, started := map[string]*shareTask{}, map[string]float64{}, 0
		now := snapshotTime
		for range 250 {
			now = now.Add(interval)
			build := newScene().workers(workers, workers)
			build.snapshot.Now, build.snapshot.Shares.Weights = now, weights
			for name, task := range maps.Clone(running) {
				used[task.account] += interval.Seconds()
				if !task.ends.After(now) {
					delete(running, name)
					continue
				}
				build.running(name, 2, task.spec, 1, task.worker)
				build.snapshot.Shares.AddUse(&assign.Unit{Account: task.account, Service: "s", Priority: 2, Step: task.spec}, 1)
			}
			for _, account := range accounts {
				build.waiting(account, 2, step(capacity, 1), of(account), credit(credits[account]))
			}
			tracker.Observe(&build.snapshot)
			for _, start := range assign.MakePlan(&build.snapshot).Starts {
				account := start.Task.Job
				duration := durations[account] * time.Duration(1+started%variation) / time.Duration(variation)
				started++
				running[fmt.Sprintf("%s%d", account, started)] = &shareTask{
					account: account, duration: duration, spec: step(1, 1), worker: start.Workers[0], ends: now.Add(duration),
				}
			}
			elapsed := now.Sub(snapshotTime)
			for _, account := range accounts {
				share := weights[account] / total * capacity
				behind := share*elapsed.Seconds() - used[account]
				bound := share*(longest+time.Second+2*interval).Seconds() + float64(len(accounts)-1)*(longest+10*time.Second).Seconds()
				if behind > bound {
					t.Fatalf("after %v, %s is %.0f accelerator-seconds behind its share of %.1f, want at most %.0f; used %v",
						elapsed, account, behind, share, bound, used)
				}
			}
		}
	})
}

// Guards against balances that depend on how often they are observed or stay after the shortage, and against a shortage that counts at
// once or doesn't end.
func TestUseTrackerFollowsUseAndShortages(t *testing.T) {
	key, other := assign.ShareKey{Service: "s", Priority: 1, Account: "a"}, assign.ShareKey{Service: "s", Priority: 1, Account: "b"}
	for _, interval := range []time.Duration{100 * time.Millisecond, time.Second} {
		tracker := assign.UseTracker{}
		var snapshot *assign.Snapshot
		for at := time.Duration(0); at <= 10*time.Second; at += interval {
			build := newScene().workers(1, 1).waiting("j", 1, step(9, 1))
			build.snapshot.Now = snapshotTime.Add(at)
			build.snapshot.Shares.InUse = map[assign.ShareKey]float64{key: 100}
			snapshot = &build.snapshot
			tracker.Observe(snapshot)
			if want := at >= time.Second; snapshot.Shares.Short["s"] != want {
				t.Errorf("shortage after %v: %v, want %v", at, !want, want)
			} else if want {
				snapshot.Shares.Due[key], snapshot.Shares.Due[other] = 60, 40
			}
		}
		if got, want := snapshot.Shares.Balances[key], -360.0; snapshot.Shares.Balances[other] != -got || math.Abs(got-want) > 1 {
			t.Errorf("observed every %v, the balance is %.1f, want %.1f", interval, got, want)
		}
		rest := newScene().workers(1, 1).waiting("j", 1, step(8, 1))
		rest.snapshot.Now = snapshot.Now.Add(interval)
		if tracker.Observe(&rest.snapshot); rest.snapshot.Shares.Short["s"] {
			t.Error("the shortage goes on although all waiting units fit")
		}
		rest.snapshot.Now = rest.snapshot.Now.Add(5 * time.Minute)
		if tracker.Observe(&rest.snapshot); len(rest.snapshot.Shares.Balances) > 0 {
			t.Errorf("the balances %v are left long after the shortage", rest.snapshot.Shares.Balances)
		}
	}
}
