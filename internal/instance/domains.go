package instance

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
	"github.com/dotterelgauge/dotterelgauge/internal/membership"
	"github.com/dotterelgauge/dotterelgauge/internal/ownership"
	"github.com/dotterelgauge/dotterelgauge/internal/placing"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
	"github.com/dotterelgauge/dotterelgauge/internal/state"
)

const (
	// takeTimeout bounds one proposal to own a data centre.
	takeTimeout = 10 * time.Second
	// probeTimeout bounds the look whether workers can be reached before a takeover.
	probeTimeout = time.Second
	// probedWorkers is how many workers are looked at.
	probedWorkers = 3
)

// domain is a data centre as this instance sees it.
type domain struct {
	owner state.Owner
	// seen is when this instance saw the owner's record.
	seen time.Time
	// taking is set while a proposal to own it is under way.
	taking bool
	// loop places its gangs while this instance is the owner.
	loop   *placing.Loop
	cancel context.CancelFunc
	ended  chan struct{}
}

// domains owns data centres: it proposes takeovers and runs a placing loop for each one owned.
type domains struct {
	instance *Instance

	mu      sync.Mutex
	ctx     context.Context
	domains map[string]*domain
	closed  bool
}

func newDomains(i *Instance) *domains {
	return &domains{instance: i, domains: make(map[string]*domain)}
}

// start lets loops run until ctx ends.
func (d *domains) start(ctx context.Context) {
	d.mu.Lock()
	d.ctx = ctx
	d.mu.Unlock()
	d.changed()
}

// changed compares the owners in the ledger with the loops that run, and wakes the loops.
func (d *domains) changed() {
	i := d.instance
	var owners []state.Owner
	i.ledger.View(func() { owners = i.state.Owners() })
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx == nil || !i.ledger.Ready() {
		return
	}
	for _, owner := range owners {
		d.follow(owner)
	}
	for _, known := range d.domains {
		if known.loop != nil {
			known.loop.Wake()
		}
	}
}

// follow starts or stops the loop of a data centre as its owner says.
func (d *domains) follow(owner state.Owner) {
	known := d.domain(owner.DataCentre)
	if known.owner == owner {
		return
	}
	known.owner = owner
	known.seen = time.Now()
	if known.loop != nil {
		d.instance.events.Log(events.OwnershipLost, "data_centre", owner.DataCentre, "owner", owner.Instance, "epoch", owner.Epoch)
		known.stop()
	}
	author := d.instance.author
	if owner.Instance == author.Instance && owner.Incarnation == author.Incarnation && !d.closed {
		d.run(known)
	}
}

func (d *domains) domain(name string) *domain {
	known, ok := d.domains[name]
	if !ok {
		known = &domain{}
		d.domains[name] = known
	}
	return known
}

func (k *domain) stop() {
	k.cancel()
	k.loop = nil
}

// run starts the loop of a data centre that this instance owns.
func (d *domains) run(known *domain) {
	i := d.instance
	config, _ := policy.Preset(i.settings.Objective.Preset)
	dataCentre := known.owner.DataCentre
	loop := placing.New(placing.Config{
		DataCentre: dataCentre,
		Epoch:      known.owner.Epoch,
		Actor:      i.author.Instance,
		Term:       time.Duration(i.settings.Leases.TermMs) * time.Millisecond,
		Policy:     policy.New(config),
		View:       placing.NewStateView(i.ledger, i.state),
		Ledger:     i.ledger,
		Fleet:      fleet{members: i.members},
		Workers:    i.workers,
		Observe:    func(event placing.Event) { i.observePlacing(dataCentre, event) },
	})
	ctx, cancel := context.WithCancel(d.ctx)
	ended := make(chan struct{})
	known.loop, known.cancel, known.ended = loop, cancel, ended
	i.events.Log(events.OwnershipTaken, "data_centre", known.owner.DataCentre, "epoch", known.owner.Epoch)
	go func() {
		defer close(ended)
		defer cancel()
		if err := loop.Run(ctx); err != nil && ctx.Err() == nil {
			i.events.Log(events.PlacingFailed, "reason", err)
		}
	}()
}

// round proposes to own the data centres that this instance should take.
func (d *domains) round(view membership.View) {
	i := d.instance
	if !i.ledger.Ready() {
		return
	}
	// The owners may have come with a snapshot, or before the ledger was ready: then no change told of them.
	d.changed()
	self := ownership.Self{
		Author:     i.author,
		DataCentre: i.settings.DataCentre,
		Rounds:     int(i.rounds.Load()),
		Draining:   i.draining.Load(),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range view.DataCentres() {
		known := d.domain(name)
		holding := ownership.Holding{DataCentre: name, Owner: ownerMessage(known.owner), HeldFor: time.Since(known.seen)}
		if known.taking || !ownership.ShouldTake(self, view, holding) {
			continue
		}
		known.taking = true
		go d.take(d.ctx, known, name, known.owner.Epoch+1)
	}
}

func ownerMessage(owner state.Owner) *apiv1.Owner {
	if !owner.Held() {
		return nil
	}
	author := &apiv1.Author{Instance: owner.Instance, Incarnation: owner.Incarnation}
	return &apiv1.Owner{DataCentre: owner.DataCentre, Author: author, Epoch: owner.Epoch}
}

// take proposes to own a data centre whose workers answer.
func (d *domains) take(ctx context.Context, known *domain, name string, epoch uint64) {
	defer func() {
		d.mu.Lock()
		known.taking = false
		d.mu.Unlock()
	}()
	if !d.reachesWorkers(ctx, name) {
		d.instance.events.Log(events.TakeoverRefused, "data_centre", name, "reason", "no worker answers")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	err := d.instance.ledger.Propose(ctx, &apiv1.Record{
		Actor:  d.instance.author.Instance,
		Reason: "the data centre has no owner that answers",
		Body:   &apiv1.Record_OwnerTaken{OwnerTaken: &apiv1.OwnerTaken{DataCentre: name, Epoch: epoch}},
	})
	var rejection *ledger.Rejection
	if errors.As(err, &rejection) {
		d.instance.events.Log(events.TakeoverRefused, "data_centre", name, "reason", rejection.Message)
	}
}

// reachesWorkers reports whether a worker of the data centre answers. An instance that cannot reach the
// workers leaves them to the owner that may.
func (d *domains) reachesWorkers(ctx context.Context, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	workers := fleet{members: d.instance.members}.Workers(name)
	answers := make(chan bool, probedWorkers)
	probed := workers[:min(len(workers), probedWorkers)]
	for _, worker := range probed {
		go func() {
			_, err := d.instance.workers.Worker(worker.Address).Usage(ctx)
			answers <- err == nil
		}()
	}
	for range probed {
		if <-answers {
			return true
		}
	}
	return false
}

// release stops all loops and hands the data centres over.
func (d *domains) release(ctx context.Context) {
	d.mu.Lock()
	d.closed = true
	var owned []state.Owner
	var ended []chan struct{}
	for _, known := range d.domains {
		if known.loop != nil {
			owned = append(owned, known.owner)
			ended = append(ended, known.ended)
			known.stop()
		}
	}
	d.mu.Unlock()
	for _, done := range ended {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
	for _, owner := range owned {
		d.releaseOne(ctx, owner)
	}
}

func (d *domains) releaseOne(ctx context.Context, owner state.Owner) {
	released := &apiv1.OwnerReleased{DataCentre: owner.DataCentre, Epoch: owner.Epoch}
	err := d.instance.ledger.Propose(ctx, &apiv1.Record{
		Actor:  d.instance.author.Instance,
		Reason: "the instance drains",
		Body:   &apiv1.Record_OwnerReleased{OwnerReleased: released},
	})
	if err != nil {
		d.instance.events.Log(events.RecordUnresolved, "data_centre", owner.DataCentre, "reason", err)
		return
	}
	d.instance.events.Log(events.OwnershipReleased, "data_centre", owner.DataCentre)
}

// fleet is the instance list as the placing loops see it.
type fleet struct {
	members *membership.Membership
}

// Workers returns the workers of a data centre that are on the list.
func (f fleet) Workers(dataCentre string) []*apiv1.Worker {
	var workers []*apiv1.Worker
	for _, worker := range f.members.View().Workers {
		if worker.DataCentre == dataCentre {
			workers = append(workers, worker)
		}
	}
	return workers
}

// observePlacing logs what the placing loop of a data centre tells.
func (i *Instance) observePlacing(dataCentre string, event placing.Event) {
	kind := events.JobPlaced
	switch event.Kind {
	case placing.EventGuaranteeAtRisk:
		i.events.Log(events.GuaranteeAtRisk, "data_centre", dataCentre, "account", event.Risk.Account, "shape", event.Risk.Shape,
			"missing", event.Risk.Missing, "spare_missing", event.Risk.SpareMissing)
		return
	case placing.EventGuaranteesSafe:
		i.events.Log(events.GuaranteesSafe, "data_centre", dataCentre)
		return
	case placing.EventRestored, placing.EventStarted:
	case placing.EventEnded:
		kind = events.JobEnded
		if event.Result == apiv1.RunResult_RUN_RESULT_PREEMPTED {
			kind = events.JobPreempted
		}
	case placing.EventWorkerSuspected:
		kind = events.WorkerLost
	case placing.EventStartRefused:
		kind = events.StartRefused
	case placing.EventOwed:
		kind = events.RecordOwed
	default:
		kind = events.PlacingFailed
	}
	i.events.Log(kind, "job", event.JobID, "run", event.Run, "worker", event.Worker, "result", event.Result, "reason", event.Err)
}
