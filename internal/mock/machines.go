package mock

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// upkeepTime is how long a machine is down for its upkeep.
const upkeepTime = 2 * time.Second

// Machines are the machines of Workers: machine m00 has worker w00, after its upkeep w00-2, and so on.
type Machines struct {
	workers  *Workers
	registry *Store
	most     int

	mu      sync.Mutex
	machine map[string]worker.Machine
	begun   map[string]bool
	fences  map[string]int64
	found   []string
}

// NewMachines returns the machines of workers. Of a wave at most a number may be down at once.
func NewMachines(workers *Workers, registry *Store, most int) *Machines {
	m := &Machines{
		workers: workers, registry: registry, most: most, machine: map[string]worker.Machine{}, begun: map[string]bool{}, fences: map[string]int64{},
	}
	for _, entry := range workers.Entries() {
		id := "m" + strings.TrimPrefix(entry.ID, "w")
		m.machine[id] = worker.Machine{ID: id, Worker: entry.ID, Up: true}
	}
	return m
}

// List implements worker.Machines.
func (m *Machines) List(context.Context) ([]worker.Machine, error) {
	time.Sleep(latency)
	m.mu.Lock()
	defer m.mu.Unlock()
	var machines []worker.Machine
	for _, machine := range m.machine {
		machines = append(machines, machine)
	}
	return machines, nil
}

// Upkeep implements worker.Machines.
func (m *Machines) Upkeep(_ context.Context, order worker.UpkeepOrder) error {
	time.Sleep(latency)
	m.mu.Lock()
	defer m.mu.Unlock()
	machine, known := m.machine[order.Machine]
	switch {
	case !known:
		return worker.ErrNoMachine
	case order.Fence < m.fences[order.Machine]:
		return worker.ErrMachineFenced
	case m.begun[order.Machine]:
		return nil
	case !machine.Up:
		return worker.ErrMachineBusy
	}
	m.fences[order.Machine] = order.Fence
	m.begun[order.Machine] = true
	if runs := m.workers.RunCount(machine.Worker); runs > 0 {
		m.found = append(m.found, order.Machine+" goes down while it runs tasks")
	}
	m.machine[order.Machine] = worker.Machine{ID: order.Machine, Upkeep: true}
	down := 0
	for _, other := range m.machine {
		if other.Upkeep {
			down++
		}
	}
	if down > m.most {
		m.found = append(m.found, "too many machines are down")
	}
	m.workers.SetUnreachable(machine.Worker, true)
	m.registry.Put(machine.Worker, nil)
	time.AfterFunc(upkeepTime, func() { m.back(order.Machine, machine.Worker+"-2") })
	return nil
}

// back lets a machine come up with a new worker.
func (m *Machines) back(id, name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.workers.Add(name)
	m.machine[id] = worker.Machine{ID: id, Worker: name, Up: true}
	m.registry.Put(name, []byte(name))
}

// UpkeepsStarted counts the machines whose upkeep has begun.
func (m *Machines) UpkeepsStarted() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.begun)
}

// Violations are the promises that were broken.
func (m *Machines) Violations() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.found...)
}
