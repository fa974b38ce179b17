package trial

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelgauge/dotterelgauge/api/client"
)

const (
	// watchInterval is the time between two looks at an instance.
	watchInterval = 200 * time.Millisecond
	// InForceBound is how soon an accepted revision is in force at every instance that answers.
	InForceBound = 5 * time.Second
)

// sighting is the revision that an instance reported.
type sighting struct {
	address  string
	revision uint64
	at       time.Time
}

// acceptance is a revision that an operator was told was accepted.
type acceptance struct {
	revision uint64
	operator string
	at       time.Time
}

// ConfigWatch follows the configuration at every instance. It is safe for concurrent use.
type ConfigWatch struct {
	mu          sync.Mutex
	sightings   []sighting
	acceptances []acceptance
}

// Watch looks at the instance at the operators' address until ctx ends.
func (w *ConfigWatch) Watch(ctx context.Context, address, token string) {
	operators := client.New(address, token)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		callContext, cancel := context.WithTimeout(ctx, time.Second)
		status, err := operators.Status(callContext)
		cancel()
		if err == nil && status.Ready {
			w.mu.Lock()
			w.sightings = append(w.sightings, sighting{address: address, revision: status.Revision, at: time.Now()})
			w.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Accepted notes that the operator was told that the revision was accepted.
func (w *ConfigWatch) Accepted(revision uint64, operator string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acceptances = append(w.acceptances, acceptance{revision: revision, operator: operator, at: time.Now()})
}

// Check checks that no revision was accepted twice and that no ready instance went back.
func (w *ConfigWatch) Check() []*Invariant {
	w.mu.Lock()
	defer w.mu.Unlock()
	once := &Invariant{Name: "one of two racing operators is accepted"}
	operators := make(map[uint64]string)
	for _, accepted := range w.acceptances {
		other, taken := operators[accepted.revision]
		once.Check(!taken, "revision %d was accepted from %s and from %s", accepted.revision, other, accepted.operator)
		operators[accepted.revision] = accepted.operator
	}
	back := &Invariant{Name: "an accepted configuration never reverts"}
	newest := make(map[string]uint64)
	for _, seen := range w.sightings {
		back.Check(seen.revision >= newest[seen.address], "%s reported revision %d after %d", seen.address, seen.revision, newest[seen.address])
		newest[seen.address] = max(newest[seen.address], seen.revision)
	}
	return []*Invariant{once, back}
}

// CheckInForce checks that every ready instance reports an accepted revision after the bound. excused says whether
// the log or the instance at the address was faulty at some moment between the two, when the bound does not hold.
func (w *ConfigWatch) CheckInForce(excused func(address string, from, to time.Time) bool) *Invariant {
	w.mu.Lock()
	defer w.mu.Unlock()
	invariant := &Invariant{Name: "an accepted configuration is in force everywhere within 5 s"}
	for _, accepted := range w.acceptances {
		due := accepted.at.Add(InForceBound)
		for _, seen := range w.sightings {
			if seen.at.Before(due) || excused(seen.address, seen.at.Add(-InForceBound), seen.at) {
				continue
			}
			invariant.Check(seen.revision >= accepted.revision, "%s reported revision %d at %s, %s after revision %d was accepted",
				seen.address, seen.revision, seen.at.Format(time.TimeOnly), seen.at.Sub(accepted.at), accepted.revision)
		}
	}
	return invariant
}
