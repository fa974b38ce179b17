// Package node runs one instance: it answers callers, follows the store, and owns the workers' orders when it is its
// turn. Every instance is equal and keeps nothing.
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

	"github.com/dotterelgauge/dotterelgauge/internal/config"
	"github.com/dotterelgauge/dotterelgauge/internal/dispatch"
	"github.com/dotterelgauge/dotterelgauge/internal/entry"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/leadership"
	"github.com/dotterelgauge/dotterelgauge/internal/metrics"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

const (
	// jobsWait is how long a read of the jobs' records waits; an owner writes more often.
	jobsWait = time.Second
	// readEvery spaces the reads of the jobs' records by an instance that owns nothing: each read has its price. A
	// caller who asks for the state of a job ends the pause.
	readEvery = 200 * time.Millisecond
	// refreshTimeout bounds how long such a caller waits for the store.
	refreshTimeout = 300 * time.Millisecond
	// operatorShare of the time in which a configuration has to be in force is how long a read of it waits: a read whose
	// connection went silent is given up and repeated well within that time.
	operatorShare = 0.45
	// freshFor is how old the newest answer of the store may be before answers that rest on it are withheld.
	freshFor = 3500 * time.Millisecond
	// evidenceFor is how long an answer of the store shows that it takes appends.
	evidenceFor = 250 * time.Millisecond
	// headerTimeout and idleTimeout bound what a caller may hold without a request.
	headerTimeout = 5 * time.Second
	bodyTimeout   = 10 * time.Second
	idleTimeout   = 60 * time.Second
	maxHeaders    = 16 << 10
	// leaveShare of the grace time passes between leaving readiness and closing the listeners: the balancer notices
	// within two of its checks, a second apart.
	leaveShare = 0.55
	// closeShare of the grace time is left for requests under way.
	closeShare = 0.3
	// memoryShare of the limit is where the runtime collects harder, and collectPercent how much garbage it allows
	// before that; memory is dear, processor time is not.
	memoryShare    = 0.7
	collectPercent = 50
)

// Platform is what an instance uses of the platform.
type Platform struct {
	Jobs, Operator, Registry storelog.Partition
	Workers                  worker.Client
	// Advisor is nil where no queue needs advice.
	Advisor worker.Advisor
	// Machines is nil where no machine has upkeep.
	Machines worker.Machines
	// UpkeepStatus is where the operator reads how far waves of upkeep are, and WaveStatus the record that says so.
	UpkeepStatus      storelog.Partition
	EncodeWaveStatus  func(number int64, state replica.WaveState) storelog.Record
	DecodeWorker      func(storelog.Record) (worker.RegistryEntry, bool)
	NewOperatorReader func(*config.Holder, *config.Waves) storelog.Reader
	CallerHandler     func(*gateway.Gateway) http.Handler
	ReadinessHandler  func(ready func() bool) http.Handler
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
	stages     metrics.Stages
	leaving    atomic.Bool
	// wasReady is what the balancer was told last.
	wasReady atomic.Bool
}

// New returns an instance that isn't running.
func New(settings Settings, platform Platform, logger *events.Logger) *Node {
	n := &Node{settings: settings, platform: platform, events: logger}
	n.configs = config.NewHolder(logger)
	waves := config.NewWaves()
	n.replica = replica.New(logger)
	n.jobs = storelog.NewFollower(platform.Jobs, n.replica, storelog.FollowOptions{Name: "jobs", Wait: jobsWait, ReadInterval: n.pauseReading}, logger)
	n.operator = storelog.NewFollower(platform.Operator, platform.NewOperatorReader(n.configs, waves), storelog.FollowOptions{
		Name: "configuration", Wait: time.Duration(operatorShare * float64(settings.ConfigApplyTime)),
	}, logger)
	n.appender = storelog.NewAppender(platform.Jobs, settings.Name+"-"+uuid.NewString(), 1, 0)
	n.dispatcher = dispatch.New(dispatch.Dependencies{
		Options: dispatch.Options{
			Instance: settings.Name, TakeoverDelay: settings.TakeoverDelay,
			MaxLease: settings.MaxLease, StopDuration: settings.StopDuration, GangWait: settings.GangWait, RestoreDuration: settings.RestoreDuration,
			Retention: settings.Retention,
		},
		Client: platform.Workers, Advisor: platform.Advisor, Machines: platform.Machines, Waves: waves, Status: platform.UpkeepStatus,
		WaveStatus: platform.EncodeWaveStatus, Configs: n.configs, Replica: n.replica, Stages: &n.stages, Registry: platform.Registry, DecodeWorker: platform.DecodeWorker, Events: logger,
	})
	n.candidate = leadership.New(leadership.Options{Instance: settings.Name, Cores: settings.Cores}, platform.Jobs, n.jobs, n.replica, n.dispatcher.RunTerm, logger)
	n.gateway = gateway.New(n.configs, n.replica, n.appender, n, &n.stages, logger)
	return n
}

// Fresh implements gateway.Health.
func (n *Node) Fresh() bool {
	answered, _ := n.jobs.AnswerTimes()
	return n.replica.IsReady() && n.configs.Current() != nil && time.Since(answered) < freshFor
}

// CheckStore implements gateway.Health.
func (n *Node) CheckStore(ctx context.Context) error { return n.jobs.CheckStore(ctx, evidenceFor) }

// CatchUp implements gateway.Health.
func (n *Node) CatchUp(ctx context.Context) error { return n.jobs.CatchUp(ctx) }

// Refresh implements gateway.Health.
func (n *Node) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	n.jobs.Refresh(ctx)
}

func (n *Node) pauseReading() time.Duration {
	if n.Epoch() > 0 {
		return 0
	}
	return readEvery
}

// Run serves until ctx ends, then leaves in order within the grace time.
func (n *Node) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(n.settings.MemoryBytes)))
	debug.SetGCPercent(collectPercent)
	n.events.Log(events.InstanceStarted, "data_centre", n.settings.DataCentre, "callers", n.settings.CallersAddress, "store", n.settings.StoreAddress)
	n.publish()
	servers := []*http.Server{
		newServer(n.settings.CallersAddress, n.platform.CallerHandler(n.gateway)),
		newServer(n.settings.ReadinessAddress, n.platform.ReadinessHandler(n.ready)),
	}
	if n.settings.OperationsAddress != "" {
		servers = append(servers, newServer(n.settings.OperationsAddress, entry.Handler(n.gateway, n)))
	}
	// What answers callers outlives ctx by the time to leave.
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group, serving := errgroup.WithContext(serving)
	for _, server := range servers {
		listener, err := net.Listen("tcp", server.Addr)
		if err != nil {
			n.events.Log(events.ListenerFailed, "address", server.Addr, "error", err)
			return errors.Wrap(err, "listen")
		}
		group.Go(func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrap(err, "serve")
			}
			return nil
		})
	}
	group.Go(func() error { n.Work(ctx, serving); return nil })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			n.leave(servers)
		case <-serving.Done():
		}
		stopServing()
		return nil
	})
	return group.Wait()
}

// Work follows the store and answers the gateway until serving ends, and owns orders until owning ends.
func (n *Node) Work(owning, serving context.Context) {
	var group sync.WaitGroup
	group.Go(func() { n.jobs.Run(serving) })
	group.Go(func() { n.operator.Run(serving) })
	group.Go(func() {
		if err := n.appender.Run(serving); serving.Err() == nil {
			n.events.Log(events.InstanceFailed, "error", err)
		}
	})
	group.Go(func() { n.candidate.Run(owning) })
	group.Wait()
}

// Gateway answers callers.
func (n *Node) Gateway() *gateway.Gateway { return n.gateway }

// Epoch is the epoch that the instance owns; 0 if it owns none.
func (n *Node) Epoch() int64 { return n.candidate.Epoch() }

// ready tells the balancer whether callers may come, and logs when that changes.
func (n *Node) ready() bool {
	ready := !n.leaving.Load() && n.Fresh()
	if n.wasReady.Swap(ready) == ready {
		return ready
	}
	if ready {
		n.events.Log(events.InstanceReady)
		return true
	}
	answered, _ := n.jobs.AnswerTimes()
	n.events.Log(events.InstanceNotReady, "leaving", n.leaving.Load(), "jobs_read", n.replica.IsReady(),
		"configured", n.configs.Current() != nil, "store_answered_ms_ago", time.Since(answered).Milliseconds())
	return false
}

// leave lets the balancer turn away, then answers what is under way.
func (n *Node) leave(servers []*http.Server) {
	n.leaving.Store(true)
	n.events.Log(events.DrainStarted)
	time.Sleep(time.Duration(leaveShare * float64(n.settings.GracePeriod)))
	closing, cancel := context.WithTimeout(context.Background(), time.Duration(closeShare*float64(n.settings.GracePeriod)))
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(closing); err != nil {
			n.events.Log(events.DrainCutShort, "address", server.Addr, "error", err)
		}
	}
	n.events.Log(events.DrainEnded)
}

// publish puts the counters on the metrics page.
func (n *Node) publish() {
	expvar.Publish("answers", n.gateway.AnswerCounts())
	expvar.Publish("latency", &n.stages)
	expvar.Publish("owner_epoch", expvar.Func(func() any { return n.candidate.Epoch() }))
	expvar.Publish("configuration_version", expvar.Func(func() any {
		if now := n.configs.Current(); now != nil {
			return now.Version
		}
		return 0
	}))
}

func newServer(address string, handler http.Handler) *http.Server {
	return &http.Server{
		Addr: address, Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaders,
	}
}
