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
	// machineListInterval spaces the readings of the machines while a wave is under way.
	machineListInterval = time.Second
	// machineCallTimeout bounds a call about machines.
	machineCallTimeout = 2 * time.Second
	// expectedUpkeepDuration is about how long a machine is away, its evacuation included; it tells when a wave gets short of time.
	expectedUpkeepDuration = 5 * time.Second
)

// upkeep is what the owner knows of machines and waves.
type upkeep struct {
	machines map[string]worker.Machine
	// listedAt is when the newest list was asked for; zero before the first.
	listedAt     time.Time
	listInFlight bool
	waves        map[int64]*wave
}

// wave is one wave of upkeep under way.
type wave struct {
	config.Wave
	// startedAt are the machines whose upkeep has startedAt, and when; it is zero for those of an earlier owner.
	startedAt map[string]time.Time
	// chosen are machines that are being emptied; requested are those whose order is under way.
	chosen, requested map[string]bool
	// reported is the state that the operator was reported.
	reported replica.WaveState
}

// advanceWaves brings the waves of upkeep forward.
func (s *session) advanceWaves() {
	if s.Machines == nil {
		return
	}
	for _, requested := range s.Waves.All() {
		w := s.waveOf(requested)
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

// waveOf returns the state of a wave; what an earlier owner began is in the store.
func (s *session) waveOf(requested config.Wave) *wave {
	w, known := s.upkeep.waves[requested.Number]
	if !known {
		w = &wave{startedAt: map[string]time.Time{}, chosen: map[string]bool{}, requested: map[string]bool{}}
		for _, machine := range s.Replica.UpkeepStarted(requested.Number) {
			w.startedAt[machine] = time.Time{}
		}
		s.upkeep.waves[requested.Number] = w
	}
	w.Wave = requested
	return w
}

// listMachines asks for the machines now and then.
func (s *session) listMachines() {
	if s.upkeep.listInFlight || s.now.Sub(s.upkeep.listedAt) < machineListInterval {
		return
	}
	s.upkeep.listInFlight = true
	asked := s.now
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
			s.upkeep.listedAt, s.upkeep.machines = asked, map[string]worker.Machine{}
			for _, machine := range machines {
				s.upkeep.machines[machine.ID] = machine
			}
		})
	}()
}

// advanceWave chooses, empties and orders the next machines of a wave, and ends it.
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
	short := s.now.Add(time.Duration((len(waiting)+w.MaxDown)/max(1, w.MaxDown)) * expectedUpkeepDuration).After(w.FirstSeen.Add(w.Duration))
	for machine := range w.chosen {
		ws := s.workerOn(machine)
		if ws != nil {
			ws.reserved = true
			s.evacuate(ws, short)
		}
		if (ws == nil || len(ws.members) == 0) && !w.requested[machine] && s.now.Sub(s.term.ClaimedAt) > s.Options.TakeoverDelay {
			s.requestUpkeep(w, machine)
		}
	}
}

// waitingMachines are the machines of a wave whose upkeep has neither begun nor been chosen, those with least to lose first.
func (s *session) waitingMachines(w *wave) []string {
	var machines []string
	loss := map[string]float64{}
	for _, id := range w.Machines {
		machine, stays := s.upkeep.machines[id]
		if _, begun := w.startedAt[id]; begun || w.chosen[id] || !stays {
			continue
		}
		machines = append(machines, id)
		if !machine.Up {
			loss[id] = 1e9 // it can't be ordered yet.
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

// downCount counts the machines of a wave that may be downCount for it: until a list that was asked for later shows them up.
func (s *session) downCount(w *wave) int {
	down := 0
	for machine, began := range w.startedAt {
		state, known := s.upkeep.machines[machine]
		if known && (state.Upkeep || !state.Up || !s.upkeep.listedAt.After(began)) {
			down++
		}
	}
	return down
}

// workerOn returns the worker on a machine; nil if it has none that is known.
func (s *session) workerOn(machine string) *workerState {
	return s.workers[s.upkeep.machines[machine].Worker]
}

// evacuate stops what can go on elsewhere. The rest may end by itself, unless the wave is short of time.
func (s *session) evacuate(ws *workerState, short bool) {
	for _, member := range ws.members {
		step := member.run.unit.step
		switch {
		case member.run.stopReason != "":
		case step.spec.GetLongRunning():
			if step.stoppableCount() > 0 {
				s.stopRun(member.run.unit, "its machine has its upkeep")
			}
		case step.spec.GetCheckpointing() || short:
			s.stopRun(member.run.unit, "its machine has its upkeep")
		}
	}
}

// requestUpkeep takes an empty machine down.
func (s *session) requestUpkeep(w *wave, machine string) {
	w.requested[machine] = true
	order := worker.UpkeepOrder{Machine: machine, Wave: w.Number, Holder: s.Options.Instance, Fence: s.term.Epoch}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, machineCallTimeout)
		defer cancel()
		err := s.Machines.Upkeep(ctx, order)
		s.post(func() { s.handleUpkeepReply(w, machine, err) })
	}()
}

// handleUpkeepReply notes that an upkeep began, or tries again later.
func (s *session) handleUpkeepReply(w *wave, machine string, err error) {
	delete(w.requested, machine)
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
	begun := make([]string, 0, len(w.startedAt))
	for id := range w.startedAt {
		begun = append(begun, id)
	}
	sort.Strings(begun)
	record, err := replica.UpkeepRecord(w.Number, begun)
	if err != nil {
		s.term.StepDown(err.Error())
		return
	}
	s.appendRecords(nil, record)
}

// reportWave writes a wave's state for the operator. "Completed" is told once all that began is stored.
func (s *session) reportWave(w *wave, state replica.WaveState) {
	if w.reported >= state {
		return
	}
	w.reported = state
	s.Events.Log(events.WaveStateChanged, "wave", w.Number, "state", state, "machines", len(w.Machines))
	s.status.Submit(s.WaveStatus(w.Number, state))
}
