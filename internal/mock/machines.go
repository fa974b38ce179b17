package mock

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// upkeepDuration is how long the upkeep of a machine takes.
const upkeepDuration = 2 * time.Second

// Machines implements worker.Machines for the machines of Workers: worker w00 runs on machine m00, and so on. Upkeep of
// m00 replaces w00 by a new worker w00-2.
type Machines struct {
	workers  *Workers
	registry *Store
	maxDown  int

	mu sync.Mutex
	// orderDelay is how much later an order takes effect, without an answer; 0 for at once.
	orderDelay time.Duration
	// listDelay is how much longer than callLatency a list takes.
	listDelay time.Duration
	// machines and fences have the machine's id as key. fences are the fencing tokens of accepted orders.
	machines      map[string]worker.Machine
	upkeepStarted map[upkeepKey]bool
	fences        map[string]int64
	violations    []string
}

// upkeepKey identifies the upkeep of a machine in a wave.
type upkeepKey struct {
	wave    int64
	machine string
}

// NewMachines returns the machines of workers. It is a violation if more than maxDown of them are down at once. Upkeep
// deletes and adds the records of workers in registry.
func NewMachines(workers *Workers, registry *Store, maxDown int) *Machines {
	m := &Machines{
		workers: workers, registry: registry, maxDown: maxDown, machines: map[string]worker.Machine{},
		upkeepStarted: map[upkeepKey]bool{}, fences: map[string]int64{},
	}
	for _, entry := range workers.Entries() {
		id := "m" + strings.TrimPrefix(entry.ID, "w")
		m.machines[id] = worker.Machine{ID: id, Worker: entry.ID, Up: true}
	}
	return m
}

// List implements worker.Machines.
func (m *Machines) List(context.Context) ([]worker.Machine, error) {
	m.mu.Lock()
	delay := m.listDelay
	m.mu.Unlock()
	time.Sleep(callLatency + delay)
	m.mu.Lock()
	defer m.mu.Unlock()
	var machines []worker.Machine
	for _, machine := range m.machines {
		machines = append(machines, machine)
	}
	return machines, nil
}

// Add brings a machine up with a new worker, which it adds to the registry.
func (m *Machines) Add(id, newWorker string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.workers.Add(newWorker)
	m.machines[id] = worker.Machine{ID: id, Worker: newWorker, Up: true}
	m.registry.Put(newWorker, []byte(newWorker))
}

// DelayOrders makes later orders take effect after a delay, without an answer; 0 ends that.
func (m *Machines) DelayOrders(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.orderDelay = delay
}

// DelayLists makes later lists take longer.
func (m *Machines) DelayLists(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listDelay = delay
}

// Upkeep implements worker.Machines.
func (m *Machines) Upkeep(ctx context.Context, order worker.UpkeepOrder) error {
	time.Sleep(callLatency)
	m.mu.Lock()
	delay := m.orderDelay
	m.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() { _ = m.execute(order) })
		<-ctx.Done()
		return worker.ErrNoAnswer
	}
	return m.execute(order)
}

// execute carries out an order.
func (m *Machines) execute(order worker.UpkeepOrder) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	machine, known := m.machines[order.Machine]
	upkeep := upkeepKey{order.Wave, order.Machine}
	switch {
	case !known:
		return worker.ErrNoMachine
	case order.Fence < m.fences[order.Machine]:
		return worker.ErrMachineFenced
	case m.upkeepStarted[upkeep]:
		return nil
	case !machine.Up:
		return worker.ErrMachineBusy
	}
	m.fences[order.Machine] = order.Fence
	m.upkeepStarted[upkeep] = true
	if runs := m.workers.RunCount(machine.Worker); runs > 0 {
		m.violations = append(m.violations, order.Machine+" starts its upkeep while its worker runs tasks")
	}
	m.machines[order.Machine] = worker.Machine{ID: order.Machine, Upkeep: true}
	down := 0
	for _, other := range m.machines {
		if other.Upkeep {
			down++
		}
	}
	if down > m.maxDown {
		m.violations = append(m.violations, "more machines are down for upkeep than allowed")
	}
	m.workers.SetUnreachable(machine.Worker, true)
	m.registry.Put(machine.Worker, nil)
	time.AfterFunc(upkeepDuration, func() { m.Add(order.Machine, machine.Worker+"-2") })
	return nil
}

// UpkeepsStarted returns the number of upkeeps that have started, over all waves.
func (m *Machines) UpkeepsStarted() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.upkeepStarted)
}

// Violations returns the violations that were detected: upkeep of a machine in use, or too many machines down at once.
func (m *Machines) Violations() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.violations...)
}
