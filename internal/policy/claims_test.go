package policy

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// unmetClaims returns the waiting jobs that an account's guaranteed shapes still hold when each running gang is
// counted against the smallest shape that holds it, the largest gangs first. Jobs over their worker's share of cores
// and memory, over quota, or barred from workers are left out, and unless inProgress those whose victims are leaving.
func (m *machine) unmetClaims(inProgress bool) []string {
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
				if inProgress || r.state != claiming {
					unmet = append(unmet, fmt.Sprintf("%s %v: %s", id, job.Shape, m.s.Explain(id)))
				}
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

// TestClaimsAreMet lets a random history run and finds no waiting job, but for those whose victims are leaving, for
// which its account has a guaranteed shape left; in the end there is none at all.
func TestClaimsAreMet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step(t)
		}
		m.meetClaims(t)
	})
}

// claimRounds bounds how often gangs are stopped one after the other until all claims are met.
const claimRounds = 8

// meetClaims stops what is asked to stop, round by round. In every round a claim is met or has told its victims to
// leave, and in the end all are met.
func (m *machine) meetClaims(t *rapid.T) {
	for range claimRounds {
		m.finishStops()
		m.decide()
		m.failOn(t)
		if len(m.s.GuaranteesAtRisk()) > 0 {
			return
		}
		if idle := m.unmetClaims(false); len(idle) > 0 {
			t.Fatalf("claims that wait for nobody to leave: %v", idle)
		}
		if len(m.unmetClaims(true)) == 0 {
			return
		}
	}
	t.Fatalf("unmet claims: %v", m.unmetClaims(true))
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
			var spare bool
			without := 0
			for _, g := range m.guarantees {
				if g.Account == risk.Account && g.Shape == risk.Shape {
					spare = spare || g.Spare
					if !g.Spare {
						without += g.Count
					}
				}
			}
			if spare && risk.Missing > without {
				t.Fatalf("%d of %v of %s are missing although they have a spare", risk.Missing, risk.Shape, risk.Account)
			}
		}
	})
}

// TestNewOwnerGoesOn hands a random history over to a new scheduler, which goes on without overlaps and meets all
// claims.
func TestNewOwnerGoesOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			m.step(t)
		}
		old := m.s
		m.s = New(old.config)
		m.stopping = map[string]Stop{}
		for _, state := range old.workers {
			m.s.AddWorker(state.Worker)
			m.s.MarkWorker(state.Name, state.condition)
		}
		m.configure()
		for _, id := range sortedKeys(m.jobs) {
			if members := m.running[id]; members != nil {
				m.s.Restore(m.jobs[id], members, m.now)
			} else {
				m.s.Submit(m.jobs[id])
			}
		}
		m.decide()
		m.meetClaims(t)
	})
}
