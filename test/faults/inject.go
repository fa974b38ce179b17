package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/logservice"
	"github.com/dotterelgauge/dotterelgauge/internal/trial"
	"github.com/dotterelgauge/dotterelgauge/test/site"
)

const (
	// faultGap is the mean time between two faults.
	faultGap = 2500 * time.Millisecond
	// drainedCalls requests with drainedPayload are under way when a drain begins, drainedHead after they were asked.
	drainedCalls   = 3
	drainedPayload = "sleep:3500"
	drainedHead    = 300 * time.Millisecond
	// busyFor is how long a busy worker has run a member; busyWait and busyPoll bound the search for one.
	busyFor  = 2 * time.Second
	busyWait = 5 * time.Second
	busyPoll = 200 * time.Millisecond
	// leaveBound is how soon a leaving worker gets nothing new.
	leaveBound = 3 * time.Second
	// leaveWatch is how long a leaving worker is watched after the bound.
	leaveWatch = 3 * time.Second
)

// fault is one kind of fault; inject blocks until it is over.
type fault struct {
	name   string
	inject func(s *faultRun, random *rand.Rand)
}

// faults are all kinds.
var faults = []fault{
	{"kill", kill},
	{"pause", pause},
	{"drain", drain},
	{"log-outage", logFault(logservice.Faults{Outage: true}, 4*time.Second)},
	{"log-slow", logFault(logservice.Faults{AppendDelayMillis: 2000}, 6*time.Second)},
	{"log-lost", logFault(logservice.Faults{LostAfterPermille: 400, LostBeforePermille: 200}, 5*time.Second)},
	{"log-flapping", flapping},
	{"racing-sheets", racingSheets},
	{"worker-leaves", workerLeaves},
	{"worker-fails-starts", workerFault(`{"fail_starts":true}`, 5*time.Second)},
	{"worker-frozen", freezeBusyWorker},
	{"worker-dead", workerFault(`{"dead":true}`, 5*time.Second)},
	{"worker-loses-answers", workerFault(`{"lose_answers":true}`, 3*time.Second)},
	{"worker-damages-answers", workerFault(`{"damage_answers":true}`, 3*time.Second)},
	{"worker-foreign-answers", workerFault(`{"foreign_answers":true}`, 3*time.Second)},
	{"list-down", listDown},
	{"silent-connections", silentConnections},
	{"cut-from-log", cutFromLog},
	{"isolate", isolate},
	{"split-regions", splitRegions},
	{"replace-all", replaceAll},
	{"restart-in-outage", restartInOutage},
}

// injectAll injects faults, two at a time, until the time is over and each was injected once.
func injectAll(ctx context.Context, s *faultRun, given options) {
	random := rand.New(rand.NewPCG(given.Seed, 1)) //nolint:gosec // Not a secret.
	chosen := slices.Clone(faults)
	if len(given.Only) > 0 {
		chosen = slices.DeleteFunc(chosen, func(f fault) bool { return !slices.Contains(given.Only, f.name) })
	}
	random.Shuffle(len(chosen), func(a, b int) { chosen[a], chosen[b] = chosen[b], chosen[a] })
	started := time.Now()
	slots := make(chan struct{}, 2)
	var running sync.WaitGroup
	for n := 0; (n < len(chosen) || time.Since(started) < given.Time) && ctx.Err() == nil; n++ {
		next := chosen[n%len(chosen)]
		own := rand.New(rand.NewPCG(given.Seed, uint64(n)+2)) //nolint:gosec // Not a secret.
		slots <- struct{}{}
		fmt.Printf("%5.1f s  %s\n", time.Since(started).Seconds(), next.name)
		running.Go(func() {
			defer func() { <-slots }()
			next.inject(s, own)
		})
		time.Sleep(faultGap/2 + time.Duration(random.Int64N(int64(faultGap))))
	}
	running.Wait()
}

// pickInstance locks one instance, so that two faults never end the same process.
func (s *faultRun) pickInstance(random *rand.Rand) *site.Instance {
	return s.Instances[random.IntN(len(s.Instances))]
}

var (
	// instanceFault is held by a fault of an instance as a whole.
	instanceFault sync.Mutex
	// wholeLogFault is held by a fault of the log.
	wholeLogFault sync.Mutex
)

func kill(s *faultRun, random *rand.Rand) {
	instanceFault.Lock()
	defer instanceFault.Unlock()
	i := s.pickInstance(random)
	defer s.beginFault(i.Operators)()
	i.Signal(syscall.SIGKILL)
	_ = i.Process.Wait()
	time.Sleep(time.Duration(random.Int64N(int64(5 * time.Second))))
	s.restart(i)
}

// restart starts the process of an instance again and waits until it is ready.
func (s *faultRun) restart(i *site.Instance) {
	if err := s.StartInstance(i); err != nil {
		fmt.Println("restart:", err)
		return
	}
	if err := s.AwaitReady(i); err != nil {
		fmt.Printf("restart of %s: %v\n", i.Name(), err)
	}
}

// owner returns the instance that owns a data centre, else any.
func (s *faultRun) owner(random *rand.Rand) *site.Instance {
	for _, asked := range s.Instances {
		status, err := asked.Operator().Status(s.ctx)
		if err != nil || len(status.Owners) == 0 {
			continue
		}
		name := status.Owners[random.IntN(len(status.Owners))].GetAuthor().GetInstance()
		for _, i := range s.Instances {
			if i.Name() == name {
				return i
			}
		}
	}
	return s.pickInstance(random)
}

// pause stops the process of an owner for longer than a lease and a takeover.
func pause(s *faultRun, random *rand.Rand) {
	instanceFault.Lock()
	defer instanceFault.Unlock()
	i := s.owner(random)
	defer s.beginFault(i.Operators)()
	i.Signal(syscall.SIGSTOP)
	time.Sleep(2*leaseTerm + time.Duration(random.Int64N(int64(leaseTerm))))
	i.Signal(syscall.SIGCONT)
}

// drain ends a process in order, with requests under way that outlast the pause before it refuses new ones, and checks
// that it does and that they are answered.
func drain(s *faultRun, random *rand.Rand) {
	instanceFault.Lock()
	defer instanceFault.Unlock()
	i := s.pickInstance(random)
	defer s.beginFault(i.Operators)()
	var calls sync.WaitGroup
	var cut atomic.Int64
	for range drainedCalls {
		calls.Go(func() {
			if trial.WasCut(s.ask(i, drainedPayload)) {
				cut.Add(1)
			}
		})
	}
	time.Sleep(drainedHead)
	asked := time.Now()
	i.Signal(syscall.SIGTERM)
	err := i.Process.Wait()
	calls.Wait()
	s.noteShutdown(trial.Shutdown{Address: i.Callers, From: asked, To: time.Now(), Cut: int(cut.Load())})
	s.drains.Check(err == nil, "%s ended with %v", i.Name(), err)
	s.restart(i)
}

// logFault switches faults of the log on for a time.
func logFault(faults logservice.Faults, duration time.Duration) func(*faultRun, *rand.Rand) {
	return func(s *faultRun, _ *rand.Rand) {
		wholeLogFault.Lock()
		defer wholeLogFault.Unlock()
		defer s.beginFault("")()
		s.Log.SetFaults(faults)
		time.Sleep(duration)
		s.Log.SetFaults(logservice.Faults{})
	}
}

// flapping switches an outage on and off.
func flapping(s *faultRun, random *rand.Rand) {
	wholeLogFault.Lock()
	defer wholeLogFault.Unlock()
	defer s.beginFault("")()
	for range 6 {
		s.Log.SetFaults(logservice.Faults{Outage: true})
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
		s.Log.SetFaults(logservice.Faults{})
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
	}
}

// racingSheets has two operators apply a sheet against the same revision through two instances.
func racingSheets(s *faultRun, random *rand.Rand) {
	first := s.pickInstance(random)
	second := s.Instances[(first.Number+1)%len(s.Instances)]
	base, err := s.revision(first)
	if err != nil {
		return
	}
	var operators sync.WaitGroup
	for n, i := range []*site.Instance{first, second} {
		operators.Go(func() {
			revision, err := s.ApplySheet(i, base, 1+random.IntN(2)+n)
			if err == nil {
				s.config.Accepted(revision, i.Operators)
			}
		})
	}
	operators.Wait()
}

// workerFault switches faults of one worker on for a time.
func workerFault(faults string, duration time.Duration) func(*faultRun, *rand.Rand) {
	return func(s *faultRun, random *rand.Rand) {
		worker := s.Workers[random.IntN(len(s.Workers))]
		s.SetWorkerFaults(worker, faults)
		time.Sleep(duration)
		s.SetWorkerFaults(worker, "{}")
	}
}

// freezeBusyWorker freezes a worker that runs a member of a gang, if there is one, for three lease terms.
func freezeBusyWorker(s *faultRun, random *rand.Rand) {
	worker := s.Workers[random.IntN(len(s.Workers))]
	for started := time.Now(); time.Since(started) < busyWait; time.Sleep(busyPoll) {
		if busy := s.busyWorkers(); len(busy) > 0 {
			worker = busy[random.IntN(len(busy))]
			break
		}
	}
	s.SetWorkerFaults(worker, `{"freeze":true}`)
	time.Sleep(3 * leaseTerm)
	s.SetWorkerFaults(worker, "{}")
}

// busyWorkers returns the workers that have run a member for longer than most jobs work.
func (s *faultRun) busyWorkers() []*apiv1.Worker {
	histories, err := trial.Histories(s.ctx, s.Workers)
	if err != nil {
		return nil
	}
	var busy []*apiv1.Worker
	for n, history := range histories {
		for _, task := range history.Tasks {
			if task.End.IsZero() && time.Since(task.Start) > busyFor {
				busy = append(busy, s.Workers[n])
			}
		}
	}
	return busy
}

// workerLeaves has a worker leave and checks that it gets nothing new after the bound, although the list lags.
func workerLeaves(s *faultRun, random *rand.Rand) {
	worker := s.Workers[random.IntN(len(s.Workers))]
	s.SetWorkerFaults(worker, `{"leave":true}`)
	time.Sleep(leaveBound)
	from := time.Now()
	time.Sleep(leaveWatch)
	histories, err := trial.Histories(s.ctx, []*apiv1.Worker{worker})
	if err == nil {
		late := 0
		for _, request := range histories[0].Requests {
			if request.Start.After(from) {
				late++
			}
		}
		s.leaving.Check(late == 0, "%s started %d requests after the bound", worker.Name, late)
	}
	s.SetWorkerFaults(worker, "{}")
}

// listDown takes the instance list away and makes it lag more.
func listDown(s *faultRun, _ *rand.Rand) {
	s.SetList("/down?on=true")
	time.Sleep(4 * time.Second)
	s.SetList("/down?on=false")
}

// revision returns the revision in force at an instance.
func (s *faultRun) revision(i *site.Instance) (uint64, error) {
	status, err := i.Operator().Status(s.ctx)
	if err != nil {
		return 0, err
	}
	return status.Revision, nil
}
