package assign

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lateCreditShare is the part of its credit that a job earns between its objective and Unit.LateUntil, and
	// missedCreditShare the part after that. The latter isn't 0 because the job must still be run.
	lateCreditShare   = 0.3
	missedCreditShare = 0.02
	// minWork is the minimum work that a density is computed with, in core-seconds.
	minWork = 1.0
)

// rank returns the waiting units in the order in which they are served: first those with a claim, the oldest first, then the
// others by decreasing density; those of a job that have waited for longest first. In a shortage, shares change that order; see
// applyShares. It sets their density and ahead.
func rank(snapshot *Snapshot) []*Unit {
	units := make([]*Unit, len(snapshot.Waiting))
	for i := range snapshot.Waiting {
		units[i] = &snapshot.Waiting[i]
		units[i].density = Density(units[i], snapshot.Now)
	}
	slices.SortStableFunc(units, compareUnits)
	units = applyShares(snapshot, units)
	for i, unit := range units {
		unit.ahead = i
	}
	return units
}

// compareUnits compares two units by the order of rank.
func compareUnits(a, b *Unit) int {
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
	return cmp.Or(a.Due.Compare(b.Due), cmp.Compare(a.Task.Job, b.Task.Job), a.WaitingSince.Compare(b.WaitingSince),
		cmp.Compare(a.Task.Index, b.Task.Index))
}

// Density returns the credit per core-second that the job of a unit earns if the unit starts now.
func Density(unit *Unit, now time.Time) float64 {
	return unit.Credit * creditShare(unit, now) / max(unit.Work, minWork)
}

// creditShare returns the part of its credit, from 0 to 1, that the job of a unit earns if the unit starts now.
func creditShare(unit *Unit, now time.Time) float64 {
	switch end := now.Add(unit.Remaining); {
	case !end.After(unit.Objective):
		return 1
	case !end.After(unit.LateUntil):
		return lateCreditShare
	default:
		return missedCreditShare
	}
}
