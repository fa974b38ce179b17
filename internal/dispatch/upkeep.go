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
	// listEvery spaces the readings of the machines while a wave is under way.
	listEvery = time.Second
	// machineTimeout bounds a call about machines.
	machineTimeout = 2 * time.Second
	// upkeepTime is about how long a machine is away, its evacuation included; it tells when a wave gets short of time.
	upkeepTime = 5 * time.Second
)

// upkeep is what the owner knows of machines and waves.
type upkeep struct {
	machines map[string]worker.Machine
	// listed is when the newest list was asked for; zero before the first.
	listed  time.Time
	listing bool
	waves   map[int64]*wave
}

// wave is one wave of upkeep under way.
type wave struct {
	config.Wave
	// begun are the machines whose upkeep has begun, and when; it is zero for those of an earlier owner.
	begun map[string]time.Time
	// chosen are machines that are being emptied; ordered are those whose order is under way.
	chosen, ordered map[string]bool
	// told is the state that the operator was told.
	told replica.WaveState
}

// lookAtWaves brings the waves of upkeep forward.
func (s *session) lookAtWaves() {
	if s.Machines == nil {
		return
	}
	for _, requested := range s.Waves.All() {
		w := s.waveOf(requested)
		if w.told == replica.WaveCompleted {
			continue
		}
		s.tellWave(w, replica.WaveRunning)
		s.listMachines()
		if !s.upkeep.listed.IsZero() {
			s.advance(w)
		}
	}
}

// waveOf returns the state of a wave; what an earlier owner began is in the store.
func (s *session) waveOf(requested config.Wave) *wave {
	w, known := s.upkeep.waves[requested.Number]
	if !known {
		w = &wave{begun: map[string]time.Time{}, chosen: map[string]bool{}, ordered: map[string]bool{}}
		for _, machine := range s.Replica.UpkeepStarted(requested.Number) {
			w.begun[machine] = time.Time{}
		}
		s.upkeep.waves[requested.Number] = w
	}
	w.Wave = requested
	return w
}

// listMachines asks for the machines now and then.
func (s *session) listMachines() {
	if s.upkeep.listing || s.now.Sub(s.upkeep.listed) < listEvery {
		return
	}
	s.upkeep.listing = true
	asked := s.now
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, machineTimeout)
		defer cancel()
		machines, err := s.Machines.List(ctx)
		s.post(func() {
			s.upkeep.listing = false
			if err != nil {
				s.Events.Log(events.MachinesUnreachable, "error", err)
				return
			}
			s.upkeep.listed, s.upkeep.machines = asked, map[string]worker.Machine{}
			for _, machine := range machines {
				s.upkeep.machines[machine.ID] = machine
			}
		})
	}()
}

// advance chooses, empties and orders the next machines of a wave, and ends it.
func (s *session) advance(w *wave) {
	waiting := s.waiting(w)
	if len(waiting) == 0 && len(w.chosen) == 0 {
		s.tellWave(w, replica.WaveCompleted)
		return
	}
	slots := w.MaxDown - s.down(w) - len(w.chosen)
	for _, machine := range waiting[:max(0, min(slots, len(waiting)))] {
		w.chosen[machine] = true
	}
	short := s.now.Add(time.Duration((len(waiting)+w.MaxDown)/max(1, w.MaxDown)) * upkeepTime).After(w.FirstSeen.Add(w.Duration))
	for machine := range w.chosen {
		h := s.hostOf(machine)
		if h != nil {
			h.reserved = true
			s.empty(h, short)
		}
		if (h == nil || len(h.members) == 0) && !w.ordered[machine] && s.now.Sub(s.term.ClaimedAt) > s.Options.TakeoverDelay {
			s.orderUpkeep(w, machine)
		}
	}
}

// waiting are the machines of a wave whose upkeep has neither begun nor been chosen, those with least to lose first.
func (s *session) waiting(w *wave) []string {
	var machines []string
	loss := map[string]float64{}
	for _, id := range w.Machines {
		machine, stays := s.upkeep.machines[id]
		if _, begun := w.begun[id]; begun || w.chosen[id] || !stays {
			continue
		}
		machines = append(machines, id)
		if !machine.Up {
			loss[id] = 1e9 // it can't be ordered yet.
		}
		if h := s.hostOf(id); h != nil {
			for _, member := range h.members {
				loss[id] += s.lost(member.run)
			}
		}
	}
	sort.SliceStable(machines, func(a, b int) bool { return loss[machines[a]] < loss[machines[b]] })
	return machines
}

// down counts the machines of a wave that may be down for it: until a list that was asked for later shows them up.
func (s *session) down(w *wave) int {
	down := 0
	for machine, began := range w.begun {
		state, known := s.upkeep.machines[machine]
		if known && (state.Upkeep || !state.Up || !s.upkeep.listed.After(began)) {
			down++
		}
	}
	return down
}

// hostOf returns the worker on a machine; nil if it has none that is known.
func (s *session) hostOf(machine string) *host {
	return s.workers[s.upkeep.machines[machine].Worker]
}

// empty stops what can go on elsewhere. The rest may end by itself, unless the wave is short of time.
func (s *session) empty(h *host, short bool) {
	for _, member := range h.members {
		step := member.run.unit.step
		switch {
		case member.run.stopping != "":
		case step.spec.GetLongRunning():
			if step.spare() > 0 {
				s.stop(member.run.unit, "its machine has its upkeep")
			}
		case step.spec.GetCheckpointing() || short:
			s.stop(member.run.unit, "its machine has its upkeep")
		}
	}
}

// orderUpkeep takes an empty machine down.
func (s *session) orderUpkeep(w *wave, machine string) {
	w.ordered[machine] = true
	order := worker.UpkeepOrder{Machine: machine, Wave: w.Number, Holder: s.Options.Instance, Fence: s.term.Epoch}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, machineTimeout)
		defer cancel()
		err := s.Machines.Upkeep(ctx, order)
		s.post(func() { s.upkeepOrdered(w, machine, err) })
	}()
}

// upkeepOrdered notes that an upkeep began, or tries again later.
func (s *session) upkeepOrdered(w *wave, machine string, err error) {
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
	w.begun[machine] = s.now
	if h := s.hostOf(machine); h != nil {
		s.replaced(h)
	}
	begun := make([]string, 0, len(w.begun))
	for id := range w.begun {
		begun = append(begun, id)
	}
	sort.Strings(begun)
	record, err := replica.UpkeepRecord(w.Number, begun)
	if err != nil {
		s.term.StepDown(err.Error())
		return
	}
	s.record(nil, record)
}

// tellWave writes a wave's state for the operator. "Completed" is told once all that began is stored.
func (s *session) tellWave(w *wave, state replica.WaveState) {
	if w.told >= state {
		return
	}
	w.told = state
	s.Events.Log(events.WaveStateChanged, "wave", w.Number, "state", state, "machines", len(w.Machines))
	s.status.Submit(s.EncodeWaveStatus(w.Number, state))
}
