package main

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/trial"
	"github.com/dotterelgauge/dotterelgauge/test/site"
)

// span is a stretch of time in which the instance of an operators' address, or with "" the log, was faulty.
// A zero end means that it lasts.
type span struct {
	address  string
	from, to time.Time
}

// faultRun is a site under faults and what was seen of it.
type faultRun struct {
	*site.Site
	ctx     context.Context
	config  *trial.ConfigWatch
	drains  *trial.Invariant
	leaving *trial.Invariant
	// relays and isolated are checked by the faults of the network.
	relays   *trial.Invariant
	isolated *trial.Invariant

	mu        sync.Mutex
	faulty    []span
	shutdowns []trial.Shutdown
}

func newRun(ctx context.Context, under *site.Site) *faultRun {
	relays, isolated := newNetworkInvariants()
	return &faultRun{
		relays:   relays,
		isolated: isolated,
		Site:     under,
		ctx:      ctx,
		config:   &trial.ConfigWatch{},
		drains:   &trial.Invariant{Name: "a graceful shutdown ends in order"},
		leaving:  &trial.Invariant{Name: "a leaving worker gets nothing new after 3 s"},
	}
}

// start starts the site and watches the configuration of its instances.
func (r *faultRun) start() error {
	revision, err := r.Start()
	if err != nil {
		return err
	}
	r.config.Accepted(revision, r.Instances[0].Operators)
	for _, i := range r.Instances {
		go r.config.Watch(r.ctx, i.Operators, site.OperatorToken)
	}
	return nil
}

// beginFault notes that from now on the instance of the operators' address, or with "" the log, is faulty; the
// function it returns ends that.
func (r *faultRun) beginFault(address string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faulty = append(r.faulty, span{address: address, from: time.Now()})
	index := len(r.faulty) - 1
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.faulty[index].to = time.Now()
	}
}

// wasFaulty reports whether the log or the instance was faulty at some moment between the two.
func (r *faultRun) wasFaulty(address string, from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, fault := range r.faulty {
		concerns := fault.address == "" || fault.address == address
		ended := !fault.to.IsZero() && fault.to.Before(from)
		if concerns && !ended && fault.from.Before(to) {
			return true
		}
	}
	return false
}

// noteShutdown notes a graceful shutdown.
func (r *faultRun) noteShutdown(shutdown trial.Shutdown) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shutdowns = append(r.shutdowns, shutdown)
}
