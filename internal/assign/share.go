package assign

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// shortageDelay is how long a shortage lasts before shares count: a burst of jobs that finds room within it needs none.
	shortageDelay = time.Second
	// balanceTime is the time in which an account gets back what it is owed, or gives back what it owes. It is about twice as long as
	// a batch task: a shorter one would make the accounts take turns.
	balanceTime = 10 * time.Second
	// maxBalanceTime limits a balance, as a multiple of the account's share. Jobs that waited for longer are mostly of no use any more.
	maxBalanceTime = 60 * time.Second
	// balanceDecay is the time constant with which balances are forgotten after a shortage.
	balanceDecay = 30 * time.Second
	// minBalance is the balance, in core-seconds, below which it is forgotten.
	minBalance = 0.1
)

// ShareKey identifies what an account uses of a service's workers with its jobs of one priority.
type ShareKey struct {
	Service  string
	Priority uint32
	Account  string
}

// Shares is the input for the shares of accounts. The zero value has no effect on a plan. Amounts are in cores; see
// Resources.CoreEquivalent.
type Shares struct {
	// InUse is what the accounts' runs use, except those that have a claim. The snapshot's creator sets it, and the plan adds what it
	// starts. UseTracker sets the others.
	InUse map[ShareKey]float64
	// Balances are what the accounts have used less than their shares in this shortage, in core-seconds; negative if they have used more.
	Balances map[ShareKey]float64
	// Due are the accounts' shares. The plan sets them.
	Due map[ShareKey]float64
	// Short has the services whose waiting units have needed more than is free for longer than shortageDelay.
	Short map[string]bool
	// Weights are the weights of the accounts; a missing one counts as 1.
	Weights map[string]float64
}

// AddUse adds what a run of members tasks of a unit's step uses.
func (s *Shares) AddUse(unit *Unit, members int) {
	if unit.Claimed || members == 0 {
		return
	}
	if s.InUse == nil {
		s.InUse = map[ShareKey]float64{}
	}
	s.InUse[unit.shareKey()] += float64(members) * ResourcesOf(unit.Step).CoreEquivalent()
}

// group returns the key without the account.
func (k ShareKey) group() ShareKey {
	k.Account = ""
	return k
}

func (s *Shares) setDue(key ShareKey, due float64) {
	if s.Due == nil {
		s.Due = map[ShareKey]float64{}
	}
	s.Due[key] = due
}

// weight returns the weight of an account.
func (s *Shares) weight(account string) float64 {
	if weight := s.Weights[account]; weight > 0 {
		return weight
	}
	return 1
}

func (u *Unit) shareKey() ShareKey {
	return ShareKey{Service: u.Service, Priority: u.Priority, Account: u.Account}
}

// cores returns the cores that the unit takes.
func (u *Unit) cores() float64 { return float64(u.Members()) * ResourcesOf(u.Step).CoreEquivalent() }

// OwnWork returns the expected work of the unit itself, in core-seconds.
func (u *Unit) OwnWork() float64 { return u.cores() * u.expected().Seconds() }

// UseTracker follows what accounts use in a shortage, and how long shortages last. The zero value has observed nothing.
type UseTracker struct {
	observedAt time.Time
	// latest are the shares of the last observation.
	latest   Shares
	balances map[ShareKey]float64
	// shortSince is since when the waiting units of a service need more than is free.
	shortSince map[string]time.Time
}

// Observe takes the state of a snapshot into account, completes the snapshot's shares, and expects a plan for it before the next call.
func (t *UseTracker) Observe(snapshot *Snapshot) {
	if t.balances == nil {
		t.balances, t.shortSince = map[ShareKey]float64{}, map[string]time.Time{}
	}
	if !t.observedAt.IsZero() {
		t.updateBalances(snapshot.Now.Sub(t.observedAt))
	}
	short := shortServices(snapshot)
	for service := range t.shortSince {
		if !short[service] {
			delete(t.shortSince, service)
		}
	}
	shares := &snapshot.Shares
	shares.Balances, shares.Due, shares.Short = t.balances, map[ShareKey]float64{}, map[string]bool{}
	for service := range short {
		if _, known := t.shortSince[service]; !known {
			t.shortSince[service] = snapshot.Now
		}
		shares.Short[service] = snapshot.Now.Sub(t.shortSince[service]) >= shortageDelay
	}
	t.observedAt, t.latest = snapshot.Now, *shares
}

// updateBalances adds to the balances what the accounts were due in the given time of what all of them used, and subtracts what they
// used themselves.
func (t *UseTracker) updateBalances(span time.Duration) {
	due, used := map[ShareKey]float64{}, map[ShareKey]float64{}
	for key, amount := range t.latest.Due {
		due[key.group()] += amount
		used[key.group()] += t.latest.InUse[key]
	}
	for key, amount := range t.latest.Due {
		if amount > 0 {
			limit := amount * maxBalanceTime.Seconds()
			owed := amount/due[key.group()]*used[key.group()] - t.latest.InUse[key]
			t.balances[key] = max(-limit, min(limit, t.balances[key]+owed*span.Seconds()))
		}
	}
	for key := range t.balances {
		if !t.latest.Short[key.Service] {
			t.balances[key] *= math.Exp(-float64(span) / float64(balanceDecay))
		}
		if math.Abs(t.balances[key]) < minBalance {
			delete(t.balances, key)
		}
	}
}

// shortServices returns the services whose waiting units need more of some resource than is free, leaving out units that the service
// couldn't hold if it were empty.
func shortServices(snapshot *Snapshot) map[string]bool {
	free, capacity := map[string]Resources{}, map[string]Resources{}
	for i := range snapshot.Workers {
		if worker := &snapshot.Workers[i]; worker.Usable {
			free[worker.Service] = free[worker.Service].Add(freeAfterStops(worker).nonNegative())
			capacity[worker.Service] = capacity[worker.Service].Add(worker.Capacity)
		}
	}
	needed := map[string]Resources{}
	for i := range snapshot.Waiting {
		unit := &snapshot.Waiting[i]
		if need := unit.total(); capacity[unit.Service].Contains(need) {
			needed[unit.Service] = needed[unit.Service].Add(need)
		}
	}
	short := map[string]bool{}
	for service, need := range needed {
		if !free[service].Contains(need) {
			short[service] = true
		}
	}
	return short
}

// total returns the resources that all members of the unit take.
func (u *Unit) total() Resources {
	need, members := ResourcesOf(u.Step), u.Members()
	return Resources{CPU: need.CPU * members, Memory: need.Memory * members, Accelerators: need.Accelerators * members}
}

// shareGroup is the accounts that compete for what a service gives to one priority.
type shareGroup struct {
	// units are those that wait and may still earn something.
	units    []*Unit
	accounts map[string]*shareAccount
}

// shareAccount is what an account of a group uses and what it is due, in cores.
type shareAccount struct {
	weight float64
	// inUse is what its runs use now.
	inUse float64
	// demand is inUse and what its waiting units need.
	demand float64
	// due is the account's share, and target what it gets of it now that makes up for its balance.
	due, target float64
	// planned is what its units that count as within the share need.
	planned float64
}

// applyShares changes the order of units without a claim in services with a shortage: within one priority, units that their
// account's share has room for come before the others, and both keep their order. A unit never gets ahead of one of a higher priority
// that was ahead of it. It also sets RunningUnit.OverShare.
func applyShares(snapshot *Snapshot, units []*Unit) []*Unit {
	groups := shareGroups(snapshot, units)
	if len(groups) == 0 {
		return units
	}
	within := map[*Unit]bool{}
	for key, group := range groups {
		group.computeDue(freeFor(snapshot, key, group))
		for name, account := range group.accounts {
			key.Account = name
			snapshot.Shares.setDue(key, account.due)
			account.target = account.due + snapshot.Shares.Balances[key]/balanceTime.Seconds()
		}
		for _, unit := range group.units {
			if account := group.accounts[unit.Account]; account.inUse+account.planned < account.target {
				within[unit] = true
				account.planned += unit.cores()
			}
		}
	}
	for i := range snapshot.Running {
		run := &snapshot.Running[i]
		key := ShareKey{Service: run.Service, Priority: run.Priority}
		if group, known := groups[key]; known && !run.Claimed {
			account, competes := group.accounts[run.Account]
			run.OverShare = competes && account.inUse > account.due
		}
	}
	return mergePriorities(units, within)
}

// shareGroups returns the accounts that use or wait for something, by service and priority, for the services with a shortage.
func shareGroups(snapshot *Snapshot, units []*Unit) map[ShareKey]*shareGroup {
	groups := map[ShareKey]*shareGroup{}
	account := func(key ShareKey) (*shareGroup, *shareAccount) {
		name := key.Account
		key = key.group()
		if groups[key] == nil {
			groups[key] = &shareGroup{accounts: map[string]*shareAccount{}}
		}
		group := groups[key]
		if group.accounts[name] == nil {
			group.accounts[name] = &shareAccount{weight: snapshot.Shares.weight(name)}
		}
		return group, group.accounts[name]
	}
	for _, unit := range units {
		// A job that can't earn anything any more must not take the place of one that can.
		if snapshot.Shares.Short[unit.Service] && !unit.Claimed && creditShare(unit, snapshot.Now) > missedCreditShare {
			group, waiting := account(unit.shareKey())
			group.units = append(group.units, unit)
			waiting.demand += unit.cores()
		}
	}
	for key, used := range snapshot.Shares.InUse {
		if snapshot.Shares.Short[key.Service] {
			_, user := account(key)
			user.inUse, user.demand = used, user.demand+used
		}
	}
	return groups
}

// freeFor returns how many of the cores that a group waits for fit into the free resources, as far as their sums show.
func freeFor(snapshot *Snapshot, key ShareKey, group *shareGroup) float64 {
	var free, need Resources
	for i := range snapshot.Workers {
		worker := &snapshot.Workers[i]
		if worker.Service == key.Service && worker.Usable && (!worker.urgentOnly || key.Priority == 0) {
			free = free.Add(freeNow(worker).nonNegative())
		}
	}
	cores := 0.0
	for _, unit := range group.units {
		need, cores = need.Add(unit.total()), cores+unit.cores()
	}
	share := 1.0
	for _, part := range [][2]int{{free.CPU, need.CPU}, {free.Memory, need.Memory}, {free.Accelerators, need.Accelerators}} {
		if part[1] > 0 {
			share = min(share, float64(part[0])/float64(part[1]))
		}
	}
	return share * cores
}

// computeDue divides what the group's accounts use now, and what is free for them, by their weights: an account gets no more than it
// needs, and the others get the rest.
func (g *shareGroup) computeDue(free float64) {
	left, weights := free, 0.0
	accounts := make([]*shareAccount, 0, len(g.accounts))
	for _, name := range slices.Sorted(maps.Keys(g.accounts)) {
		account := g.accounts[name]
		left += account.inUse
		weights += account.weight
		accounts = append(accounts, account)
	}
	slices.SortStableFunc(accounts, func(a, b *shareAccount) int { return cmp.Compare(a.demand/a.weight, b.demand/b.weight) })
	for _, account := range accounts {
		account.due = min(account.demand, left*account.weight/weights)
		left -= account.due
		weights -= account.weight
	}
}

// mergePriorities returns the units in a new order: those of each priority that are in within come first. Each unit stays behind those
// of higher priorities that were ahead of it, and of one priority also behind those that come before it in the new order.
func mergePriorities(units []*Unit, within map[*Unit]bool) []*Unit {
	byPriority := map[uint32][]*Unit{}
	var priorities []uint32
	positions := make(map[*Unit]int, len(units))
	for i, unit := range units {
		positions[unit] = i
		if byPriority[unit.Priority] == nil {
			priorities = append(priorities, unit.Priority)
		}
		byPriority[unit.Priority] = append(byPriority[unit.Priority], unit)
	}
	slices.Sort(priorities)
	var merged []*Unit
	for _, priority := range priorities {
		level := byPriority[priority]
		class := func(unit *Unit) int {
			switch {
			case unit.Claimed:
				return 0
			case within[unit]:
				return 1
			}
			return 2
		}
		slices.SortStableFunc(level, func(a, b *Unit) int { return cmp.Compare(class(a), class(b)) })
		merged = mergeLevel(merged, level, positions)
	}
	return merged
}

// mergeLevel inserts the units of the next priority into those of the higher ones: each behind the last of these that was ahead of it.
// Both lists keep their order; positions has the units' former positions.
func mergeLevel(higher, level []*Unit, positions map[*Unit]int) []*Unit {
	// lastAhead has, for the higher units in their former order, the new index of the last one up to each.
	former := slices.SortedFunc(slices.Values(higher), func(a, b *Unit) int { return cmp.Compare(positions[a], positions[b]) })
	newIndex := make(map[*Unit]int, len(higher))
	for i, unit := range higher {
		newIndex[unit] = i
	}
	lastAhead := make([]int, len(former))
	for i, unit := range former {
		lastAhead[i] = newIndex[unit]
		if i > 0 {
			lastAhead[i] = max(lastAhead[i], lastAhead[i-1])
		}
	}
	merged := make([]*Unit, 0, len(higher)+len(level))
	next := 0
	for _, unit := range level {
		ahead, _ := slices.BinarySearchFunc(former, positions[unit], func(other *Unit, position int) int {
			return cmp.Compare(positions[other], position)
		})
		for ahead > 0 && next <= lastAhead[ahead-1] {
			merged = append(merged, higher[next])
			next++
		}
		merged = append(merged, unit)
	}
	return append(merged, higher[next:]...)
}
