package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/dotterelgauge/dotterelgauge/api/client"
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/logservice"
	"github.com/dotterelgauge/dotterelgauge/internal/trial"
)

const (
	// faultGap is the mean time between two faults.
	faultGap = 2500 * time.Millisecond
	// leaveBound is how soon a leaving worker gets nothing new.
	leaveBound = 3 * time.Second
	// leaveWatch is how long a leaving worker is watched after the bound.
	leaveWatch = 3 * time.Second
)

// fault is one kind of fault; inject blocks until it is over.
type fault struct {
	name   string
	inject func(s *site, random *rand.Rand)
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
	{"worker-frozen", workerFault(`{"freeze":true}`, 5*time.Second)},
	{"worker-dead", workerFault(`{"dead":true}`, 5*time.Second)},
	{"worker-loses-answers", workerFault(`{"lose_answers":true}`, 3*time.Second)},
	{"worker-damages-answers", workerFault(`{"damage_answers":true}`, 3*time.Second)},
	{"worker-foreign-answers", workerFault(`{"foreign_answers":true}`, 3*time.Second)},
	{"list-down", listDown},
}

// injectAll injects faults, two at a time, until the time is over.
func injectAll(ctx context.Context, s *site, given options) {
	random := rand.New(rand.NewPCG(given.Seed, 1)) //nolint:gosec // Not a secret.
	chosen := slices.Clone(faults)
	if len(given.Only) > 0 {
		chosen = slices.DeleteFunc(chosen, func(f fault) bool { return !slices.Contains(given.Only, f.name) })
	}
	random.Shuffle(len(chosen), func(a, b int) { chosen[a], chosen[b] = chosen[b], chosen[a] })
	started := time.Now()
	slots := make(chan struct{}, 2)
	var running sync.WaitGroup
	for n := 0; time.Since(started) < given.Time && ctx.Err() == nil; n++ {
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
func (s *site) pickInstance(random *rand.Rand) *instance {
	return s.instances[random.IntN(len(s.instances))]
}

var instanceFault sync.Mutex

func kill(s *site, random *rand.Rand) {
	instanceFault.Lock()
	defer instanceFault.Unlock()
	i := s.pickInstance(random)
	defer s.beginFault(i.operators)()
	i.signal(syscall.SIGKILL)
	_ = i.process.Wait()
	time.Sleep(time.Duration(random.Int64N(int64(5 * time.Second))))
	s.restart(i)
}

// restart starts the process of an instance again and waits until it is ready.
func (s *site) restart(i *instance) {
	if err := s.startInstance(i); err != nil {
		fmt.Println("restart:", err)
		return
	}
	if err := s.awaitReady(i); err != nil {
		fmt.Printf("restart of %s: %v\n", instanceName(i.number), err)
	}
}

// pause stops a process for longer than a lease.
func pause(s *site, random *rand.Rand) {
	instanceFault.Lock()
	defer instanceFault.Unlock()
	i := s.pickInstance(random)
	defer s.beginFault(i.operators)()
	i.signal(syscall.SIGSTOP)
	time.Sleep(leaseTerm + time.Duration(random.Int64N(int64(leaseTerm))))
	i.signal(syscall.SIGCONT)
}

// drain ends a process in order and checks that it does.
func drain(s *site, random *rand.Rand) {
	instanceFault.Lock()
	defer instanceFault.Unlock()
	i := s.pickInstance(random)
	defer s.beginFault(i.operators)()
	i.signal(syscall.SIGTERM)
	err := i.process.Wait()
	s.drains.Check(err == nil, "%s ended with %v", instanceName(i.number), err)
	s.restart(i)
}

// logFault switches faults of the log on for a time.
func logFault(faults logservice.Faults, duration time.Duration) func(*site, *rand.Rand) {
	return func(s *site, _ *rand.Rand) {
		defer s.beginFault("")()
		s.log.SetFaults(faults)
		time.Sleep(duration)
		s.log.SetFaults(logservice.Faults{})
	}
}

// flapping switches an outage on and off.
func flapping(s *site, random *rand.Rand) {
	defer s.beginFault("")()
	for range 6 {
		s.log.SetFaults(logservice.Faults{Outage: true})
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
		s.log.SetFaults(logservice.Faults{})
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
	}
}

// racingSheets has two operators apply a sheet against the same revision through two instances.
func racingSheets(s *site, random *rand.Rand) {
	first := s.pickInstance(random)
	second := s.instances[(first.number+1)%len(s.instances)]
	base, err := s.revision(first)
	if err != nil {
		return
	}
	var operators sync.WaitGroup
	for n, i := range []*instance{first, second} {
		operators.Go(func() {
			revision, err := s.applySheet(i, base, 1+random.IntN(2)+n)
			if err == nil {
				s.config.Accepted(revision, i.operators)
			}
		})
	}
	operators.Wait()
}

// workerFault switches faults of one worker on for a time.
func workerFault(faults string, duration time.Duration) func(*site, *rand.Rand) {
	return func(s *site, random *rand.Rand) {
		worker := s.workers[random.IntN(len(s.workers))]
		s.setWorkerFaults(worker, faults)
		time.Sleep(duration)
		s.setWorkerFaults(worker, "{}")
	}
}

// workerLeaves has a worker leave and checks that it gets nothing new after the bound, although the list lags.
func workerLeaves(s *site, random *rand.Rand) {
	worker := s.workers[random.IntN(len(s.workers))]
	s.setWorkerFaults(worker, `{"leave":true}`)
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
	s.setWorkerFaults(worker, "{}")
}

// listDown takes the instance list away and makes it lag more.
func listDown(s *site, _ *rand.Rand) {
	s.setList("/down?on=true")
	time.Sleep(4 * time.Second)
	s.setList("/down?on=false")
}

func stringReader(text string) io.Reader {
	return strings.NewReader(text)
}

// revision returns the revision in force at an instance.
func (s *site) revision(i *instance) (uint64, error) {
	status, err := client.New(i.operators, operatorToken).Status(s.ctx)
	if err != nil {
		return 0, err
	}
	return status.Revision, nil
}
