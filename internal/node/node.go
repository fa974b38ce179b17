// Package node runs one instance: it answers callers, reads the store, and schedules jobs while it is the owner. All
// instances are equal and keep no state of their own: everything durable is in the store.
package node

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/clock"
	"github.com/dotterelgauge/dotterelgauge/internal/config"
	"github.com/dotterelgauge/dotterelgauge/internal/dispatch"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/httpapi"
	"github.com/dotterelgauge/dotterelgauge/internal/leadership"
	"github.com/dotterelgauge/dotterelgauge/internal/metrics"
	"github.com/dotterelgauge/dotterelgauge/internal/peer"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

const (
	// jobsReadWait is how long a read of the jobs' records waits for a new one; an owner appends more often than that.
	jobsReadWait = time.Second
	// jobsReadInterval is the pause between two reads of the jobs' records by an instance that isn't the owner, because
	// each read has a cost. A caller who asks for the state of a job ends the pause.
	jobsReadInterval = 200 * time.Millisecond
	// refreshTimeout limits how long a call that ended a pause waits for the next read.
	refreshTimeout = 300 * time.Millisecond
	// configReadShare is the part of ConfigApplyTime for which one read of the configuration waits. A read over a
	// connection that no longer responds is cancelled and retried well within that time.
	configReadShare = 0.45
	// maxReplicaAge is how long after the store's last answer callers are still answered from the replica.
	maxReplicaAge = 3500 * time.Millisecond
	// storeCheckValidity is how long after an answer the store is assumed to accept appends without another check.
	storeCheckValidity = 250 * time.Millisecond
	// headerTimeout, bodyTimeout and idleTimeout limit how long a client may keep a connection without a complete request.
	headerTimeout = 5 * time.Second
	bodyTimeout   = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes is the maximum size of a request's header.
	maxHeaderBytes = 16 << 10
	// notReadyShare is the part of GracePeriod between reporting not ready and closing the listeners: the load balancer
	// notices within two of its health checks, which are one second apart.
	notReadyShare = 0.55
	// shutdownShare is the part of GracePeriod that is left for requests in progress.
	shutdownShare = 0.3
	// durationsTimeout limits how long the metrics page waits for the owner's loop.
	durationsTimeout = 300 * time.Millisecond
	// memoryLimitShare is the part of MemoryBytes that is the runtime's soft memory limit. gcPercent is the heap growth
	// that starts a garbage collection below that limit; it is low because memory is scarcer than CPU time.
	memoryLimitShare = 0.7
	gcPercent        = 50
)

// Platform holds the platform's services and protocols that an instance uses.
type Platform struct {
	// Jobs holds jobs, runs and ownership, Operator the operator's configuration and waves of upkeep, and Registry the
	// workers' registry entries.
	Jobs, Operator, Registry storelog.Partition
	Workers                  worker.Client
	// Advisor is nil if the platform has no advisor.
	Advisor worker.Advisor
	// Machines is nil if the platform has no machine service.
	Machines worker.Machines
	// UpkeepStatus is the partition in which the operator reads the states of waves of upkeep.
	UpkeepStatus storelog.Partition
	// EncodeWaveStatus returns the record of UpkeepStatus that holds the state of the wave with the number.
	EncodeWaveStatus func(number int64, state replica.WaveState) storelog.Record
	// DecodeWorker decodes a worker's registry entry; false if the entry is invalid or the worker can't be used.
	DecodeWorker func(storelog.Record) (worker.RegistryEntry, bool)
	// NewOperatorReader returns a reader of Operator that fills the holder, the waves and the evacuations.
	NewOperatorReader func(*config.Holder, *config.Waves, *config.Evacuations) storelog.Reader
	// CallerHandler returns the handler of the platform's interface for callers.
	CallerHandler func(*gateway.Gateway) http.Handler
	// DecodeJob decodes the body of a call to that interface that submits a job. It is needed only to serve calls of peers.
	DecodeJob gateway.JobDecoder
	// ReadinessHandler returns the handler of the load balancer's readiness check.
	ReadinessHandler func(ready func() bool) http.Handler
}

// Node is one instance.
type Node struct {
	settings Settings
	platform Platform
	events   *events.Logger

	configs    *config.Holder
	replica    *replica.Replica
	jobs       *storelog.Follower
	operator   *storelog.Follower
	dispatcher *dispatch.Dispatcher
	appender   *storelog.Appender
	candidate  *leadership.Candidate
	gateway    *gateway.Gateway
	// peers is nil if calls aren't forwarded; listenForPeers is nil for QUIC.
	peers          *peer.Service
	listenForPeers func(string, *peer.Identity, peer.Directory) (peer.Listener, error)
	plan           func(*assign.Snapshot) assign.Plan
	stages         metrics.Stages
	draining       atomic.Bool
	// checkFailedAt is when the store last failed to answer a check; nil before.
	checkFailedAt atomic.Pointer[time.Time]
	// wasReady is the readiness that was last reported.
	wasReady atomic.Bool
}

// Option changes how an instance works.
type Option func(*Node)

// WithPlanner makes an owner use the planner instead of assign.MakePlan.
func WithPlanner(plan func(*assign.Snapshot) assign.Plan) Option {
	return func(n *Node) { n.plan = plan }
}

// New returns an instance; Run starts it.
func New(settings Settings, platform Platform, logger *events.Logger, options ...Option) *Node {
	n := &Node{settings: settings, platform: platform, events: logger, plan: assign.MakePlan}
	for _, apply := range options {
		apply(n)
	}
	n.configs = config.NewHolder(logger)
	waves, evacuations := config.NewWaves(), config.NewEvacuations()
	n.replica = replica.New(logger)
	n.jobs = storelog.NewFollower(platform.Jobs, n.replica, storelog.FollowOptions{
		Name: "jobs", Wait: jobsReadWait, ReadInterval: n.jobsReadPause,
	}, logger)
	operatorReader := platform.NewOperatorReader(n.configs, waves, evacuations)
	n.operator = storelog.NewFollower(platform.Operator, operatorReader, storelog.FollowOptions{
		Name: "configuration", Wait: time.Duration(configReadShare * float64(settings.ConfigApplyTime)),
		LatestOnly: true,
	}, logger)
	n.appender = storelog.NewAppender(platform.Jobs, settings.Name+"-"+uuid.NewString(), 1, 0)
	n.dispatcher = dispatch.New(dispatch.Dependencies{
		Options: dispatch.Options{
			Instance: settings.Name, CPU: settings.cpuMillicores(),
			TakeoverDelay: settings.TakeoverDelay, EvacuateTime: settings.EvacuateTime,
			MaxLease: settings.MaxLease, StopDuration: settings.StopDuration, GangWait: settings.GangWait,
			RestoreDuration: settings.RestoreDuration, CapacityGrace: settings.CapacityGrace, Retention: settings.Retention,
			DeclaredDurations: settings.DeclaredDurations,
		},
		Client: platform.Workers, Advisor: platform.Advisor, Machines: platform.Machines, Waves: waves,
		Evacuations: evacuations, ConfigAge: n.configAge,
		UpkeepStatus: platform.UpkeepStatus, EncodeWaveStatus: platform.EncodeWaveStatus, Configs: n.configs,
		Replica: n.replica, Plan: n.plan, Stages: &n.stages,
		Registry: platform.Registry, DecodeWorker: platform.DecodeWorker, Events: logger,
	})
	n.candidate = leadership.New(
		leadership.Options{Instance: settings.Name, CPU: settings.cpuMillicores()}, platform.Jobs, n.jobs, n.replica,
		n.dispatcher.RunTerm, logger,
	)
	n.gateway = gateway.New(n.configs, n.replica, n.appender, n, &n.stages, settings.cpuMillicores(), logger)
	n.peers = n.newPeers()
	return n
}

// Fresh implements gateway.Health.
func (n *Node) Fresh() bool {
	answered, _ := n.jobs.AnswerTimes()
	return n.replica.IsReady() && n.ConfigCurrent() && clock.Since(answered) < maxReplicaAge
}

// ConfigCurrent implements gateway.Health.
func (n *Node) ConfigCurrent() bool {
	return n.configs.Current() != nil && n.configAge() < n.settings.ConfigApplyTime
}

// configAge returns the time for which the configuration may have been obsolete.
func (n *Node) configAge() time.Duration { return clock.Since(n.operator.CompleteAt()) }

// CheckStore implements gateway.Health.
func (n *Node) CheckStore(ctx context.Context) error {
	err := n.jobs.CheckStore(ctx, storeCheckValidity)
	if err != nil {
		now := time.Now()
		n.checkFailedAt.Store(&now)
	}
	return err
}

// CatchUp implements gateway.Health.
func (n *Node) CatchUp(ctx context.Context) error { return n.jobs.CatchUp(ctx) }

// Refresh implements gateway.Health.
func (n *Node) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	n.jobs.Refresh(ctx)
}

// jobsReadPause returns the pause before the next read of the jobs' records; the owner makes none.
func (n *Node) jobsReadPause() time.Duration {
	if n.Epoch() > 0 {
		return 0
	}
	return jobsReadInterval
}

// Run serves until ctx ends, and then drains the instance within the grace period. It returns an error if a listener for callers or
// readiness checks, or a server, fails.
func (n *Node) Run(ctx context.Context) error {
	if n.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(n.settings.MemoryBytes)))
	}
	debug.SetGCPercent(gcPercent)
	n.events.Log(events.InstanceStarted, "data_centre", n.settings.DataCentre, "callers", n.settings.CallersAddress,
		"store", n.settings.StoreAddress)
	n.publishMetrics()
	servers := []*http.Server{
		newServer(n.settings.CallersAddress, n.platform.CallerHandler(n.gateway)),
		newServer(n.settings.ReadinessAddress, n.platform.ReadinessHandler(n.ready)),
	}
	if n.settings.OperationsAddress != "" {
		servers = append(servers, newServer(n.settings.OperationsAddress, httpapi.Handler(n.gateway, n)))
	}
	listeners, err := n.listen(servers)
	if err != nil {
		return err
	}
	// Callers are still answered after ctx has ended, until the instance is drained.
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group, serving := errgroup.WithContext(serving)
	for server, listener := range listeners {
		group.Go(func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrap(err, "serve")
			}
			return nil
		})
	}
	group.Go(func() error { n.RunBackground(ctx, serving); return nil })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			n.drain(servers)
		case <-serving.Done():
		}
		stopServing()
		return nil
	})
	return group.Wait()
}

// listen opens the listeners of the servers. The one for operators may be missing: callers are served without it.
func (n *Node) listen(servers []*http.Server) (map[*http.Server]net.Listener, error) {
	listeners := map[*http.Server]net.Listener{}
	for _, server := range servers {
		listener, err := net.Listen("tcp", server.Addr)
		if err != nil {
			n.events.Log(events.ListenerFailed, "address", server.Addr, "error", err)
			if server.Addr == n.settings.OperationsAddress {
				continue
			}
			for _, opened := range listeners {
				_ = opened.Close() // nothing was accepted
			}
			return nil, errors.Wrap(err, "listen")
		}
		listeners[server] = listener
	}
	return listeners, nil
}

// RunBackground reads the store and appends the gateway's records until serving ends, and takes part in the election of
// the owner until owning ends.
func (n *Node) RunBackground(owning, serving context.Context) {
	var group sync.WaitGroup
	group.Go(func() { n.jobs.Run(serving) })
	group.Go(func() { n.operator.Run(serving) })
	group.Go(func() {
		if err := n.appender.Run(serving); serving.Err() == nil {
			n.events.Log(events.InstanceFailed, "error", err)
		}
	})
	group.Go(func() { n.candidate.Run(owning) })
	if n.peers != nil {
		group.Go(func() { n.peers.Run(owning, serving) })
	}
	group.Wait()
}

// Gateway returns the gateway, which answers callers.
func (n *Node) Gateway() *gateway.Gateway { return n.gateway }

// Epoch returns the epoch that this instance owns; 0 if it isn't the owner.
func (n *Node) Epoch() int64 { return n.candidate.Epoch() }

// ready reports whether the load balancer may send calls here, and logs each change.
func (n *Node) ready() bool {
	ready := !n.draining.Load() && n.Fresh()
	if n.wasReady.Swap(ready) == ready {
		return ready
	}
	if ready {
		n.events.Log(events.InstanceReady)
		return true
	}
	answered, _ := n.jobs.AnswerTimes()
	n.events.Log(events.InstanceNotReady, "leaving", n.draining.Load(), "jobs_read", n.replica.IsReady(),
		"configured", n.configs.Current() != nil, "configuration_age_ms", n.configAge().Milliseconds(),
		"store_answered_ms_ago", time.Since(answered).Milliseconds())
	return false
}

// drain reports the instance as not ready, waits until the load balancer has had time to notice, and then shuts the
// servers down gracefully.
func (n *Node) drain(servers []*http.Server) {
	n.draining.Store(true)
	n.events.Log(events.DrainStarted)
	time.Sleep(time.Duration(notReadyShare * float64(n.settings.GracePeriod)))
	shutdown, cancel := context.WithTimeout(context.Background(), time.Duration(shutdownShare*float64(n.settings.GracePeriod)))
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(shutdown); err != nil {
			n.events.Log(events.DrainCutShort, "address", server.Addr, "error", err)
		}
	}
	n.events.Log(events.DrainEnded)
}

// publishMetrics publishes the metrics with expvar.
func (n *Node) publishMetrics() {
	expvar.Publish("answers", n.gateway.AnswerCounts())
	expvar.Publish("shares", &n.stages.Shares)
	expvar.Publish("refusals", n.gateway.RefusalCounts())
	expvar.Publish("latency", &n.stages)
	n.publishPeerMetrics()
	expvar.Publish("preemption_lost_core_s", &n.stages.LostToPreemption)
	expvar.Publish("owner_epoch", expvar.Func(func() any { return n.candidate.Epoch() }))
	expvar.Publish("configuration_age_ms", expvar.Func(func() any { return n.configAge().Milliseconds() }))
	expvar.Publish("durations", expvar.Func(func() any {
		ctx, cancel := context.WithTimeout(context.Background(), durationsTimeout)
		defer cancel()
		return n.dispatcher.Durations(ctx)
	}))
	expvar.Publish("configuration_version", expvar.Func(func() any {
		if current := n.configs.Current(); current != nil {
			return current.Version
		}
		return 0
	}))
}

func newServer(address string, handler http.Handler) *http.Server {
	return &http.Server{
		Addr: address, Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
}
