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
	// meanFaultInterval is the mean time between the starts of two faults, unless maxActiveFaults are active already.
	meanFaultInterval = 1500 * time.Millisecond
	maxActiveFaults   = 3
	// lostResponsePercent is the share of the store's responses that the fault "store loses answers" drops, in percent.
	lostResponsePercent = 30
	// startDelay is the delay after which a late worker carries out a start that it doesn't answer.
	startDelay = 3 * time.Second
	// allAccelerators are the accelerators of a worker, and shrunkAccelerators those that are left of them when it shrinks. Starts
	// must not exceed them after capacityGrace: StableWindowMs and a heartbeat of the settings.
	allAccelerators    = 8
	shrunkAccelerators = 2
	capacityGrace      = 4500 * time.Millisecond
	// minPartition and maxPartition limit the length of a partition. A takeover and leases of 6 s last about minPartition together.
	minPartition = 12 * time.Second
	maxPartition = 24 * time.Second
	// A fault of --crashes affects one worker in crashedShare.
	crashedShare = 3
	// crashPause is the time from a crash until the workers are back and tasks may run on them again.
	crashPause = 5 * time.Second
	// flapRounds is how often a half of the flapping workers crashes, and flapInterval the time from one half's crash to the other's.
	flapRounds   = 6
	flapInterval = 2500 * time.Millisecond
	// slowReplyDelay is the additional time that a slow worker takes to answer.
	slowReplyDelay = 400 * time.Millisecond
)

// fault is one kind of fault; --only selects it by name. inject returns when the fault has ended.
type fault struct {
	name   string
	inject func(s *soak, random *rand.Rand)
}

var faults = []fault{
	{"kill", func(s *soak, random *rand.Rand) { s.killAndRestart(s.randomInstance(random), random) }},
	{"kill owner", func(s *soak, random *rand.Rand) { s.killAndRestart(s.owner(random), random) }},
	{"pause owner", pauseOwner},
	{"terminate", terminateAndRestart},
	{"kill all", killAll},
	{"store refuses", storeFault(mock.Refuse, 100, false)},
	{"store silent", storeFault(mock.DropRequest, 100, false)},
	{"store loses answers", storeFault(mock.DropResponse, lostResponsePercent, false)},
	{"store refuses one", storeFault(mock.Refuse, 100, true)},
	{"store silent to one", storeFault(mock.DropRequest, 100, true)},
	{"store forgets history", func(s *soak, _ *rand.Rand) { s.platform.Trim() }},
	{"link cut", linkFault(func(l *link, on bool) { l.cut.Store(on) })},
	{"link one way", linkFault(func(l *link, on bool) { l.oneWay.Store(on) })},
	{"link slow", linkFault(func(l *link, on bool) { l.delay.Store(int64(slowReplyDelay/4) * boolToInt(on)) })},
	{"connections silent", func(s *soak, _ *rand.Rand) {
		for _, inst := range s.instances {
			inst.storeLink.silenceAll()
		}
	}},
	{"connections reset", func(s *soak, random *rand.Rand) {
		for _, inst := range s.instances {
			inst.storeLink.closeSome(random)
		}
	}},
	{"worker silent", workerFault(func(s *soak, id string, on bool) { s.platform.Workers.SetUnreachable(id, on) })},
	{"worker unheard", workerFault(func(s *soak, id string, on bool) { s.platform.Workers.DropReplies(id, on) })},
	{"worker fails", workerFault(func(s *soak, id string, on bool) { s.platform.Workers.SetFailing(id, on) })},
	{"worker slow", workerFault(func(s *soak, id string, on bool) {
		s.platform.Workers.SetExtraLatency(id, slowReplyDelay*time.Duration(boolToInt(on)))
	})},
	{"worker late", workerFault(func(s *soak, id string, on bool) {
		s.platform.Workers.DelayNextStart(id, startDelay*time.Duration(boolToInt(on)))
	})},
	{"worker drains", workerFault(func(s *soak, id string, on bool) { s.platform.SetDraining(id, on) })},
	{"configuration", func(s *soak, _ *rand.Rand) { s.configs.publish() }},
}

// partitionFaults are injected beside the others with --partition.
var partitionFaults = []fault{{"partition owner", partitionOwner}}

// capacityFaults are injected beside the others with --capacity.
var capacityFaults = []fault{
	{"worker crashes", func(s *soak, random *rand.Rand) { s.platform.Workers.Crash(s.randomWorker(random)) }},
	{"worker shrinks", workerFault(func(s *soak, id string, on bool) {
		if on {
			s.platform.Workers.SetAccelerators(id, shrunkAccelerators, capacityGrace)
		} else {
			s.platform.Workers.SetAccelerators(s.currentID(id), allAccelerators, 0)
		}
	})},
}

// crashFaults are injected with --crashes, beside the others and at most one at a time, so that the others keep their order.
var crashFaults = []fault{
	{"workers crash", crashWorkers},
	{"workers return under new ids", func(s *soak, random *rand.Rand) {
		s.platform.RenewIDs(true)
		defer s.platform.RenewIDs(false)
		crashWorkers(s, random)
	}},
	{"workers flap", flapWorkers},
}

// injectAll injects the selected faults in turn, up to maxActive at a time, until ctx is done and each was injected at least once.
func (s *soak) injectAll(ctx context.Context, selected []fault, maxActive int, random *rand.Rand) {
	random.Shuffle(len(selected), func(a, b int) { selected[a], selected[b] = selected[b], selected[a] })
	slots := make(chan struct{}, maxActive)
	var running sync.WaitGroup
	for n := 0; n < len(selected) || ctx.Err() == nil; n++ {
		next := selected[n%len(selected)]
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), 2))
		slots <- struct{}{}
		fmt.Printf("%6.1f s  %s\n", time.Since(s.started).Seconds(), next.name)
		running.Go(func() {
			defer func() { <-slots }()
			next.inject(s, faultRandom)
		})
		time.Sleep(meanFaultInterval/2 + time.Duration(random.Int64N(int64(meanFaultInterval))))
	}
	running.Wait()
}

// selectFaults returns the faults with the given names. Without names it returns all faults, those of workers' capacity only if
// capacity is set, and partitions only if partition is.
func selectFaults(names []string, capacity, partition bool) []fault {
	if len(names) > 0 {
		all := slices.Concat(faults, capacityFaults, partitionFaults)
		return slices.DeleteFunc(all, func(f fault) bool { return !slices.Contains(names, f.name) })
	}
	selected := slices.Clone(faults)
	if capacity {
		selected = append(selected, capacityFaults...)
	}
	if partition {
		selected = append(selected, partitionFaults...)
	}
	return selected
}

// randomDuration returns a random duration between a quarter of maxDuration and maxDuration.
func randomDuration(random *rand.Rand, maxDuration time.Duration) time.Duration {
	return maxDuration/4 + time.Duration(random.Int64N(int64(maxDuration*3/4)))
}

func (s *soak) randomInstance(random *rand.Rand) *instance {
	return s.instances[random.IntN(len(s.instances))]
}

// owner returns the owner; a random instance if there is no owner.
func (s *soak) owner(random *rand.Rand) *instance {
	for _, inst := range s.instances {
		if inst.isOwner() {
			return inst
		}
	}
	return s.randomInstance(random)
}

// killAndRestart kills an instance and restarts it after 0.5 to 2 s.
func (s *soak) killAndRestart(inst *instance, random *rand.Rand) {
	s.processMu.Lock()
	defer s.processMu.Unlock()
	inst.kill()
	time.Sleep(randomDuration(random, 2*time.Second))
	s.restart(inst)
}

func (s *soak) restart(inst *instance) {
	if err := inst.launch(); err != nil {
		s.properties.fail("instances start", "%s: %v", inst.name, err)
	}
}

// pauseOwner suspends the owner's process, usually for longer than a takeover takes, and resumes it.
func pauseOwner(s *soak, random *rand.Rand) {
	s.processMu.Lock()
	defer s.processMu.Unlock()
	inst := s.owner(random)
	inst.signal(syscall.SIGSTOP)
	time.Sleep(randomDuration(random, 6*time.Second))
	inst.signal(syscall.SIGCONT)
}

// terminateAndRestart sends SIGTERM to an instance, checks that it exits in time, and restarts it.
func terminateAndRestart(s *soak, random *rand.Rand) {
	s.processMu.Lock()
	defer s.processMu.Unlock()
	inst := s.randomInstance(random)
	err := inst.terminate()
	s.properties.check("a process exits in time after SIGTERM", err == nil, "%v", err)
	s.restart(inst)
}

// killAll kills all instances and restarts them; accepted jobs must survive this.
func killAll(s *soak, random *rand.Rand) {
	s.processMu.Lock()
	defer s.processMu.Unlock()
	for _, inst := range s.instances {
		inst.kill()
	}
	time.Sleep(randomDuration(random, 2*time.Second))
	for _, inst := range s.instances {
		s.restart(inst)
	}
}

// partitionOwner cuts the owner and up to a third of the workers off from the store, the other instances and the other workers.
func partitionOwner(s *soak, random *rand.Rand) {
	s.processMu.Lock()
	defer s.processMu.Unlock()
	inst := s.owner(random)
	ids := s.shuffledWorkers(random)
	workers := map[string]bool{}
	for _, id := range ids[:1+random.IntN(max(1, len(ids)/3))] {
		workers[mock.FirstID(id)] = true
	}
	inst.storeLink.cut.Store(true)
	s.platform.SetPartition(inst.name, workers)
	time.Sleep(minPartition + time.Duration(random.Int64N(int64(maxPartition-minPartition))))
	s.platform.SetPartition("", nil)
	inst.storeLink.cut.Store(false)
}

// crashWorkers crashes a part of the workers at the same moment and waits until they are back.
func crashWorkers(s *soak, random *rand.Rand) {
	ids := s.shuffledWorkers(random)
	for _, id := range ids[:max(1, len(ids)/crashedShare)] {
		s.platform.Workers.Crash(id)
	}
	time.Sleep(crashPause)
}

// flapWorkers crashes the halves of a part of the workers by turns.
func flapWorkers(s *soak, random *rand.Rand) {
	ids := s.shuffledWorkers(random)
	ids = ids[:max(1, len(ids)/crashedShare)]
	for round := range flapRounds {
		for n, id := range ids {
			if n%2 == round%2 {
				s.platform.Workers.Crash(s.currentID(id))
			}
		}
		time.Sleep(flapInterval)
	}
}

// storeFault returns a fault that affects a share, in percent, of the store calls of all instances or of one.
func storeFault(kind mock.Fault, percent int, oneInstance bool) func(*soak, *rand.Rand) {
	return func(s *soak, random *rand.Rand) {
		s.storeMu.Lock()
		defer s.storeMu.Unlock()
		affected := s.randomInstance(random).name
		s.platform.InjectFaults(func(instance, _ string) mock.Fault {
			if (oneInstance && instance != affected) || random.IntN(100) >= percent {
				return mock.None
			}
			return kind
		})
		time.Sleep(randomDuration(random, 5*time.Second))
		s.platform.InjectFaults(nil)
	}
}

// linkFault returns a fault of the link between one instance and the store; set switches it on and off.
func linkFault(set func(l *link, on bool)) func(*soak, *rand.Rand) {
	return func(s *soak, random *rand.Rand) {
		l := s.randomInstance(random).storeLink
		set(l, true)
		time.Sleep(randomDuration(random, 5*time.Second))
		set(l, false)
	}
}

// workerFault returns a fault of one worker; set switches it on and off.
func workerFault(set func(s *soak, id string, on bool)) func(*soak, *rand.Rand) {
	return func(s *soak, random *rand.Rand) {
		id := s.randomWorker(random)
		set(s, id, true)
		time.Sleep(randomDuration(random, 5*time.Second))
		set(s, id, false)
	}
}

// shuffledWorkers returns the ids of all workers in a random order.
func (s *soak) shuffledWorkers(random *rand.Rand) []string {
	var ids []string
	for _, entry := range s.platform.Workers.Entries() {
		ids = append(ids, entry.ID)
	}
	random.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
	return ids
}

// currentID returns the id of a worker's current incarnation.
func (s *soak) currentID(id string) string {
	for _, entry := range s.platform.Workers.Entries() {
		if mock.FirstID(entry.ID) == mock.FirstID(id) {
			return entry.ID
		}
	}
	return id
}

// randomWorker returns the id of a worker.
func (s *soak) randomWorker(random *rand.Rand) string {
	entries := s.platform.Workers.Entries()
	return entries[random.IntN(len(entries))].ID
}

func boolToInt(on bool) int64 {
	if on {
		return 1
	}
	return 0
}
