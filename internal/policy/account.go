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
	// units holds the account's cells by the class of their largest unprotected part.
	units [sizeClasses]*btree.BTreeG[unitKey]
	// guarantees of the account, the smallest shape first.
	guarantees []*guaranteeState
	// borrowers are the runs outside the guarantee, in order of their sequence.
	borrowers *btree.BTreeG[*run]
	// borrowed is the number of accelerators of the borrowers.
	borrowed int
	// roomier is set when protected room became free.
	roomier  bool
	declared accuracy
	// pass is the account's part of the pass at hand.
	pass []*run
}

// teamState is a team with the accelerators that its gangs hold.
type teamState struct {
	Team
	held int
}

// guaranteeState is a guarantee with its unused shapes.
type guaranteeState struct {
	Guarantee
	// idle holds the numbers of the shapes that no gang uses any part of.
	idle *btree.BTreeG[*slot]
}

func newAccount(name string) *accountState {
	a := &accountState{Account: Account{Name: name, Weight: 1}}
	a.waiting = btree.NewG(treeDegree, lessWaiting)
	a.borrowers = btree.NewG(treeDegree, func(x, y *run) bool { return x.sequence < y.sequence })
	for class := range a.units {
		a.units[class] = btree.NewG(treeDegree, lessUnit)
	}
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
