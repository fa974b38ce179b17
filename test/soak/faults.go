package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/mock"
)

const (
	// faultGap is the mean time between two faults, of which faultsAtOnce overlap at most.
	faultGap     = 1500 * time.Millisecond
	faultsAtOnce = 3
	// lostShare is the share of the store's answers that are lost, in percent.
	lostShare = 30
	// lateOrder is how late a worker carries out an order that it doesn't answer.
	lateOrder = 3 * time.Second
	// slowAnswer is how long a slow worker takes to answer.
	slowAnswer = 400 * time.Millisecond
)

// fault is one kind of fault; inject returns when it is over.
type fault struct {
	name   string
	inject func(s *soak, random *rand.Rand)
}

// faults are all kinds.
var faults = []fault{
	{"kill", func(s *soak, random *rand.Rand) { s.kill(s.pick(random), random) }},
	{"kill owner", func(s *soak, random *rand.Rand) { s.kill(s.owner(random), random) }},
	{"pause owner", pauseOwner},
	{"terminate", terminate},
	{"kill all", killAll},
	{"store refuses", storeFault(mock.Refuse, 100, false)},
	{"store silent", storeFault(mock.DropRequest, 100, false)},
	{"store loses answers", storeFault(mock.DropResponse, lostShare, false)},
	{"store refuses one", storeFault(mock.Refuse, 100, true)},
	{"store silent to one", storeFault(mock.DropRequest, 100, true)},
	{"store forgets history", func(s *soak, _ *rand.Rand) { s.site.Trim() }},
	{"link cut", linkFault(func(l *link, on bool) { l.cut.Store(on) })},
	{"link one way", linkFault(func(l *link, on bool) { l.oneWay.Store(on) })},
	{"link slow", linkFault(func(l *link, on bool) { l.delay.Store(int64(slowAnswer/4) * toInt(on)) })},
	{"connections silent", func(s *soak, _ *rand.Rand) {
		for _, i := range s.instances {
			i.store.silence()
		}
	}},
	{"connections reset", func(s *soak, random *rand.Rand) {
		for _, i := range s.instances {
			i.store.reset(random)
		}
	}},
	{"worker silent", workerFault(func(s *soak, id string, on bool) { s.site.Workers.SetUnreachable(id, on) })},
	{"worker unheard", workerFault(func(s *soak, id string, on bool) { s.site.Workers.DropReplies(id, on) })},
	{"worker fails", workerFault(func(s *soak, id string, on bool) { s.site.Workers.SetFailing(id, on) })},
	{"worker slow", workerFault(func(s *soak, id string, on bool) {
		s.site.Workers.SetExtraLatency(id, slowAnswer*time.Duration(toInt(on)))
	})},
	{"worker late", workerFault(func(s *soak, id string, on bool) {
		s.site.Workers.DelayNextStart(id, lateOrder*time.Duration(toInt(on)))
	})},
	{"worker drains", workerFault(func(s *soak, id string, on bool) { s.site.Drain(id, on) })},
	{"configuration", func(s *soak, _ *rand.Rand) { s.configs.change() }},
}

// injectAll injects faults until ctx ends and each was injected once.
func (s *soak) injectAll(ctx context.Context, chosen []fault, random *rand.Rand) {
	random.Shuffle(len(chosen), func(a, b int) { chosen[a], chosen[b] = chosen[b], chosen[a] })
	slots := make(chan struct{}, faultsAtOnce)
	var running sync.WaitGroup
	for n := 0; n < len(chosen) || ctx.Err() == nil; n++ {
		next := chosen[n%len(chosen)]
		own := rand.New(rand.NewPCG(random.Uint64(), 2))
		slots <- struct{}{}
		fmt.Printf("%6.1f s  %s\n", time.Since(s.started).Seconds(), next.name)
		running.Go(func() {
			defer func() { <-slots }()
			next.inject(s, own)
		})
		time.Sleep(faultGap/2 + time.Duration(random.Int64N(int64(faultGap))))
	}
	running.Wait()
}

// selected are the faults of the names given; all if none is.
func selected(names []string) []fault {
	if len(names) == 0 {
		return slices.Clone(faults)
	}
	return slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !slices.Contains(names, f.name) })
}

// span is some seconds.
func span(random *rand.Rand, most time.Duration) time.Duration {
	return most/4 + time.Duration(random.Int64N(int64(most*3/4)))
}

func (s *soak) pick(random *rand.Rand) *instance { return s.instances[random.IntN(len(s.instances))] }

// owner returns the instance that owns the orders, else any.
func (s *soak) owner(random *rand.Rand) *instance {
	for _, i := range s.instances {
		if i.owns() {
			return i
		}
	}
	return s.pick(random)
}

// kill kills an instance and starts it again.
func (s *soak) kill(i *instance, random *rand.Rand) {
	s.process.Lock()
	defer s.process.Unlock()
	i.kill()
	time.Sleep(span(random, 2*time.Second))
	s.restart(i)
}

func (s *soak) restart(i *instance) {
	if err := i.launch(); err != nil {
		s.promises.fail("programs start", "%s: %v", i.name, err)
	}
}

// pauseOwner stops the owner's process for longer than a takeover takes, and lets it go on.
func pauseOwner(s *soak, random *rand.Rand) {
	s.process.Lock()
	defer s.process.Unlock()
	i := s.owner(random)
	i.signal(syscall.SIGSTOP)
	time.Sleep(span(random, 6*time.Second))
	i.signal(syscall.SIGCONT)
}

// terminate ends an instance in order, which has to succeed in time, and starts it again.
func terminate(s *soak, random *rand.Rand) {
	s.process.Lock()
	defer s.process.Unlock()
	i := s.pick(random)
	err := i.terminate()
	s.promises.check("a process told to end ends in time", err == nil, "%v", err)
	s.restart(i)
}

// killAll kills all instances at once; what was accepted has to outlive them.
func killAll(s *soak, random *rand.Rand) {
	s.process.Lock()
	defer s.process.Unlock()
	for _, i := range s.instances {
		i.kill()
	}
	time.Sleep(span(random, 2*time.Second))
	for _, i := range s.instances {
		s.restart(i)
	}
}

// storeFault harms a share, in percent, of the store's calls, of all instances or of one.
func storeFault(fate mock.Fault, percent int, one bool) func(*soak, *rand.Rand) {
	return func(s *soak, random *rand.Rand) {
		s.store.Lock()
		defer s.store.Unlock()
		hit := s.pick(random).name
		s.site.Inject(func(instance, _ string) mock.Fault {
			if (one && instance != hit) || random.IntN(100) >= percent {
				return mock.None
			}
			return fate
		})
		time.Sleep(span(random, 5*time.Second))
		s.site.Inject(nil)
	}
}

// linkFault harms one instance's way to the store.
func linkFault(harm func(l *link, on bool)) func(*soak, *rand.Rand) {
	return func(s *soak, random *rand.Rand) {
		l := s.pick(random).store
		harm(l, true)
		time.Sleep(span(random, 5*time.Second))
		harm(l, false)
	}
}

// workerFault harms one worker.
func workerFault(harm func(s *soak, id string, on bool)) func(*soak, *rand.Rand) {
	return func(s *soak, random *rand.Rand) {
		entries := s.site.Workers.Entries()
		id := entries[random.IntN(len(entries))].ID
		harm(s, id, true)
		time.Sleep(span(random, 5*time.Second))
		harm(s, id, false)
	}
}

func toInt(on bool) int64 {
	if on {
		return 1
	}
	return 0
}
