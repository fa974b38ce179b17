package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/google/uuid"

	"github.com/dotterelgauge/dotterelgauge/api/client"
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/logservice"
	"github.com/dotterelgauge/dotterelgauge/internal/trial"
	"github.com/dotterelgauge/dotterelgauge/test/site"
)

const (
	// silentFor is how long connections to workers are silent.
	silentFor = 8 * time.Second
	// cutFor is how long a region is cut off.
	cutFor = 10 * time.Second
	// leaveReadinessBound is how soon an instance that hears nobody leaves readiness.
	leaveReadinessBound = 5 * time.Second
	// relayBound is how soon an instance that lost only the log works through a peer: its connections to the log are
	// silent, and it gives them up after 3 s.
	relayBound = 5 * time.Second
	// restartPause is the time between two replacements, shorter than that between two snapshots.
	restartPause = 300 * time.Millisecond
	// askTimeout bounds one request of a check.
	askTimeout = 5 * time.Second
)

// silentConnections makes the connections between one instance and the workers silent while new ones work.
func silentConnections(s *faultRun, random *rand.Rand) {
	i := s.pickInstance(random)
	defer s.beginFault(i.Operators)()
	restore := s.Silence(func(end site.End) bool { return end.Kind == site.ToWorker && end.Instance == i.Number })
	defer restore()
	time.Sleep(silentFor)
}

// cutFromLog cuts one instance off from the log, which it then reaches through a peer; the log itself has no fault
// meanwhile.
func cutFromLog(s *faultRun, random *rand.Rand) {
	instanceFault.Lock()
	defer instanceFault.Unlock()
	wholeLogFault.Lock()
	defer wholeLogFault.Unlock()
	i := s.pickInstance(random)
	defer s.beginFault(i.Operators)()
	restore := s.Cut(func(end site.End) bool { return end.Kind == site.ToLog && end.Instance == i.Number })
	time.Sleep(relayBound)
	err := s.submit(i)
	s.relays.Check(err == nil, "%s, cut off from the log only: %v", i.Name(), err)
	restore()
	s.awaitReady(i)
}

// isolate cuts an owner off from the log and from all peers and checks that it takes no new work.
func isolate(s *faultRun, random *rand.Rand) {
	instanceFault.Lock()
	defer instanceFault.Unlock()
	i := s.owner(random)
	defer s.beginFault(i.Operators)()
	restore := s.Cut(func(end site.End) bool {
		own := end.Instance == i.Number && end.Kind != site.ToWorker
		return own || end.Kind == site.ToPeer && end.Peer == i.Number
	})
	time.Sleep(leaveReadinessBound)
	status, err := i.Operator().Status(s.ctx)
	s.isolated.Check(err == nil && !status.Ready, "%s is ready %s after it was cut off (%v)", i.Name(), leaveReadinessBound, err)
	err = s.ask(i, "check")
	s.isolated.Check(err != nil, "%s took a request %s after it was cut off", i.Name(), leaveReadinessBound)
	restore()
	s.awaitReady(i)
}

// splitRegions has the two data centres lose each other; the second one loses the log too.
func splitRegions(s *faultRun, _ *rand.Rand) {
	instanceFault.Lock()
	defer instanceFault.Unlock()
	defer s.beginFault("")()
	restore := s.Cut(func(end site.End) bool {
		if end.Kind == site.ToLog {
			return s.DataCentre(end.Instance) == s.Config.DataCentres[1]
		}
		return end.DataCentre != s.DataCentre(end.Instance)
	})
	time.Sleep(cutFor)
	restore()
	for _, i := range s.Instances {
		s.awaitReady(i)
	}
}

// replaceAll kills every instance in turn and starts it again.
func replaceAll(s *faultRun, _ *rand.Rand) {
	instanceFault.Lock()
	defer instanceFault.Unlock()
	defer s.beginFault("")()
	for _, i := range s.Instances {
		i.Signal(syscall.SIGKILL)
		_ = i.Process.Wait()
		s.restart(i)
		time.Sleep(restartPause)
	}
}

// restartInOutage replaces an instance while the log is down: it takes the state from a peer or stays not ready.
func restartInOutage(s *faultRun, random *rand.Rand) {
	instanceFault.Lock()
	defer instanceFault.Unlock()
	wholeLogFault.Lock()
	defer wholeLogFault.Unlock()
	i := s.pickInstance(random)
	defer s.beginFault("")()
	s.Log.SetFaults(logservice.Faults{Outage: true})
	i.Signal(syscall.SIGKILL)
	_ = i.Process.Wait()
	s.restart(i)
	s.Log.SetFaults(logservice.Faults{})
	s.awaitReady(i)
}

// ask asks one idempotent request through an instance: it needs no log, so an instance that takes new work runs it.
func (r *faultRun) ask(i *site.Instance, payload string) error {
	key, err := uuid.NewV7()
	if err != nil {
		return err
	}
	request := client.Request{Key: key.String(), Class: "urgent", Idempotent: true, Timeout: askTimeout, Payload: []byte(payload)}
	_, err = client.New(i.Callers, site.CallerToken).Request(r.ctx, request)
	return err
}

// submit submits a job through an instance, which needs the log only, and cancels it.
func (r *faultRun) submit(i *site.Instance) error {
	key, err := uuid.NewV7()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.ctx, askTimeout)
	defer cancel()
	caller := client.New(i.Callers, site.CallerToken)
	spec := &apiv1.JobSpec{
		WorkClass:  apiv1.WorkClass_WORK_CLASS_ORDINARY,
		Shape:      &apiv1.Shape{Members: 1, Accelerators: 1, Adjacency: apiv1.Adjacency_ADJACENCY_RACK},
		ExpectedMs: time.Second.Milliseconds(),
	}
	if _, err := caller.SubmitJob(ctx, key.String(), spec); err != nil {
		return err
	}
	_, err = caller.CancelJob(ctx, key.String())
	return err
}

// awaitReady checks that an instance becomes ready again after a cut.
func (r *faultRun) awaitReady(i *site.Instance) {
	if err := r.AwaitReady(i); err != nil {
		fmt.Printf("%s after a cut: %v\n", i.Name(), err)
	}
}

// newNetworkInvariants returns what only the faults of the network check.
func newNetworkInvariants() (relays, isolated *trial.Invariant) {
	return &trial.Invariant{Name: "an instance that lost only the log works through a peer"},
		&trial.Invariant{Name: "an instance that hears nobody leaves readiness and takes no new work"}
}
