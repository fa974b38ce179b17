package assign

import (
	"cmp"
	"slices"

	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// world is the snapshot as the plan changes it, with what is looked up again and again.
type world struct {
	*Snapshot
	workers map[string]*Worker
	// pools are the workers of each service.
	pools map[string]*pool
	// runs are the runs on each worker, those that are cheapest to stop first; a run is there once, whatever its members.
	runs map[string][]*RunningUnit
	// victims are runs that give way under this plan.
	victims map[*RunningUnit]bool
	plan    Plan
}

// pool is the workers of a service.
type pool struct {
	workers []*Worker
	racks   []rack
}

// rack is the workers of a service that are near each other.
type rack struct {
	name    string
	workers []*Worker
}

func newWorld(snapshot *Snapshot) *world {
	w := &world{
		Snapshot: snapshot, workers: make(map[string]*Worker, len(snapshot.Workers)), pools: map[string]*pool{},
		victims: map[*RunningUnit]bool{}, plan: Plan{Reservations: map[replica.Task][]string{}},
	}
	for i := range snapshot.Workers {
		worker := &snapshot.Workers[i]
		w.workers[worker.ID] = worker
		if w.pools[worker.Service] == nil {
			w.pools[worker.Service] = &pool{}
		}
		w.pools[worker.Service].add(worker)
	}
	for _, pool := range w.pools {
		slices.SortFunc(pool.racks, func(a, b rack) int { return cmp.Compare(a.name, b.name) })
	}
	return w
}

func (p *pool) add(worker *Worker) {
	p.workers = append(p.workers, worker)
	for i := range p.racks {
		if p.racks[i].name == worker.Rack {
			p.racks[i].workers = append(p.racks[i].workers, worker)
			return
		}
	}
	p.racks = append(p.racks, rack{name: worker.Rack, workers: []*Worker{worker}})
}

// poolOf returns the workers of a unit's service.
func (w *world) poolOf(unit *Unit) *pool {
	if pool, known := w.pools[unit.Service]; known {
		return pool
	}
	return &pool{}
}

// runsOn returns the runs on a worker.
func (w *world) runsOn(worker *Worker) []*RunningUnit {
	if w.runs == nil {
		w.runs = make(map[string][]*RunningUnit, len(w.workers))
		for i := range w.Running {
			run := &w.Running[i]
			for member, id := range run.Workers {
				if !slices.Contains(run.Workers[:member], id) {
					w.runs[id] = append(w.runs[id], run)
				}
			}
		}
		for _, runs := range w.runs {
			slices.SortStableFunc(runs, func(a, b *RunningUnit) int { return cmp.Compare(a.LostWork, b.LostWork) })
		}
	}
	return w.runs[worker.ID]
}

// roomOf tells how much room of a worker counts as available.
type roomOf func(*Worker) Resources

// freeOf is the room that is unused, without what units wait for that is more than what is being freed.
func freeOf(worker *Worker) Resources {
	return worker.Free.Sub(worker.booked.Sub(worker.Freeing).orNone())
}

// soonOf adds what stopping runs still use.
func soonOf(worker *Worker) Resources { return worker.Free.Add(worker.Freeing).Sub(worker.booked) }

// orNone returns r with 0 for what is negative.
func (r Resources) orNone() Resources {
	return Resources{CPU: max(0, r.CPU), Memory: max(0, r.Memory), Accelerators: max(0, r.Accelerators)}
}

// take books a unit's room, so that no lower unit gets it.
func (w *world) take(unit *Unit, workers []string, soon bool) {
	need := ResourcesOf(unit.Step)
	for _, id := range workers {
		worker := w.workers[id]
		if worker.OnTrial {
			worker.Usable = false
		}
		if unit.TasksPerWorker != nil {
			unit.TasksPerWorker[id]++
		}
		if soon {
			worker.booked = worker.booked.Add(need)
			continue
		}
		worker.Free = worker.Free.Sub(need)
	}
}

// giveBack undoes the booking of room that is being freed.
func (w *world) giveBack(unit *Unit, workers []string) {
	need := ResourcesOf(unit.Step)
	for _, id := range workers {
		worker := w.workers[id]
		if worker.OnTrial {
			worker.Usable = true
		}
		if unit.TasksPerWorker != nil {
			unit.TasksPerWorker[id]--
		}
		worker.booked = worker.booked.Sub(need)
	}
}

// start starts a unit on workers.
func (w *world) start(unit *Unit, workers []string) {
	w.take(unit, workers, false)
	w.plan.Starts = append(w.plan.Starts, Start{Task: unit.Task, Workers: workers})
}

// reserve lets a unit wait for room that is being freed on workers.
func (w *world) reserve(unit *Unit, workers []string) {
	w.take(unit, workers, true)
	w.plan.Reservations[unit.Task] = workers
}
