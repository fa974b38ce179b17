// Package standin serves the platform's HTTP interfaces on loopback, backed by the fakes of internal/mock: the store, the
// workers and the operator's configuration. The scheduler's program runs against it unchanged.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/mock"
)

const (
	// heartbeatInterval is the interval at which the registry entries of all workers are written.
	heartbeatInterval = 1500 * time.Millisecond
	// headerTimeout is the maximum time for a client to send its request headers.
	headerTimeout = 5 * time.Second
	// Service is the name of the service that all workers belong to.
	Service = "s"
)

// Topics of the store that this package reads or writes.
const (
	topicOperator = "keyed.op"
	topicWorkers  = "keyed.servers"
	topicJobs     = "keyed.jobs"
)

// Platform is a simulated platform on loopback.
type Platform struct {
	// Workers are the simulated workers; their methods inject faults.
	Workers *mock.Workers

	mu     sync.Mutex
	topics map[string]*mock.Store
	fault  func(instance, call string) mock.Fault
	// entriesMu is held while registry entries are written or deleted.
	entriesMu sync.Mutex
	// addresses are those at which an instance reaches each worker, as IP:port, by instance and the worker's first id.
	addresses map[string]map[string]string
	// draining is by worker id.
	draining map[string]bool
	// partition is the instance that reaches only the workers in partitioned, which no other instance reaches; empty for none.
	partition   string
	partitioned map[string]bool
	cleanups    []func()
}

// New starts a platform with the given number of workers. Close stops it.
func New(workers int) (*Platform, error) {
	p := &Platform{topics: map[string]*mock.Store{}, addresses: map[string]map[string]string{}, draining: map[string]bool{}}
	p.Workers = mock.NewWorkers(workers, p.findJob)
	p.Workers.Register = func(string) { p.writeEntries() }
	ctx, stop := context.WithCancel(context.Background())
	p.cleanups = append(p.cleanups, stop)
	go p.heartbeat(ctx)
	return p, nil
}

// Close stops all servers and the writing of registry entries.
func (p *Platform) Close() {
	for _, cleanup := range p.cleanups {
		cleanup()
	}
}

// Serve starts the servers through which one instance reaches the store and the workers, and returns the store's address as IP:port.
func (p *Platform) Serve(instance string) (string, error) {
	addresses := map[string]string{}
	for _, entry := range p.Workers.Entries() {
		address, err := p.serve(p.workerHandler(instance, entry.ID))
		if err != nil {
			return "", err
		}
		addresses[entry.ID] = address
	}
	p.mu.Lock()
	p.addresses[instance] = addresses
	p.mu.Unlock()
	return p.serve(p.storeHandler(instance))
}

// SetPartition lets an instance reach the workers with the given first ids only, and the other instances the others only. An empty
// name ends that.
func (p *Platform) SetPartition(instance string, workers map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partition, p.partitioned = instance, workers
}

// RenewIDs makes crashed workers return under new ids at their addresses, or under their ids again.
func (p *Platform) RenewIDs(renew bool) {
	if !renew {
		p.Workers.CrashTasks(nil, 0, nil)
		return
	}
	p.Workers.CrashTasks(nil, 0, func(old, _ string) {
		p.entriesMu.Lock()
		p.Topic(topicWorkers).Put(old, nil)
		p.entriesMu.Unlock()
		p.writeEntries()
	})
}

// reaches reports whether an instance reaches the worker with a first id.
func (p *Platform) reaches(instance, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.partition == "" || (instance == p.partition) == p.partitioned[id]
}

// InjectFaults calls fault for each later call of the store to choose its fault; nil ends the faults.
func (p *Platform) InjectFaults(fault func(instance, call string) mock.Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

// chooseFault returns the fault for a call of the store, as mock.Store.InjectFaults expects it.
func (p *Platform) chooseFault(instance, call string) mock.Fault {
	p.mu.Lock()
	fault := p.fault
	p.mu.Unlock()
	if fault == nil {
		return mock.None
	}
	return fault(instance, call)
}

// Trim trims all records written so far, in all topics; the latest record of each key can still be read.
func (p *Platform) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, topic := range p.topics {
		topic.Trim()
	}
}

// SetDraining marks a worker as draining, or as ready again, and writes the registry entries.
func (p *Platform) SetDraining(id string, draining bool) {
	p.mu.Lock()
	p.draining[id] = draining
	p.mu.Unlock()
	p.writeEntries()
}

// PublishConfiguration writes one version of the operator's configuration to the store.
func (p *Platform) PublishConfiguration(version int64, queues []Queue, accounts []Account) error {
	body, err := json.Marshal(map[string]any{"Version": version, "Routes": queues, "Tenants": accounts, "Limits": map[string]int{}})
	if err != nil {
		return errors.Wrap(err, "encode the configuration")
	}
	p.Topic(topicOperator).Put("config", body)
	return nil
}

// Queue is the JSON form of a queue in the operator's configuration.
type Queue struct {
	Name, Host, PathPrefix, Service string
	Priority, MaxAttempts           int
	StretchFactor                   float64
	TargetDurationMs, TimeoutMs     int64
}

// Account is the JSON form of a client account in the operator's configuration.
type Account struct {
	Name    string
	ApiKeys []string //nolint:revive // spelling of the JSON field.
}

// SettingsText returns the TOML text of an instance's settings file. All addresses are IP:port; maxLease is the longest lease of a worker.
func SettingsText(
	name, dataCentre, storeAddress, callersAddress, readinessAddress string, metricsPort int, maxLease time.Duration,
) string {
	return fmt.Sprintf(`NodeName = %q
Zone = %q
Ip = "127.0.0.1"
InternalPorts = [%d, %d]
HeartbeatMs = %d
[Listen]
Front = %q
Readiness = %q
[Limits]
MemoryMb = 284
[Bounds]
GraceS = 6
ConfigApplyMs = 2000
LeaseMs = 3000
MaxHoldMs = %d
StopMs = 400
StableWindowMs = 3000
GangMs = 3000
RestoreMs = 250
status_s = 120
[platform]
Address = %q
`, name, dataCentre, metricsPort, metricsPort, heartbeatInterval.Milliseconds(), callersAddress, readinessAddress,
		maxLease.Milliseconds(), storeAddress)
}

// findJob returns a job as the scheduler first stored it; nil if it is not stored.
func (p *Platform) findJob(id string) *storev1.Job {
	for _, record := range p.Topic(topicJobs).Records() {
		if record.Key == "j/"+id && len(record.Value) > 0 {
			job := &storev1.Job{}
			if proto.Unmarshal(record.Value, job) == nil {
				return job
			}
		}
	}
	return nil
}

// heartbeat writes the workers' registry entries until ctx is done.
func (p *Platform) heartbeat(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		p.writeEntries()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// writeEntries writes the current registry entry of each worker to the store.
func (p *Platform) writeEntries() {
	p.entriesMu.Lock()
	defer p.entriesMu.Unlock()
	for _, entry := range p.Workers.Entries() {
		p.mu.Lock()
		state := "ready"
		if p.draining[entry.ID] {
			state = "draining"
		}
		p.mu.Unlock()
		capacity := map[string]uint32{
			"Cpu": entry.Capacity.GetCpuMillicores(), "MemMb": entry.Capacity.GetMemoryMb(), "Gpu": entry.Capacity.GetAccelerators(),
		}
		body, err := json.Marshal(map[string]any{
			"born": entry.StartedAtMs, "Service": Service, "Address": entry.Address, "Zone": "z", "State": state, "RemainingMs": 2000,
			"Capacity": capacity, "Labels": entry.Labels,
		})
		if err == nil {
			p.Topic(topicWorkers).Put(entry.ID, body)
		}
	}
}

// serve serves a handler on a free loopback port until Close, and returns the address as IP:port.
func (p *Platform) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed by Close.
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	p.cleanups = append(p.cleanups, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

func millis(value int64) time.Duration { return time.Duration(value) * time.Millisecond }
