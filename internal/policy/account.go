package policy

import (
	"cmp"
	"slices"

	"github.com/google/btree"
)

// treeDegree is the degree of the ordered sets.
const treeDegree = 8

// accountState is a client account with its queue, its guaranteed cells and what it borrows.
type accountState struct {
	Account
	// waiting is the queue, in the order of lessWaiting.
	waiting *btree.BTreeG[*run]
	// guarantees of the account, the smallest shape first.
	guarantees []*guaranteeState
	// borrowers are the runs outside the guarantee, in order of their sequence.
	borrowers *btree.BTreeG[*run]
	// shapes counts the account's gangs with accelerators by shape, the largest first.
	shapes []shapeCount
	// borrowed is the number of accelerators of the borrowers.
	borrowed int
	// roomier is set when protected room became free.
	roomier  bool
	declared accuracy
	// pass is the account's part of the pass at hand.
	pass []*run
}

// shapeCount is the number of gangs of a shape that hold accelerators.
type shapeCount struct {
	shape Shape
	count int
}

// countShape adds to the number of gangs of the shape.
func (a *accountState) countShape(shape Shape, change int) {
	if shape.Accelerators == 0 {
		return
	}
	at, found := slices.BinarySearchFunc(a.shapes, shape, func(c shapeCount, s Shape) int { return compareShapes(c.shape, s) })
	if !found {
		a.shapes = slices.Insert(a.shapes, at, shapeCount{shape: shape})
	}
	a.shapes[at].count += change
	if a.shapes[at].count == 0 {
		a.shapes = slices.Delete(a.shapes, at, at+1)
	}
}

// compareShapes puts larger shapes first.
func compareShapes(a, b Shape) int {
	return cmp.Or(
		cmp.Compare(b.Total(), a.Total()),
		cmp.Compare(b.Members, a.Members),
		cmp.Compare(a.Adjacency, b.Adjacency),
	)
}

// entitled reports whether a guaranteed shape that holds the shape is left when every gang of the account is counted
// against the smallest one that holds it, the largest gangs first.
func (a *accountState) entitled(shape Shape) bool {
	for _, g := range a.guarantees {
		g.left = g.Count
	}
	for _, c := range a.shapes {
		for count := c.count; count > 0; {
			g := a.smallestLeft(c.shape)
			if g == nil {
				break
			}
			used := min(count, g.left)
			g.left -= used
			count -= used
		}
	}
	return a.smallestLeft(shape) != nil
}

func (a *accountState) smallestLeft(shape Shape) *guaranteeState {
	for _, g := range a.guarantees {
		if g.left > 0 && g.Shape.holds(shape) {
			return g
		}
	}
	return nil
}

// teamState is a team with the accelerators that its gangs hold.
type teamState struct {
	Team
	held int
}

// guaranteeState is a guarantee with its unused shapes.
type guaranteeState struct {
	Guarantee
	// idle holds the entitlements that no gang uses any part of, used the others.
	idle *btree.BTreeG[*entitlement]
	used *btree.BTreeG[*entitlement]
	// left is what entitled has not counted yet.
	left int
}

func newAccount(name string) *accountState {
	a := &accountState{Account: Account{Name: name, Weight: 1}}
	a.waiting = btree.NewG(treeDegree, lessWaiting)
	a.borrowers = btree.NewG(treeDegree, func(x, y *run) bool { return x.sequence < y.sequence })
	return a
}

// accountOf returns the state of the account, which is made when the sheet does not have it.
func (s *Scheduler) accountOf(name string) *accountState {
	if a := s.accounts[name]; a != nil {
		return a
	}
	a := newAccount(name)
	s.accounts[name] = a
	at, _ := slices.BinarySearchFunc(s.accountList, name, func(a *accountState, n string) int { return cmp.Compare(a.Name, n) })
	s.accountList = slices.Insert(s.accountList, at, a)
	return a
}

type teamName struct {
	account string
	team    string
}

// teamOf returns the state of the team, nil for jobs without one.
func (s *Scheduler) teamOf(account, team string) *teamState {
	if team == "" {
		return nil
	}
	name := teamName{account: account, team: team}
	t := s.teams[name]
	if t == nil {
		t = &teamState{Team: Team{Account: account, Name: team}}
		s.teams[name] = t
	}
	return t
}

// withinQuota reports whether the team may hold the job's accelerators too.
func (r *run) withinQuota() bool {
	return r.team == nil || r.team.Quota == 0 || r.team.held+r.total() <= r.team.Quota
}

// configureAccounts takes over names, weights and quotas; accounts that left the sheet keep their jobs.
func (s *Scheduler) configureAccounts(accounts []Account, teams []Team) {
	for _, a := range s.accountList {
		a.Account = Account{Name: a.Name, Weight: 1}
	}
	for _, a := range accounts {
		a.Weight = max(a.Weight, 1)
		s.accountOf(a.Name).Account = a
	}
	for _, t := range s.teams {
		t.Quota = 0
	}
	for _, t := range teams {
		if team := s.teamOf(t.Account, t.Name); team != nil {
			team.Quota = t.Quota
		}
	}
}
