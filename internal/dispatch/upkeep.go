package dispatch

import (
	"context"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/go-faster/errors"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/config"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

const (
	// machineListInterval is the interval between lists of the machines while a wave is in progress.
	machineListInterval = time.Second
	// machineCallTimeout limits a call about machines.
	machineCallTimeout = 2 * time.Second
	// maxMachineListAge is the age above which a list of the machines is too old to act on: machines and workers have come and gone.
	maxMachineListAge = machineListInterval + machineCallTimeout
	// expectedUpkeepDuration is about how long a machine is away, its evacuation included; it shows when a wave runs short
	// of time.
	expectedUpkeepDuration = 5 * time.Second
	// upkeepRetryDelay is the delay before an upkeep order that failed is sent again.
	upkeepRetryDelay = 300 * time.Millisecond
)

// upkeep is what the owner knows about machines and waves.
type upkeep struct {
	machines map[string]worker.Machine
	// listedAt is when the latest list was requested; zero before the first.
	listedAt     time.Time
	listInFlight bool
	waves        map[int64]*wave
}

// wave is one wave of upkeep in progress.
type wave struct {
	config.Wave
	// knownAt is when this owner first knew of the wave.
	knownAt time.Time
	// startedAt is when the upkeep of each machine started; it is zero for those that an earlier owner started.
	startedAt map[string]time.Time
	// chosen are the machines that are being evacuated or whose upkeep is ordered.
	chosen map[string]*chosenMachine
	// reported is the state that was last reported to the operator.
	reported replica.WaveState
}

// chosenMachine is a machine of a wave until its upkeep has started.
type chosenMachine struct {
	// ordered is true once the wave's record has the order, or is to have it: the upkeep may start at any time.
	ordered bool
	// inFlight is true while the order is being recorded or sent; it isn't sent again before nextOrderAt.
	inFlight    bool
	nextOrderAt time.Time
}

// advanceWaves advances all waves of upkeep.
func (s *session) advanceWaves() {
	if s.Machines == nil || s.suspended() {
		return
	}
	for _, configured := range s.Waves.All() {
		w := s.waveOf(configured)
		if w.reported == replica.WaveCompleted {
			continue
		}
		s.reportWave(w, replica.WaveRunning)
		s.listMachines()
		if !s.upkeep.listedAt.Before(w.knownAt) && s.now.Sub(s.upkeep.listedAt) < maxMachineListAge {
			s.advanceWave(w)
		}
	}
}

// waveOf returns the state of a wave; its progress under earlier owners comes from the store. An order that an earlier owner sent may
// still take effect, so its machine is chosen again.
func (s *session) waveOf(configured config.Wave) *wave {
	w, known := s.upkeep.waves[configured.Number]
	if !known {
		w = &wave{knownAt: s.now, startedAt: map[string]time.Time{}, chosen: map[string]*chosenMachine{}}
		progress := s.Replica.Upkeep(configured.Number)
		for _, machine := range progress.GetOrdered() {
			w.chosen[machine] = &chosenMachine{ordered: true}
		}
		for _, machine := range progress.GetBegun() {
			w.startedAt[machine] = time.Time{}
		}
		s.upkeep.waves[configured.Number] = w
	}
	w.Wave = configured
	return w
}

// listMachines requests a list of the machines if the latest one is older than machineListInterval.
func (s *session) listMachines() {
	if s.upkeep.listInFlight || s.now.Sub(s.upkeep.listedAt) < machineListInterval {
		return
	}
	s.upkeep.listInFlight = true
	requestedAt := s.now
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, machineCallTimeout)
		defer cancel()
		machines, err := s.Machines.List(ctx)
		s.post(func() {
			s.upkeep.listInFlight = false
			if err != nil {
				s.Events.Log(events.MachinesUnreachable, "error", err)
				return
			}
			s.upkeep.listedAt, s.upkeep.machines = requestedAt, map[string]worker.Machine{}
			for _, machine := range machines {
				s.upkeep.machines[machine.ID] = machine
			}
		})
	}()
}

// advanceWave chooses the next machines of a wave, evacuates them and orders their upkeep. The wave is completed once the
// upkeep of its last machine has started.
func (s *session) advanceWave(w *wave) {
	waiting := s.waitingMachines(w)
	if len(waiting) == 0 && len(w.chosen) == 0 {
		s.reportWave(w, replica.WaveCompleted)
		return
	}
	slots := w.MaxDown - s.downCount(w) - len(w.chosen)
	for _, machine := range waiting[:max(0, min(slots, len(waiting)))] {
		w.chosen[machine] = &chosenMachine{}
	}
	shortOfTime := s.now.Add(time.Duration((len(waiting)+w.MaxDown)/max(1, w.MaxDown)) * expectedUpkeepDuration).
		After(w.FirstSeen.Add(w.Duration))
	for machine := range w.chosen {
		if ws := s.workerOn(machine); ws != nil {
			ws.reserved = true
			s.evacuate(ws, shortOfTime)
		}
		if s.mayOrderUpkeep(w, machine) {
			s.orderUpkeep(w, machine)
		}
	}
}

// mayOrderUpkeep reports whether the upkeep of a chosen machine may be ordered now.
func (s *session) mayOrderUpkeep(w *wave, machine string) bool {
	if state, listed := s.upkeep.machines[machine]; listed && !state.Up {
		return false
	}
	chosen := w.chosen[machine]
	return !chosen.inFlight && !s.now.Before(chosen.nextOrderAt) && s.isEvacuated(machine) &&
		s.now.Sub(s.term.ClaimedAt) > s.Options.TakeoverDelay
}

// isEvacuated reports whether nothing may be running on a machine.
func (s *session) isEvacuated(machine string) bool {
	ws := s.workerOn(machine)
	return ws == nil || len(ws.members) == 0
}

// waitingMachines returns the listed machines of a wave that are neither chosen nor started, those with the least work to
// lose first.
func (s *session) waitingMachines(w *wave) []string {
	var machines []string
	loss := map[string]float64{}
	for _, id := range w.Machines {
		machine, listed := s.upkeep.machines[id]
		if _, started := w.startedAt[id]; started || w.chosen[id] != nil || !listed {
			continue
		}
		machines = append(machines, id)
		if !machine.Up {
			loss[id] = 1e9 // its upkeep can't be ordered yet.
		}
		if ws := s.workerOn(id); ws != nil {
			for _, member := range ws.members {
				loss[id] += s.lostWork(member.run)
			}
		}
	}
	sort.SliceStable(machines, func(a, b int) bool { return loss[machines[a]] < loss[machines[b]] })
	return machines
}

// downCount counts the machines of a wave that may be down for it: each counts until a list that was requested after its
// upkeep started shows it up.
func (s *session) downCount(w *wave) int {
	down := 0
	for machine, startedAt := range w.startedAt {
		state, known := s.upkeep.machines[machine]
		if known && (state.Upkeep || !state.Up || !s.upkeep.listedAt.After(startedAt)) {
			down++
		}
	}
	return down
}

// workerOn returns the worker on a machine; nil if none is known.
func (s *session) workerOn(machine string) *workerState {
	return s.workers[s.upkeep.machines[machine].Worker]
}

// evacuate stops the runs that can continue elsewhere. The others may end by themselves, unless the wave is short of time.
func (s *session) evacuate(ws *workerState, shortOfTime bool) {
	for _, member := range ws.members {
		step := member.run.unit.step
		switch {
		case member.run.stopReason != "":
		case step.spec.GetLongRunning():
			if step.stoppableCount() > 0 {
				s.stopRun(member.run.unit, "upkeep of its machine")
			}
		case step.spec.GetCheckpointing() || shortOfTime:
			s.stopRun(member.run.unit, "upkeep of its machine")
		}
	}
}

// orderUpkeep records that the upkeep of an evacuated machine is ordered, and sends the order once that is stored. So an owner that the
// store refuses orders nothing beside its successor, and the successor knows every machine for which an order may still take effect.
func (s *session) orderUpkeep(w *wave, machine string) {
	chosen := w.chosen[machine]
	chosen.ordered, chosen.inFlight = true, true
	s.recordWave(w, func() {
		if s.suspended() || !s.isEvacuated(machine) {
			chosen.inFlight = false
			return
		}
		s.sendUpkeepOrder(w, machine)
	})
}

// sendUpkeepOrder sends a recorded order.
func (s *session) sendUpkeepOrder(w *wave, machine string) {
	order := worker.UpkeepOrder{Machine: machine, Wave: w.Number, Holder: s.Options.Instance, Fence: s.term.Epoch}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, machineCallTimeout)
		defer cancel()
		err := s.Machines.Upkeep(ctx, order)
		s.post(func() { s.handleUpkeepReply(w, machine, err) })
	}()
}

// handleUpkeepReply records that the upkeep of a machine has started; a failed order is sent again at a later tick.
func (s *session) handleUpkeepReply(w *wave, machine string, err error) {
	s.Events.Log(events.UpkeepOrdered, "wave", w.Number, "machine", machine, "fence", s.term.Epoch, "error", err)
	switch {
	case errors.Is(err, worker.ErrMachineFenced):
		s.term.StepDown("a higher fencing token was used for machine " + machine)
		return
	case err != nil && !errors.Is(err, worker.ErrNoMachine):
		chosen := w.chosen[machine]
		chosen.inFlight, chosen.nextOrderAt = false, s.now.Add(upkeepRetryDelay)
		return
	}
	delete(w.chosen, machine)
	w.startedAt[machine] = s.now
	if ws := s.workerOn(machine); ws != nil {
		s.handleNewIncarnation(ws, signUpkeep)
	}
	s.recordWave(w, nil)
}

// recordWave records the progress of a wave and calls onStored, if set, once that is stored.
func (s *session) recordWave(w *wave, onStored func()) {
	progress := &storev1.Upkeep{Begun: slices.Sorted(maps.Keys(w.startedAt))}
	for machine, chosen := range w.chosen {
		if chosen.ordered {
			progress.Ordered = append(progress.Ordered, machine)
		}
	}
	slices.Sort(progress.Ordered)
	record, err := replica.UpkeepRecord(w.Number, progress)
	if err != nil {
		s.term.StepDown(err.Error())
		return
	}
	s.appendRecords(onStored, record)
}

// reportWave writes a new state of a wave for the operator. WaveCompleted should appear only after the records of all started
// upkeeps are stored; nothing here waits for that.
func (s *session) reportWave(w *wave, state replica.WaveState) {
	if w.reported >= state {
		return
	}
	w.reported = state
	s.Events.Log(events.WaveStateChanged, "wave", w.Number, "state", state, "machines", len(w.Machines))
	s.waveStatus.Submit(s.EncodeWaveStatus(w.Number, state))
}
