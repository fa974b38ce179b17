package policy

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// unmetClaims returns the waiting jobs that an account's guaranteed shapes still hold when each running gang is
// counted against the smallest shape that holds it, the largest gangs first. Jobs over their worker's share of cores
// and memory, over quota, or barred from workers are left out.
func (m *machine) unmetClaims() []string {
	var unmet []string
	for _, account := range testAccounts {
		left := map[int]int{}
		for i, g := range m.guarantees {
			left[i] = g.Count
		}
		for _, id := range m.bySize(account, true) {
			m.use(account, m.jobs[id], left)
		}
		for _, id := range m.bySize(account, false) {
			job, r := m.jobs[id], m.s.runs[id]
			within := job.Cores <= 2*job.Shape.Accelerators && job.MemoryMiB <= 8192*job.Shape.Accelerators
			if within && r.withinQuota() && len(r.FailedWorkers) == 0 && m.use(account, job, left) {
				unmet = append(unmet, fmt.Sprintf("%s %v: %s", id, job.Shape, m.s.Explain(id)))
			}
		}
	}
	return unmet
}

func (m *machine) bySize(account string, running bool) []string {
	var ids []string
	for _, id := range sortedKeys(m.jobs) {
		if m.jobs[id].Account == account && (m.running[id] != nil) == running {
			ids = append(ids, id)
		}
	}
	slices.SortStableFunc(ids, func(a, b string) int { return m.jobs[b].Shape.Total() - m.jobs[a].Shape.Total() })
	return ids
}

func (m *machine) use(account string, job Job, left map[int]int) bool {
	best := -1
	for i, g := range m.guarantees {
		shape := g.Shape
		near := job.Shape.Members == 1 || job.Shape.Adjacency >= shape.Adjacency
		fits := job.Shape.Accelerators > 0 && job.Shape.Members <= shape.Members && job.Shape.Accelerators <= shape.Accelerators
		if g.Account == account && left[i] > 0 && near && fits && (best < 0 || shape.Total() < m.guarantees[best].Shape.Total()) {
			best = i
		}
	}
	if best >= 0 {
		left[best]--
	}
	return best >= 0
}

// TestClaimsAreMet lets a random history run, stops what was asked to stop, once, and finds no waiting job for which
// its account has a guaranteed shape left.
func TestClaimsAreMet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step(t)
		}
		m.finishStops()
		m.decide()
		m.finishStops()
		m.decide()
		m.finishStops()
		m.decide()
		if len(m.s.GuaranteesAtRisk()) > 0 {
			return
		}
		if unmet := m.unmetClaims(); len(unmet) > 0 {
			t.Fatalf("unmet claims: %v", unmet)
		}
	})
}

// TestSpareCoversAnyWorker packs guarantees with spares, loses any one worker, and finds all of them still packed.
func TestSpareCoversAnyWorker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			m.step(t)
		}
		for _, w := range m.workers {
			m.mark(w.Name, Healthy)
		}
		m.decide()
		m.mark(rapid.SampledFrom(m.workers).Draw(t, "lost").Name, Lost)
		m.decide()
		for _, risk := range m.s.GuaranteesAtRisk() {
			spare := slices.ContainsFunc(m.guarantees, func(g Guarantee) bool {
				return g.Spare && g.Account == risk.Account && g.Shape == risk.Shape
			})
			if spare && risk.Missing > 0 {
				t.Fatalf("%d of %v of %s are missing although they have a spare", risk.Missing, risk.Shape, risk.Account)
			}
		}
	})
}
