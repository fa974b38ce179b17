package node_test

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/config"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/mock"
	"github.com/dotterelgauge/dotterelgauge/internal/node"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// lease is the longest lease that the workers grant.
const lease = 6 * time.Second

// cluster is a set of instances that share one mock store and one set of mock workers, in virtual time.
type cluster struct {
	t        *testing.T
	store    *mock.Store
	registry *mock.Store
	operator *mock.Store
	workers  *mock.Workers
	nodes    map[string]*node.Node
	cancels  map[string]context.CancelFunc
	// mu guards down and jobs, which the mocks read.
	mu sync.Mutex
	// advisor, if set, is the advisor of the queue with priority 1, and with urgentAdvice also of that with priority 0.
	advisor      worker.Advisor
	urgentAdvice bool
	// machines, if set, carry out the waves of upkeep that instances read when they start, or later from waveHolders.
	machines    worker.Machines
	waves       []config.Wave
	waveHolders map[string]*config.Waves
	// upkeepStatus holds the state of the waves.
	upkeepStatus *mock.Store
	// planner, if set, makes the plans of the instances that start after it was set.
	planner func(*assign.Snapshot) assign.Plan
	// cores are the instances' numbers of processor cores; 0 for unknown.
	cores map[string]float64
	// capacityGrace is the instances' setting.
	capacityGrace time.Duration
	// maxLease is the longest lease that the workers grant; 0 for lease.
	maxLease time.Duration
	// declaredDurations is the setting of the instances that start after it was set.
	declaredDurations bool
	// down are the instances that get no answer from the store, and cut the workers that an instance can't reach.
	down map[string]bool
	cut  map[string]map[string]bool
	// entries are the registry entries that register has written.
	entries []worker.RegistryEntry
	// jobs are the submitted jobs by id.
	jobs map[string]*storev1.Job
	// peers, if set, connects the instances, which then forward calls.
	peers *peerNetwork
}

// run calls test with a cluster whose instances i0, i1, ... are ready. Afterwards it checks that the scheduler broke none
// of the rules that the mock workers check, and that owners' records are consistent.
func run(t *testing.T, instances, workers int, test func(c *cluster)) {
	t.Helper()
	runWithAdvisor(t, instances, workers, nil, test)
}

// runWithAdvisor is run with an advisor; nil for none.
func runWithAdvisor(t *testing.T, instances, workers int, advisor worker.Advisor, test func(c *cluster)) {
	t.Helper()
	runWithCores(t, make([]float64, instances), workers, advisor, test)
}

// runWithCores is runWithAdvisor with one instance for each number of cores.
func runWithCores(t *testing.T, cores []float64, workers int, advisor worker.Advisor, test func(c *cluster)) {
	t.Helper()
	runCluster(t, cores, workers, &cluster{advisor: advisor}, test)
}

// runWithCapacityGrace is run with one instance that has the setting.
func runWithCapacityGrace(t *testing.T, workers int, grace time.Duration, test func(c *cluster)) {
	t.Helper()
	runCluster(t, make([]float64, 1), workers, &cluster{capacityGrace: grace}, test)
}

// runCluster is run with one instance for each number of cores and with the advisor and the setting of options.
func runCluster(t *testing.T, cores []float64, workers int, options *cluster, test func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t: t, store: mock.NewStore(), upkeepStatus: mock.NewStore(), registry: mock.NewStore(), operator: mock.NewStore(),
			nodes: map[string]*node.Node{}, cores: map[string]float64{}, advisor: options.advisor, urgentAdvice: options.urgentAdvice, capacityGrace: options.capacityGrace, maxLease: options.maxLease, peers: options.peers,
			cancels: map[string]context.CancelFunc{}, down: map[string]bool{}, cut: map[string]map[string]bool{},
			jobs: map[string]*storev1.Job{}, waveHolders: map[string]*config.Waves{},
		}
		c.workers = mock.NewWorkers(workers, func(id string) *storev1.Job {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.jobs[id]
		})
		c.workers.MaxLease = cmp.Or(c.maxLease, lease)
		c.workers.Register = c.register
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

// register writes the registry entry that a worker has now. A value that is only an id stands for the entry when it is read.
func (c *cluster) register(id string) {
	entry, known := c.entry(id)
	if !known {
		return
	}
	c.mu.Lock()
	c.entries = append(c.entries, entry)
	value := fmt.Sprintf("entry %d", len(c.entries)-1)
	c.mu.Unlock()
	c.registry.Put(id, []byte(value))
}

// recordedEntry returns the entry that register has written as the value.
func (c *cluster) recordedEntry(value string) (worker.RegistryEntry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var index int
	if _, err := fmt.Sscanf(value, "entry %d", &index); err != nil {
		return worker.RegistryEntry{}, false
	}
	return c.entries[index], true
}

// operatorReader puts testConfig into force.
type operatorReader struct {
	holder       *config.Holder
	evacuations  *config.Evacuations
	urgentAdvice bool
	// key, if set, replaces the key of the account acme.
	key string
}

// keyRecord is the key of the record that replaces the key of the account acme.
const keyRecord = "key of acme"

// Apply takes each other key as the data centre to evacuate while the record has a value.
func (r *operatorReader) Apply(records []storelog.Record) {
	for _, record := range records {
		if record.Key == keyRecord {
			r.key = string(record.Value)
			continue
		}
		r.evacuations.Set(record.Key, len(record.Value) > 0)
	}
}

func (r *operatorReader) Ready() {
	configuration := testConfig()
	if r.key != "" {
		configuration.Version++
		configuration.Accounts["acme"] = config.Account{Name: "acme", Keys: []string{r.key}, GuaranteedAccelerators: 16}
	}
	if r.urgentAdvice {
		configuration.Queues[0].Advisor = configuration.Queues[1].Advisor
	}
	r.holder.Set(configuration)
}

func testConfig() *config.Configuration {
	queue := func(priority uint32) config.Queue {
		return config.Queue{
			Name: fmt.Sprintf("q%d", priority), Host: "h", PathPrefix: fmt.Sprintf("/q%d/", priority), Service: "s", Priority: priority,
			MaxAttempts: 2, StretchFactor: 3, TargetDuration: time.Second, Timeout: 3 * time.Second,
		}
	}
	withAdvisor := queue(1)
	withAdvisor.Advisor = &config.AdvisorTiming{
		BaseTime: 50 * time.Millisecond, TimePerWorker: 10 * time.Millisecond, ValidFor: 2 * time.Second,
	}
	public := queue(3)
	public.Public = true
	return &config.Configuration{
		Version: 1, Queues: []config.Queue{queue(0), withAdvisor, queue(2), public},
		Accounts: map[string]config.Account{
			"acme":  {Name: "acme", Keys: []string{"key"}, GuaranteedAccelerators: 16},
			"other": {Name: "other", Keys: []string{"other key"}},
		},
	}
}

// startNode starts an instance, or restarts one that was stopped.
func (c *cluster) startNode(name string) {
	started := node.New(node.Settings{
		Name: name, Cores: c.cores[name], TakeoverDelay: 3 * time.Second, MaxLease: c.workers.MaxLease, ConfigApplyTime: 2 * time.Second,
		StopDuration: time.Second, GangWait: 3 * time.Second, RestoreDuration: 250 * time.Millisecond, CapacityGrace: c.capacityGrace,
		Retention: time.Minute, GracePeriod: 6 * time.Second, DeclaredDurations: c.declaredDurations, PeersAddress: c.peers.address(name),
	}, node.Platform{
		Jobs: c.store.ForInstance(name), Operator: c.operator.ForInstance(name), Registry: c.registry.ForInstance(name),
		Workers: reachableWorkers{c, name}, Advisor: c.advisor,
		DecodeWorker: func(record storelog.Record) (worker.RegistryEntry, bool) {
			if entry, ok := c.recordedEntry(string(record.Value)); ok {
				return entry, true
			}
			id, address, foreign := strings.Cut(string(record.Value), " at ")
			id, remaining, draining := strings.Cut(id, " leaves in ")
			entry, known := c.entry(id)
			if foreign {
				entry.Address, entry.Service = address, "other"
			}
			if draining {
				entry.Draining = true
				entry.Remaining, _ = time.ParseDuration(remaining)
			}
			return entry, known
		},
		Machines: c.machines, UpkeepStatus: c.upkeepStatus.ForInstance(name),
		EncodeWaveStatus: func(number int64, state replica.WaveState) storelog.Record {
			return storelog.Record{Key: fmt.Sprint(number), Value: []byte{byte(state)}}
		},
		NewOperatorReader: func(holder *config.Holder, waves *config.Waves, evacuations *config.Evacuations) storelog.Reader {
			c.waveHolders[name] = waves
			for _, wave := range c.waves {
				wave.FirstSeen = time.Now()
				waves.Set(wave)
			}
			return &operatorReader{holder: holder, evacuations: evacuations, urgentAdvice: c.urgentAdvice}
		},
	}, events.Discard(), c.options()...)
	ctx, cancel := context.WithCancel(context.Background())
	c.nodes[name], c.cancels[name] = started, cancel
	c.setDown(name, false)
	go started.RunBackground(ctx, ctx)
}

// options returns the options of the instances.
func (c *cluster) options() []node.Option {
	var options []node.Option
	if c.planner != nil {
		options = append(options, node.WithPlanner(c.planner))
	}
	if c.peers != nil {
		options = append(options, node.WithPeerListener(c.peers.listen))
	}
	return options
}

// entry returns a worker's entry in the registry; false if there is no such worker.
func (c *cluster) entry(id string) (worker.RegistryEntry, bool) {
	for _, entry := range c.workers.Entries() {
		if entry.ID == id {
			return entry, true
		}
	}
	return worker.RegistryEntry{}, false
}

// inject lets fault choose the fault of each call of the store; nil for none. Calls of instances that are down always get
// no answer.
func (c *cluster) inject(fault func(instance, call string) mock.Fault) {
	c.store.InjectFaults(func(instance, call string) mock.Fault {
		c.mu.Lock()
		down := c.down[instance]
		c.mu.Unlock()
		if down {
			return mock.DropRequest
		}
		if fault == nil {
			return mock.None
		}
		return fault(instance, call)
	})
}

// injectFor lets all calls of one instance to the store have a fault.
func (c *cluster) injectFor(faulty string, fault mock.Fault) {
	c.inject(func(instance, _ string) mock.Fault {
		if instance == faulty {
			return fault
		}
		return mock.None
	})
}

// requireOneOwner checks that exactly one instance considers itself the owner.
func (c *cluster) requireOneOwner() {
	c.t.Helper()
	owners := 0
	for _, instance := range c.nodes {
		if instance.Epoch() > 0 {
			owners++
		}
	}
	if owners != 1 {
		c.t.Errorf("%d instances consider themselves the owner, want 1", owners)
	}
}

// kill stops an instance and cuts it off from the store, so that it can't release its ownership.
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

// checkOwners checks that no epoch was claimed twice, and that no owner wrote its record after a claim with a higher epoch.
func (c *cluster) checkOwners() {
	claims, highest := map[uint64]string{}, uint64(0)
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
		if owner.GetEpoch() < highest {
			c.t.Errorf("epoch %d was written after epoch %d", owner.GetEpoch(), highest)
		}
		claims[owner.GetEpoch()], highest = owner.GetClaim(), max(highest, owner.GetEpoch())
	}
}

// owners returns the owners and releases in the store in order, each as instance:epoch.
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

// owner returns the name of the owner, and fails the test if there is none within 10 s.
func (c *cluster) owner() string {
	for range 100 {
		for name, instance := range c.nodes {
			if instance.Epoch() > 0 {
				return name
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatal("no instance is the owner after 10 s")
	return ""
}

// id returns the id of the n-th job of a test.
func id(n int) string { return fmt.Sprintf("%016x", n) }

// tasks returns a step of count independent tasks with the same needs and duration.
func tasks(count, accelerators uint32, duration time.Duration) *storev1.Step {
	return &storev1.Step{
		Count: count, EstimateMs: duration.Milliseconds(),
		Need: &storev1.Resources{CpuMillicores: 1000, MemoryMb: 1024, Accelerators: accelerators},
	}
}

// gang returns a step whose count tasks start together.
func gang(count, accelerators uint32, duration time.Duration) *storev1.Step {
	step := tasks(count, accelerators, duration)
	step.Gang = true
	return step
}

// admit admits a call for the n-th job at an instance.
func (c *cluster) admit(n int, priority uint32, via string) (gateway.AdmittedCall, *gateway.Gateway) {
	c.t.Helper()
	gw := c.nodes[via].Gateway()
	admitted, answer := gw.Admit(gateway.Call{Host: "h", Path: fmt.Sprintf("/q%d/%s", priority, id(n)), Key: "key"})
	if answer.Result != gateway.OK {
		c.t.Fatalf("job %d is not admitted: %+v", n, answer)
	}
	return admitted, gw
}

// submit submits the n-th job through an instance and returns the answer.
func (c *cluster) submit(n int, priority uint32, via string, steps ...*storev1.Step) gateway.Answer {
	c.t.Helper()
	admitted, gw := c.admit(n, priority, via)
	job := &storev1.Job{Spec: "spec", Steps: steps}
	c.mu.Lock()
	c.jobs[id(n)] = job
	c.mu.Unlock()
	return gw.Submit(context.Background(), admitted, job)
}

// state returns a job's state as an instance reports it.
func (c *cluster) state(n int, priority uint32, via string) replica.State {
	c.t.Helper()
	admitted, gw := c.admit(n, priority, via)
	state, _ := gw.State(context.Background(), admitted)
	return state
}

// await waits until an instance reports a job in the wanted state, and fails the test after the limit.
func (c *cluster) await(n int, priority uint32, want replica.State, limit time.Duration) {
	c.t.Helper()
	deadline := time.Now().Add(limit)
	var last replica.State
	for time.Now().Before(deadline) {
		if last = c.state(n, priority, c.runningInstance()); last == want {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Errorf("job %d is in state %d after %v, want %d", n, last, limit, want)
}

// runningInstance returns the name of the first instance that is running.
func (c *cluster) runningInstance() string {
	first := ""
	for name := range c.nodes {
		if first == "" || name < first {
			first = name
		}
	}
	return first
}
