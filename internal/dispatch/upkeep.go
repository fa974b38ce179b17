package dispatch

import (
	"context"
	"sort"
	"time"

	"github.com/go-faster/errors"

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
	// expectedUpkeepDuration is about how long a machine is away, its evacuation included; it shows when a wave runs short
	// of time.
	expectedUpkeepDuration = 5 * time.Second
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
	// startedAt is when the upkeep of each machine started; it is zero for those that an earlier owner started.
	startedAt map[string]time.Time
	// chosen are the machines that are being evacuated; ordered are those whose upkeep order is in flight.
	chosen, ordered map[string]bool
	// reported is the state that was last reported to the operator.
	reported replica.WaveState
}

// advanceWaves advances all waves of upkeep.
func (s *session) advanceWaves() {
	if s.Machines == nil || s.confirming {
		return
	}
	for _, configured := range s.Waves.All() {
		w := s.waveOf(configured)
		if w.reported == replica.WaveCompleted {
			continue
		}
		s.reportWave(w, replica.WaveRunning)
		s.listMachines()
		if !s.upkeep.listedAt.IsZero() {
			s.advanceWave(w)
		}
	}
}

// waveOf returns the state of a wave; the machines that an earlier owner started come from the store.
func (s *session) waveOf(configured config.Wave) *wave {
	w, known := s.upkeep.waves[configured.Number]
	if !known {
		w = &wave{startedAt: map[string]time.Time{}, chosen: map[string]bool{}, ordered: map[string]bool{}}
		for _, machine := range s.Replica.UpkeepStarted(configured.Number) {
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
		w.chosen[machine] = true
	}
	shortOfTime := s.now.Add(time.Duration((len(waiting)+w.MaxDown)/max(1, w.MaxDown)) * expectedUpkeepDuration).
		After(w.FirstSeen.Add(w.Duration))
	for machine := range w.chosen {
		ws := s.workerOn(machine)
		if ws != nil {
			ws.reserved = true
			s.evacuate(ws, shortOfTime)
		}
		if (ws == nil || len(ws.members) == 0) && !w.ordered[machine] && s.now.Sub(s.term.ClaimedAt) > s.Options.TakeoverDelay {
			s.orderUpkeep(w, machine)
		}
	}
}

// waitingMachines returns the listed machines of a wave that are neither chosen nor started, those with the least work to
// lose first.
func (s *session) waitingMachines(w *wave) []string {
	var machines []string
	loss := map[string]float64{}
	for _, id := range w.Machines {
		machine, listed := s.upkeep.machines[id]
		if _, started := w.startedAt[id]; started || w.chosen[id] || !listed {
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

// orderUpkeep orders the upkeep of an evacuated machine.
func (s *session) orderUpkeep(w *wave, machine string) {
	w.ordered[machine] = true
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
	delete(w.ordered, machine)
	s.Events.Log(events.UpkeepOrdered, "wave", w.Number, "machine", machine, "error", err)
	switch {
	case errors.Is(err, worker.ErrMachineFenced):
		s.term.StepDown("a higher fencing token was used for machine " + machine)
		return
	case err != nil && !errors.Is(err, worker.ErrNoMachine):
		return
	}
	delete(w.chosen, machine)
	w.startedAt[machine] = s.now
	if ws := s.workerOn(machine); ws != nil {
		s.handleNewIncarnation(ws)
	}
	started := make([]string, 0, len(w.startedAt))
	for id := range w.startedAt {
		started = append(started, id)
	}
	sort.Strings(started)
	record, err := replica.UpkeepRecord(w.Number, started)
	if err != nil {
		s.term.StepDown(err.Error())
		return
	}
	s.appendRecords(nil, record)
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
