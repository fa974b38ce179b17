package policy

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// drawWorkers draws a data centre of unlike workers.
func drawWorkers(t *rapid.T) []Worker {
	var workers []Worker
	for rack := range rapid.IntRange(1, 4).Draw(t, "racks") {
		for range rapid.IntRange(1, 5).Draw(t, "workers") {
			workers = append(workers, Worker{
				Name: fmt.Sprintf("w%02d", len(workers)), Rack: fmt.Sprintf("r%d", rack),
				Accelerators:  rapid.SampledFrom([]int{8, 8, 8, 4}).Draw(t, "accelerators"),
				Cores:         rapid.SampledFrom([]int{16, 32}).Draw(t, "cores"),
				MemoryMiB:     rapid.SampledFrom([]int{65536, 131072}).Draw(t, "memory"),
				SpeedPermille: rapid.SampledFrom([]int{500, 1000, 2000}).Draw(t, "speed"),
			})
		}
	}
	return workers
}

func drawShape(t *rapid.T, smallest int) Shape {
	return Shape{
		Members:      rapid.SampledFrom([]int{1, 1, 2, 3, 4, 8}).Draw(t, "members"),
		Accelerators: rapid.SampledFrom([]int{0, 1, 2, 4, 8}[smallest:]).Draw(t, "size"),
		Adjacency:    rapid.SampledFrom([]Adjacency{SameWorker, SameRack, SameDataCentre}).Draw(t, "adjacency"),
	}
}

var testAccounts = []string{"a", "b", "c"}

// drawGuarantees draws guarantees that pack.
func drawGuarantees(t *rapid.T, workers []Worker) []Guarantee {
	var guarantees []Guarantee
	for range rapid.IntRange(0, 5).Draw(t, "guarantees") {
		g := Guarantee{
			Account: rapid.SampledFrom(testAccounts).Draw(t, "holder"), Shape: drawShape(t, 1),
			Count: rapid.IntRange(1, 3).Draw(t, "count"), Spare: rapid.IntRange(0, 4).Draw(t, "spare") == 0,
		}
		if _, err := PackGuarantees(workers, append(slices.Clone(guarantees), g)); err == nil {
			guarantees = append(guarantees, g)
		}
	}
	return guarantees
}

func drawJob(t *rapid.T, id string) Job {
	job := Job{
		ID: id, Account: rapid.SampledFrom(testAccounts).Draw(t, "account"),
		Team: rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "team"), Class: Class(rapid.IntRange(0, 2).Draw(t, "class")),
		Shape: drawShape(t, 0), ExpectedMillis: rapid.Int64Range(1000, 4*3_600_000).Draw(t, "expected"),
		Cores: rapid.SampledFrom([]int{0, 1, 2, 4, 12}).Draw(t, "cores"), MemoryMiB: rapid.SampledFrom([]int{0, 1024, 8192}).Draw(t, "memory"),
	}
	return job
}

// machine is one random history.
type machine struct {
	*world
	workers    []Worker
	guarantees []Guarantee
	submitted  int
	// reportsFailures machines tell which worker failed before they end a run, however it ends.
	reportsFailures bool
}

func newMachine(t *rapid.T) *machine {
	config := rapid.SampledFrom([]Config{LoungeConfig(), GalleryConfig()}).Draw(t, "config")
	m := &machine{world: newWorld(config), workers: drawWorkers(t)}
	m.guarantees = drawGuarantees(t, m.workers)
	for _, w := range m.workers {
		m.s.AddWorker(w)
	}
	m.reportsFailures = rapid.Bool().Draw(t, "reports failures")
	m.slowStarts = rapid.Bool().Draw(t, "slow starts")
	m.quotas["b/x"] = rapid.IntRange(1, 24).Draw(t, "quota")
	m.configure()
	return m
}

func (m *machine) configure() {
	m.s.Configure([]Account{{Name: "a", Weight: 3}, {Name: "b", Weight: 1, Priority: 5}, {Name: "c", Weight: 1}},
		[]Team{{Account: "b", Name: "x", Quota: m.quotas["b/x"]}}, m.guarantees)
}

func (m *machine) step(t *rapid.T) {
	m.now += rapid.Int64Range(0, 1_800_000).Draw(t, "elapsed")
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0, 1, 2, 3:
		m.submitted++
		m.submit(drawJob(t, fmt.Sprintf("j%03d", m.submitted)))
	case 4, 5:
		if id := m.drawRunning(t); id != "" && m.starting[id] {
			if rapid.IntRange(0, 2).Draw(t, "start") == 0 {
				m.refuse(id)
			} else {
				m.confirm(id)
			}
		} else if id != "" {
			if m.reportsFailures {
				m.s.StartFailed(id, m.running[id][0].Worker, m.now)
			}
			m.end(id, rapid.SampledFrom([]EndResult{Finished, Finished, Failed, LostEnd}).Draw(t, "result"))
		}
	case 6:
		if id := m.drawRunning(t); id != "" && !m.starting[id] {
			m.s.Checkpointed(id, m.s.progress(id)+rapid.IntRange(0, 200_000).Draw(t, "progress"), m.now)
		}
	case 7:
		if ids := sortedKeys(m.jobs); len(ids) > 0 {
			m.end(rapid.SampledFrom(ids).Draw(t, "cancelled"), Cancelled)
		}
	case 8:
		m.finishStops()
	case 9:
		worker := rapid.SampledFrom(m.workers).Draw(t, "worker").Name
		m.mark(worker, rapid.SampledFrom([]Condition{Healthy, Healthy, Quarantined, Draining, Lost}).Draw(t, "condition"))
	}
	if rapid.IntRange(0, 19).Draw(t, "sheet") == 0 {
		m.guarantees = drawGuarantees(t, m.workers)
		m.configure()
	}
	m.decide()
}

func (m *machine) drawRunning(t *rapid.T) string {
	ids := sortedKeys(m.running)
	if len(ids) == 0 {
		return ""
	}
	return rapid.SampledFrom(ids).Draw(t, "run")
}

func describe(d Decision) string {
	switch {
	case d.Start != nil:
		return fmt.Sprintf("start %+v", *d.Start)
	case d.Stop != nil:
		return fmt.Sprintf("stop %+v", *d.Stop)
	case d.Verdict != nil:
		return fmt.Sprintf("verdict %+v", *d.Verdict)
	case d.Probe != nil:
		return fmt.Sprintf("probe %+v", *d.Probe)
	default:
		return fmt.Sprintf("at fault %+v", *d.AtFault)
	}
}

func (m *machine) failOn(t *rapid.T) {
	t.Helper()
	if len(m.faults) > 0 {
		t.Fatalf("%s", m.faults[0])
	}
}

// TestHistories checks after every step that gangs are whole, cells do not overlap, quotas hold, guaranteed cells
// stay packed, protected gangs are not stopped and every waiting job has a reason.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step(t)
			m.failOn(t)
		}
	})
}

// TestReclaimAlwaysSucceeds lets a random history run, makes all workers healthy, ends what the account has, and
// asks for everything that the account is guaranteed: all of it starts after one round of stops.
func TestReclaimAlwaysSucceeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			m.step(t)
		}
		for _, w := range m.workers {
			m.mark(w.Name, Healthy)
		}
		account := rapid.SampledFrom(testAccounts).Draw(t, "claimant")
		for _, id := range sortedKeys(m.jobs) {
			if m.jobs[id].Account == account {
				m.end(id, Cancelled)
			}
		}
		if risks := m.s.GuaranteesAtRisk(); len(risks) == 0 {
			m.reclaim(t, account)
		}
		m.failOn(t)
	})
}

func (m *machine) reclaim(t *rapid.T, account string) {
	var claims []string
	m.decide()
	m.confirmAll()
	if len(m.s.GuaranteesAtRisk()) > 0 {
		t.Fatalf("guarantees at risk with all workers healthy: %+v", m.s.GuaranteesAtRisk())
	}
	for i, g := range m.guarantees {
		for c := 0; c < g.Count && g.Account == account; c++ {
			id := fmt.Sprintf("claim-%d-%d", i, c)
			claims = append(claims, id)
			m.submit(Job{ID: id, Account: account, Class: Class(c % 3), Shape: g.Shape, ExpectedMillis: 3_600_000})
		}
	}
	m.decide()
	m.confirmAll()
	m.decide()
	m.finishStops()
	m.decide()
	for _, id := range claims {
		if m.running[id] == nil {
			t.Fatalf("claim %s %v was not started: %s", id, m.jobs[id].Shape, m.s.Explain(id))
		}
	}
}
