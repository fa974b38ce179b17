package assign

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lateCredit and lostCredit are the shares of a job's credit after its objective and after the end of the late
	// time. A lost job is still owed, so it isn't worth nothing.
	lateCredit = 0.3
	lostCredit = 0.02
	// leastWork bounds the work in a density, core-seconds.
	leastWork = 1.0
)

// rank orders the waiting units: claims by age, the others by what they earn for each core-second.
func rank(snapshot *Snapshot) []*Unit {
	units := make([]*Unit, len(snapshot.Waiting))
	for i := range snapshot.Waiting {
		units[i] = &snapshot.Waiting[i]
		units[i].density = Density(units[i], snapshot.Now)
	}
	slices.SortStableFunc(units, before)
	return units
}

// before orders units by who is served first.
func before(a, b *Unit) int {
	if a.Claimed != b.Claimed {
		if a.Claimed {
			return -1
		}
		return 1
	}
	if !a.Claimed {
		if order := cmp.Compare(b.density, a.density); order != 0 {
			return order
		}
	}
	return cmp.Or(a.Due.Compare(b.Due), cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
}

// Density is what a unit's job earns for each core-second if it starts now.
func Density(unit *Unit, now time.Time) float64 {
	return unit.Credit * share(unit, now) / max(unit.Work, leastWork)
}

// share is the part of the credit that is earned if the unit starts now.
func share(unit *Unit, now time.Time) float64 {
	switch end := now.Add(unit.Remaining); {
	case !end.After(unit.Objective):
		return 1
	case !end.After(unit.LateUntil):
		return lateCredit
	default:
		return lostCredit
	}
}
