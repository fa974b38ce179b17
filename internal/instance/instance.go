// Package instance puts one instance of the scheduler together and runs it.
//
// An instance keeps two replicas of the platform's log (ledger and claims), follows the other instances,
// owns data centres, and serves callers, operators and peers. It keeps nothing on disk.
package instance

import (
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/audit"
	"github.com/dotterelgauge/dotterelgauge/internal/claims"
	"github.com/dotterelgauge/dotterelgauge/internal/entry"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/jobs"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
	"github.com/dotterelgauge/dotterelgauge/internal/membership"
	"github.com/dotterelgauge/dotterelgauge/internal/operations"
	"github.com/dotterelgauge/dotterelgauge/internal/peer"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/logclient"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/workerclient"
	"github.com/dotterelgauge/dotterelgauge/internal/relay"
	"github.com/dotterelgauge/dotterelgauge/internal/routing"
	"github.com/dotterelgauge/dotterelgauge/internal/routing/conn"
	"github.com/dotterelgauge/dotterelgauge/internal/state"
)

// claimsReadPause is how long an instance lets the claims of others gather before it reads them.
const claimsReadPause = 200 * time.Millisecond

// Instance is one instance of the scheduler.
type Instance struct {
	settings *apiv1.Settings
	author   *apiv1.Author
	events   *events.Logger
	traffic  counters

	log       *relay.Log
	transport *conn.Transport
	workers   platform.Workers
	asker     *peer.Client

	state     *state.State
	ledger    *ledger.Replica
	claims    *ledger.Replica
	members   *membership.Membership
	router    *routing.Router
	domains   *domains
	peers     *peer.Server
	callers   *entry.Server
	operators *entry.Server
	requests  *requestCounter
	draining  atomic.Bool
	rounds    atomic.Int64
}

// New puts an instance together and binds its listeners. It does nothing until Run.
func New(settings *apiv1.Settings, logger *events.Logger) (*Instance, error) {
	i := &Instance{
		settings: settings,
		author:   &apiv1.Author{Instance: settings.Name, Incarnation: rand.Uint64()}, //nolint:gosec // Not a secret.
		events:   logger,
		state:    state.New(),
		requests: &requestCounter{},
	}
	var err error
	if i.asker, err = peer.NewClient(settings.Peers.Secret); err != nil {
		return nil, err
	}
	i.buildPlatform()
	i.buildReplicas()
	i.domains = newDomains(i)
	i.buildRouter()
	if err := i.bind(); err != nil {
		return nil, err
	}
	return i, nil
}

// buildPlatform makes the clients of the platform and of the other instances.
func (i *Instance) buildPlatform() {
	listTransport := &http.Transport{DialContext: i.traffic.list.Dial, DisableCompression: true}
	list := workerclient.NewInstanceList(listTransport, i.settings.Platform.InstanceList)
	i.members = membership.New(membership.Config{
		Name:     i.settings.Name,
		List:     list,
		Pinger:   pinger{asker: i.asker},
		Standing: i.standing,
		Events:   i.events,
	})
	direct := logclient.NewWithDialer(i.settings.Platform.Log, i.traffic.log.Dial)
	i.log = relay.New(direct, i.asker, i.helpers, i.events)
	i.transport = conn.New(conn.Config{Dial: i.traffic.workers.Dial})
	i.workers = workerclient.New(i.transport)
}

// buildReplicas makes the replicas of both streams, which share one budget of appends.
func (i *Instance) buildReplicas() {
	budget := ledger.NewBudget(ledger.DefaultAppendsPerSecond)
	i.ledger = ledger.New(ledger.Config{
		Log:     i.log,
		Stream:  platform.StreamLedger,
		Author:  i.author,
		Machine: i.state,
		Budget:  budget,
		Rank:    i.rank,
		Notify:  i.notice,
	})
	table := claims.New()
	i.claims = ledger.New(ledger.Config{
		Log:     i.log,
		Stream:  platform.StreamClaims,
		Author:  i.author,
		Machine: table,
		Budget:  budget,
		Rank:    i.rank,
		// Nobody waits for the claims of other instances, and they are many.
		ReadPause: claimsReadPause,
		Notify:    i.notice,
	})
	i.router = routing.New(routing.Config{
		Instance:     i.author.Instance,
		Incarnation:  i.author.Incarnation,
		Claims:       routing.NewLedgerClaims(i.claims, table, i.author.Instance),
		Holder:       holder{instance: i},
		Workers:      i.workers,
		QueueLimit:   int(i.settings.Limits.QueuedRequests),
		RetryPercent: int(i.settings.Limits.RetryPercent),
		Seed:         i.author.Incarnation,
	})
	share := float64(i.settings.Limits.FleetAppendsPerSecond)
	i.members.Watch(func(view membership.View) {
		budget.SetRate(share / float64(len(view.Peers)+1))
	})
}

// buildRouter feeds the router from the ledger and the instance list.
func (i *Instance) buildRouter() {
	i.members.Watch(func(view membership.View) {
		i.rounds.Add(1)
		i.router.SetWorkers(view.Workers)
		i.router.SetInstances(i.liveInstances(view))
		i.transport.SetLimits(i.router.ConnectionLimits())
		i.domains.round(view)
	})
	i.ledger.Subscribe(i.onLedger)
}

// bind binds the listeners.
func (i *Instance) bind() error {
	addresses := i.settings.Addresses
	var err error
	if i.peers, err = peer.Listen(addresses.Peers, i.settings.Peers.Secret, peerHandler{instance: i}); err != nil {
		return err
	}
	trail := audit.New(i.log)
	i.ledger.Subscribe(trail.Observe)
	callers := entry.Callers(entry.CallersConfig{
		Callers:      i.settings.Callers,
		PayloadBytes: i.settings.Limits.PayloadBytes,
		Requests:     i.router,
		Jobs:         jobs.New(i.ledger, i.state, i.domains),
		Refuse:       i.refuse,
		Events:       i.events,
	})
	if i.callers, err = entry.Listen(addresses.Callers, i.requests.wrap(callers), i.events); err != nil {
		return err
	}
	commands := operations.New(operations.Config{
		Instance: i.settings.Name,
		Ledger:   i.ledger,
		State:    i.state,
		Offset:   i.ledger.Offset,
		Members:  i.members.View,
		Trail:    trail,
		Ready:    i.notReady,
	})
	i.operators, err = entry.Listen(addresses.Operators, entry.Operators(i.settings.Operator.Token, commands), i.events)
	return err
}

// rank orders the instances that write the next snapshot.
func (i *Instance) rank() (rank, size int) {
	view := i.members.View()
	for _, other := range view.Peers {
		if !other.Answers() {
			continue
		}
		size++
		if other.Instance.Name < i.settings.Name {
			rank++
		}
	}
	return rank, size + 1
}

// liveInstances returns the instances among which the limits of the workers are divided.
func (i *Instance) liveInstances(view membership.View) []*apiv1.Instance {
	own := &apiv1.Instance{Name: i.settings.Name, Weight: i.settings.Weight, Presence: apiv1.Presence_PRESENCE_LIVE}
	live := []*apiv1.Instance{own}
	for _, other := range view.Peers {
		if !other.Silent() && !other.Standing.GetDraining() {
			live = append(live, other.Instance)
		}
	}
	return live
}

// onLedger passes a change of the ledger on to the router, the owners' loops and the log lines.
func (i *Instance) onLedger(event ledger.Event) {
	if event.Rejection != nil {
		i.logRejection(event)
		return
	}
	if event.Restored || event.Record.GetSheetApplied() != nil {
		i.sheetInForce()
	}
	if event.Restored || event.Record.GetWorkerMarked() != nil {
		i.setQuarantined()
	}
	i.logVerdict(event.Record)
	i.domains.changed()
}

// logVerdict tells of a change of a worker's condition.
func (i *Instance) logVerdict(record *apiv1.Record) {
	marked := record.GetWorkerMarked()
	switch marked.GetCondition() {
	case apiv1.WorkerCondition_WORKER_CONDITION_QUARANTINED:
		i.events.Log(events.WorkerQuarantined, "worker", marked.Worker, "actor", record.Actor, "reason", record.Reason)
	case apiv1.WorkerCondition_WORKER_CONDITION_HEALTHY:
		i.events.Log(events.WorkerReturned, "worker", marked.Worker, "actor", record.Actor, "reason", record.Reason)
	default:
	}
}

func (i *Instance) logRejection(event ledger.Event) {
	if event.Record.GetSheetApplied() != nil {
		i.events.Log(events.SheetRejected, "actor", event.Record.Actor, "reason", event.Rejection.Message)
	}
}

// sheetInForce gives the router the accounts of the sheet in force.
func (i *Instance) sheetInForce() {
	var revision *apiv1.Revision
	i.ledger.View(func() { revision = i.state.Revision() })
	var weights []routing.AccountWeight
	for _, account := range revision.GetSheet().GetAccounts() {
		weights = append(weights, routing.AccountWeight{Account: account.Name, Weight: int(account.Weight)})
	}
	i.router.SetAccounts(weights)
	i.events.Log(events.SheetInForce, "revision", revision.GetNumber(), "actor", revision.GetActor())
}

// setQuarantined gives the router the workers that get nothing.
func (i *Instance) setQuarantined() {
	var names []string
	i.ledger.View(func() {
		for _, verdict := range i.state.Verdicts() {
			names = append(names, verdict.Worker)
		}
	})
	i.router.SetQuarantined(names)
}

// notice logs what a replica tells.
func (i *Instance) notice(notice ledger.Notice) {
	event := events.LogUnreachable
	switch notice.Kind {
	case ledger.NoticeLogLost:
	case ledger.NoticeLogBack:
		event = events.LogReached
	case ledger.NoticeRestored:
		event = events.LedgerRestored
	case ledger.NoticeSnapshotWritten:
		event = events.SnapshotWritten
	case ledger.NoticeStopped:
		event = events.LedgerStopped
	default:
		event = events.SnapshotProblem
	}
	i.events.Log(event, "stream", notice.Stream, "offset", notice.Offset, "reason", notice.Err)
}
