// Package standin serves the platform's protocol on loopback, over the stand-ins of internal/mock: the store, the workers
// and what the operator writes. Real programs run against it as they run against the platform.
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
	// heartbeat spaces the entries that workers write of themselves.
	heartbeat = 1500 * time.Millisecond
	// headerTimeout bounds how long a client may take to send its headers.
	headerTimeout = 5 * time.Second
	// Service is the service of all workers.
	Service = "s"
)

// Topics of the store that others than the scheduler write.
const (
	topicOperator = "keyed.op"
	topicWorkers  = "keyed.servers"
	topicJobs     = "keyed.jobs"
)

// Site is a platform on loopback.
type Site struct {
	Workers *mock.Workers

	mu     sync.Mutex
	topics map[string]*mock.Store
	fault  func(instance, call string) mock.Fault
	// places are the addresses of the workers.
	places   map[string]string
	draining map[string]bool
	stops    []func()
}

// New starts a site with some workers. Close ends it.
func New(workers int) (*Site, error) {
	s := &Site{topics: map[string]*mock.Store{}, places: map[string]string{}, draining: map[string]bool{}}
	s.Workers = mock.NewWorkers(workers, s.job)
	for _, entry := range s.Workers.Entries() {
		address, err := s.serve(s.workerHandler(entry.ID))
		if err != nil {
			return nil, err
		}
		s.places[entry.ID] = address
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stops = append(s.stops, stop)
	go s.beat(ctx)
	return s, nil
}

// Close ends the site.
func (s *Site) Close() {
	for _, stop := range s.stops {
		stop()
	}
}

// StoreFor returns the address at which one instance reaches the store.
func (s *Site) StoreFor(instance string) (string, error) { return s.serve(s.storeHandler(instance)) }

// Inject lets fault decide the fate of each later call of the store.
func (s *Site) Inject(fault func(instance, call string) mock.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

func (s *Site) fate(instance, call string) mock.Fault {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault == nil {
		return mock.None
	}
	return fault(instance, call)
}

// Trim lets the store forget all records but the newest of each key.
func (s *Site) Trim() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, topic := range s.topics {
		topic.Trim()
	}
}

// Drain lets a worker say that it leaves, or that it stays after all.
func (s *Site) Drain(id string, draining bool) {
	s.mu.Lock()
	s.draining[id] = draining
	s.mu.Unlock()
	s.report()
}

// Publish writes a version of the operator's configuration.
func (s *Site) Publish(version int64, queues []Queue, accounts []Account) error {
	body, err := json.Marshal(map[string]any{"Version": version, "Routes": queues, "Tenants": accounts, "Limits": map[string]int{}})
	if err != nil {
		return errors.Wrap(err, "encode the configuration")
	}
	s.Topic(topicOperator).Put("config", body)
	return nil
}

// Queue is a queue of the operator's configuration.
type Queue struct {
	Name, Host, PathPrefix, Service string
	Priority, MaxAttempts           int
	StretchFactor                   float64
	TargetDurationMs, TimeoutMs     int64
}

// Account is an account of the operator's configuration.
type Account struct {
	Name    string
	ApiKeys []string //nolint:revive // the wire's spelling.
}

// Settings returns an instance's settings file.
func Settings(name, dataCentre, store, callers, readiness string, metricsPort int) string {
	return fmt.Sprintf(`NodeName = %q
Zone = %q
Ip = "127.0.0.1"
InternalPorts = [%d, %d]
[Listen]
Front = %q
Readiness = %q
[Limits]
MemoryMb = 284
[Bounds]
GraceS = 6
ConfigApplyMs = 2000
LeaseMs = 3000
MaxHoldMs = 10000
StopMs = 400
GangMs = 3000
RestoreMs = 250
status_s = 120
[platform]
Address = %q
`, name, dataCentre, metricsPort, metricsPort, callers, readiness, store)
}

// job looks a job up in what the scheduler stored.
func (s *Site) job(id string) *storev1.Job {
	for _, record := range s.Topic(topicJobs).Records() {
		if record.Key == "j/"+id && len(record.Value) > 0 {
			job := &storev1.Job{}
			if proto.Unmarshal(record.Value, job) == nil {
				return job
			}
		}
	}
	return nil
}

// beat writes the workers' entries until ctx ends.
func (s *Site) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		s.report()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// report writes an entry for each worker.
func (s *Site) report() {
	for _, entry := range s.Workers.Entries() {
		s.mu.Lock()
		state := "ready"
		if s.draining[entry.ID] {
			state = "draining"
		}
		address := s.places[entry.ID]
		s.mu.Unlock()
		capacity := map[string]uint32{
			"Cpu": entry.Capacity.GetCpuMillicores(), "MemMb": entry.Capacity.GetMemoryMb(), "Gpu": entry.Capacity.GetAccelerators(),
		}
		body, err := json.Marshal(map[string]any{
			"Service": Service, "Address": address, "Zone": "z", "State": state, "RemainingMs": 2000, "Capacity": capacity, "Labels": entry.Labels,
		})
		if err == nil {
			s.Topic(topicWorkers).Put(entry.ID, body)
		}
	}
}

// serve serves a handler on a free port until the site is closed.
func (s *Site) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // Ended by Close.
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }() // ends with Close
	s.stops = append(s.stops, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

func milliseconds(value int64) time.Duration { return time.Duration(value) * time.Millisecond }
