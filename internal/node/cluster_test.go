package node_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/config"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/mock"
	"github.com/dotterelgauge/dotterelgauge/internal/node"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

const lease = 6 * time.Second

// cluster is instances over one store and one set of workers, in virtual time.
type cluster struct {
	t        *testing.T
	store    *mock.Store
	registry *mock.Store
	workers  *mock.Workers
	nodes    map[string]*node.Node
	cancels  map[string]context.CancelFunc
	// mu guards what stand-ins ask for.
	mu sync.Mutex
	// advisor, if set, advises the instances on the queue of priority 1.
	advisor worker.Advisor
	// machines have the waves of upkeep that instances read at their start.
	machines worker.Machines
	waves    []config.Wave
	status   *mock.Store
	// cores are the processors of the instances; 0 if none is named.
	cores map[string]float64
	down  map[string]bool
	jobs  map[string]*storev1.Job
}

// run calls test with a cluster of instances i0, i1, ... that is ready, and checks the workers' promises at the end.
func run(t *testing.T, instances, workers int, test func(c *cluster)) {
	t.Helper()
	runAdvised(t, instances, workers, nil, test)
}

func runAdvised(t *testing.T, instances, workers int, advisor worker.Advisor, test func(c *cluster)) {
	t.Helper()
	runSized(t, make([]float64, instances), workers, advisor, test)
}

// runSized is run with instances that have so many cores each.
func runSized(t *testing.T, cores []float64, workers int, advisor worker.Advisor, test func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t: t, store: mock.NewStore(), status: mock.NewStore(), registry: mock.NewStore(), nodes: map[string]*node.Node{}, cores: map[string]float64{},
			advisor: advisor, cancels: map[string]context.CancelFunc{}, down: map[string]bool{}, jobs: map[string]*storev1.Job{},
		}
		c.workers = mock.NewWorkers(workers, func(id string) *storev1.Job {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.jobs[id]
		})
		for _, entry := range c.workers.Entries() {
			c.registry.Put(entry.ID, []byte(entry.ID))
		}
		c.inject(nil)
		for i := range cores {
			name := fmt.Sprintf("i%d", i)
			c.cores[name] = cores[i]
			c.startNode(name)
		}
		time.Sleep(3 * time.Second)
		test(c)
		for _, cancel := range c.cancels {
			cancel()
		}
		synctest.Wait()
		time.Sleep(time.Minute)
		for _, violation := range c.workers.Violations() {
			t.Error(violation)
		}
		c.checkOwners()
	})
}

// operatorReader puts one configuration into force.
type operatorReader struct{ holder *config.Holder }

func (r operatorReader) Apply([]storelog.Record) {}

func (r operatorReader) Ready() { r.holder.Set(testConfig()) }

func testConfig() *config.Configuration {
	queue := func(priority uint32) config.Queue {
		return config.Queue{
			Name: fmt.Sprintf("q%d", priority), Host: "h", PathPrefix: fmt.Sprintf("/q%d/", priority), Service: "s", Priority: priority,
			MaxAttempts: 2, StretchFactor: 3, TargetDuration: time.Second, Timeout: 3 * time.Second,
		}
	}
	advised := queue(1)
	advised.Advisor = &config.AdvisorTiming{BaseTime: 50 * time.Millisecond, TimePerWorker: 10 * time.Millisecond, ValidFor: 2 * time.Second}
	return &config.Configuration{
		Version: 1, Queues: []config.Queue{queue(0), advised, queue(2)},
		Accounts: map[string]config.Account{
			"acme": {Name: "acme", Keys: []string{"key"}, GuaranteedAccelerators: 16}, "other": {Name: "other", Keys: []string{"other key"}},
		},
	}
}

// startNode starts an instance, also one that was stopped before.
func (c *cluster) startNode(name string) {
	started := node.New(node.Settings{
		Name: name, Cores: c.cores[name], TakeoverDelay: 3 * time.Second, MaxLease: lease, ConfigApplyTime: 2 * time.Second, StopDuration: time.Second, GangWait: 3 * time.Second, RestoreDuration: 250 * time.Millisecond,
		Retention: time.Minute, GracePeriod: 6 * time.Second,
	}, node.Platform{
		Jobs: c.store.For(name), Operator: mock.NewStore().For(name), Registry: c.registry.For(name), Workers: c.workers, Advisor: c.advisor,
		DecodeWorker: func(record storelog.Record) (worker.RegistryEntry, bool) {
			id, notice, draining := strings.Cut(string(record.Value), " leaves in ")
			entry, known := c.entry(id)
			if draining {
				entry.Draining = true
				entry.Remaining, _ = time.ParseDuration(notice)
			}
			return entry, known
		},
		Machines: c.machines, UpkeepStatus: c.status.For(name),
		EncodeWaveStatus: func(number int64, state replica.WaveState) storelog.Record {
			return storelog.Record{Key: fmt.Sprint(number), Value: []byte{byte(state)}}
		},
		NewOperatorReader: func(holder *config.Holder, waves *config.Waves) storelog.Reader {
			for _, wave := range c.waves {
				wave.FirstSeen = time.Now()
				waves.Set(wave)
			}
			return operatorReader{holder}
		},
	}, events.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	c.nodes[name], c.cancels[name] = started, cancel
	c.setDown(name, false)
	go started.Work(ctx, ctx)
}

// entry returns a worker's entry.
func (c *cluster) entry(id string) (worker.RegistryEntry, bool) {
	for _, entry := range c.workers.Entries() {
		if entry.ID == id {
			return entry, true
		}
	}
	return worker.RegistryEntry{}, false
}

// inject lets fault decide on calls of the store; calls of instances that are down get no answer.
func (c *cluster) inject(fault func(instance, call string) mock.Fault) {
	c.store.Inject(func(instance, call string) mock.Fault {
		c.mu.Lock()
		down := c.down[instance]
		c.mu.Unlock()
		if down {
			return mock.Silent
		}
		if fault == nil {
			return mock.None
		}
		return fault(instance, call)
	})
}

// kill ends an instance without a word.
func (c *cluster) kill(name string) {
	c.setDown(name, true)
	c.cancels[name]()
	delete(c.nodes, name)
}

func (c *cluster) setDown(name string, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[name] = down
}

// checkOwners checks that no epoch was claimed twice, and that nobody wrote as owner after a later claim.
func (c *cluster) checkOwners() {
	claims, newest := map[uint64]string{}, uint64(0)
	for _, record := range c.store.Records() {
		if record.Key != "owner" {
			continue
		}
		owner := &storev1.Owner{}
		if err := proto.Unmarshal(record.Value, owner); err != nil {
			c.t.Error(err)
			continue
		}
		if known, ok := claims[owner.GetEpoch()]; ok && known != owner.GetClaim() {
			c.t.Errorf("epoch %d was claimed twice", owner.GetEpoch())
		}
		if owner.GetEpoch() < newest {
			c.t.Errorf("epoch %d is written after epoch %d", owner.GetEpoch(), newest)
		}
		claims[owner.GetEpoch()], newest = owner.GetClaim(), max(newest, owner.GetEpoch())
	}
}

// owners returns the claims and releases of the ownership in their order.
func (c *cluster) owners() []string {
	var owners []string
	for _, record := range c.store.Records() {
		owner := &storev1.Owner{}
		if record.Key != "owner" || proto.Unmarshal(record.Value, owner) != nil {
			continue
		}
		line := fmt.Sprintf("%s:%d", owner.GetInstance(), owner.GetEpoch())
		if owner.GetReleased() {
			line += " released"
		}
		if len(owners) == 0 || owners[len(owners)-1] != line {
			owners = append(owners, line)
		}
	}
	return owners
}

// owner returns the name of the instance that owns the orders.
func (c *cluster) owner() string {
	for range 100 {
		for name, instance := range c.nodes {
			if instance.Epoch() > 0 {
				return name
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatal("no instance owns the orders after 10 s")
	return ""
}

// id returns the id of the n-th job of a test.
func id(n int) string { return fmt.Sprintf("%016x", n) }

// tasks returns a step of like tasks.
func tasks(count, accelerators uint32, takes time.Duration) *storev1.Step {
	return &storev1.Step{
		Count: count, EstimateMs: takes.Milliseconds(),
		Need: &storev1.Resources{CpuMillicores: 1000, MemoryMb: 1024, Accelerators: accelerators},
	}
}

func gangOf(count, accelerators uint32, takes time.Duration) *storev1.Step {
	step := tasks(count, accelerators, takes)
	step.Gang = true
	return step
}

func (c *cluster) call(n int, priority uint32, via string) (gateway.AdmittedCall, *gateway.Gateway) {
	c.t.Helper()
	gate := c.nodes[via].Gateway()
	admitted, answer := gate.Admit(gateway.Call{Host: "h", Path: fmt.Sprintf("/q%d/%s", priority, id(n)), Key: "key"})
	if answer.Result != gateway.OK {
		c.t.Fatalf("job %d is not admitted: %+v", n, answer)
	}
	return admitted, gate
}

// submit hands a job in and returns the answer.
func (c *cluster) submit(n int, priority uint32, via string, steps ...*storev1.Step) gateway.Answer {
	c.t.Helper()
	admitted, gate := c.call(n, priority, via)
	job := &storev1.Job{Spec: "spec", Steps: steps}
	c.mu.Lock()
	c.jobs[id(n)] = job
	c.mu.Unlock()
	return gate.Submit(context.Background(), admitted, job)
}

// state asks an instance for a job's state.
func (c *cluster) state(n int, priority uint32, via string) replica.State {
	c.t.Helper()
	admitted, gate := c.call(n, priority, via)
	state, _ := gate.State(context.Background(), admitted)
	return state
}

// await waits until an instance shows a job in a state.
func (c *cluster) await(n int, priority uint32, want replica.State, limit time.Duration) {
	c.t.Helper()
	deadline := time.Now().Add(limit)
	var last replica.State
	for time.Now().Before(deadline) {
		if last = c.state(n, priority, c.any()); last == want {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Errorf("job %d is in state %d after %v, want %d", n, last, limit, want)
}

// any returns the name of an instance that runs, the same each time.
func (c *cluster) any() string {
	first := ""
	for name := range c.nodes {
		if first == "" || name < first {
			first = name
		}
	}
	return first
}
