// Command soak runs instances as separate processes against a simulated platform, injects faults into them and their
// dependencies in a seeded order, and checks what callers and workers observe. It exits with 1 if a property is violated.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/dotterelgauge/dotterelgauge/test/standin"
)

const (
	// settleTimeout is how long jobs may take to finish after the time for injecting faults. Then callers stop polling.
	settleTimeout = 60 * time.Second
	// recoveryTime is how long the instances run without faults before the check of a new configuration.
	recoveryTime = 4 * time.Second
	// maxAttempts is the MaxAttempts of all queues, high enough that failing workers don't exhaust it in one run.
	maxAttempts = 50
)

// options are the command-line flags.
type options struct {
	Seed      uint64        `help:"Seed of the faults and the load." default:"1"`
	Time      time.Duration `help:"Time for injecting faults." default:"60s"`
	Program   string        `help:"Path of the dotterelgauge program." default:"bin/dotterelgauge"`
	Instances int           `help:"Number of instances." default:"5"`
	Workers   int           `help:"Number of workers." default:"8"`
	PerSecond float64       `help:"Mean number of jobs submitted per second." default:"3"`
	Only      []string      `help:"Names of the faults to inject; all if not set."`
	Capacity  bool          `help:"Also crash workers and shrink their capacity."`
	Partition bool          `help:"Also cut the owner off together with some workers."`
	Crashes   bool          `help:"Also crash a third of the workers at once, or by turns, again and again."`
	LongTasks bool          `help:"Also submit tasks that run for longer than a takeover and the leases last."`
	Changes   bool          `help:"Also change the settings files, and return crashed workers as another kind."`
	Calm      bool          `help:"Inject no faults, or only those of --crashes."`
	BasePort  int           `help:"First port; each instance uses three." default:"29000"`
	MaxLease  time.Duration `help:"Longest lease of a worker." default:"10s"`
	Safety    bool          `help:"Print the properties with a time limit, but don't fail if they are violated."`
	Keep      bool          `help:"Keep the directory of the settings files and logs."`
}

// settleTime returns how long jobs may take to finish after the time for injecting faults: a partition outlasts that time, and a long
// task may start twice.
func (o options) settleTime() time.Duration {
	settle := settleTimeout
	if o.Partition {
		settle += maxPartition
	}
	if o.LongTasks {
		settle += 2 * 2 * longEstimateMs * time.Millisecond
	}
	return settle
}

// endTime returns when the accepted jobs must have ended, for a run that began and submitted its last job at the given times. Long tasks that
// are submitted while the faults take longer than their time are more work than the workers can do meanwhile.
func (o options) endTime(began, submitted time.Time) time.Time {
	if !o.LongTasks {
		submitted = began.Add(o.Time)
	}
	return submitted.Add(o.settleTime())
}

// soak is the state of one run.
type soak struct {
	platform   *standin.Platform
	instances  []*instance
	load       *load
	configs    *configs
	properties *properties
	started    time.Time
	// processes counts the processes that were started and haven't exited.
	processes *sync.WaitGroup
	// processMu is held during a fault of processes and storeMu during a fault of store calls, so that only one of each kind
	// is active at a time.
	processMu, storeMu sync.Mutex
}

func main() {
	var opts options
	kong.Parse(&opts, kong.Description("Runs instances under a seeded sequence of faults and checks the system's properties."))
	fmt.Printf("seed %d\n", opts.Seed)
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// run does one run and returns an error if it can't start or a property is violated.
func run(opts options) error {
	directory, err := os.MkdirTemp("", "soak")
	if err != nil {
		return err
	}
	s := &soak{properties: newProperties(), started: time.Now(), processes: &sync.WaitGroup{}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.exitOnSignal(cancel, opts, directory)
	s.load, s.configs = newLoad(s), &configs{soak: s}
	s.load.longTasks = opts.LongTasks
	if s.platform, err = standin.New(opts.Workers); err != nil {
		return err
	}
	defer s.platform.Close()
	defer s.stop()
	if err := s.start(ctx, opts, directory); err != nil {
		return err
	}
	s.runPhases(opts)
	if opts.Keep {
		fmt.Println("logs in", directory)
	} else if err := os.RemoveAll(directory); err != nil {
		return err
	}
	return s.properties.report(opts.Safety)
}

// exitOnSignal makes SIGINT and SIGTERM end the run and, with cancel, the processes of the instances, which would keep their ports.
func (s *soak) exitOnSignal(cancel func(), opts options, directory string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		received := <-signals
		cancel()
		s.processes.Wait()
		if !opts.Keep {
			_ = os.RemoveAll(directory) // the run has no result in any case
		}
		fmt.Fprintln(os.Stderr, "soak: ended by signal:", received)
		os.Exit(1)
	}()
}

// start starts the instances and waits until all are ready. The end of ctx kills them.
func (s *soak) start(ctx context.Context, opts options, directory string) error {
	s.configs.publish()
	for n := range opts.Instances {
		inst, err := newInstance(s.platform, opts.Program, directory, n, opts.BasePort+portsPerInstance*n, opts.MaxLease)
		if err != nil {
			return err
		}
		inst.ctx, inst.processes = ctx, s.processes
		if err := inst.launch(); err != nil {
			return err
		}
		s.instances = append(s.instances, inst)
	}
	for _, inst := range s.instances {
		if err := inst.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// stop kills the instances.
func (s *soak) stop() {
	for _, inst := range s.instances {
		inst.kill()
	}
}

// runPhases injects faults under load, then waits for the jobs to finish and checks all properties.
func (s *soak) runPhases(opts options) {
	random := rand.New(rand.NewPCG(opts.Seed, 0))
	submitting, stopSubmitting := context.WithCancel(context.Background())
	var loadRunning sync.WaitGroup
	loadRandom := rand.New(rand.NewPCG(opts.Seed, 3))
	// Callers keep polling their jobs after the last job is submitted.
	polling, stopPolling := context.WithCancel(context.Background())
	defer stopPolling()
	began := time.Now()
	loadRunning.Go(func() { s.load.run(submitting, polling, loadRandom, opts.PerSecond) })
	faultPhase, stopFaults := context.WithTimeout(context.Background(), opts.Time)
	defer stopFaults()
	var crashing sync.WaitGroup
	if opts.Crashes {
		crashRandom := rand.New(rand.NewPCG(opts.Seed, 4))
		crashing.Go(func() { s.injectAll(faultPhase, slices.Clone(crashFaults), 1, crashRandom) })
	}
	if opts.Changes {
		changeRandom := rand.New(rand.NewPCG(opts.Seed, 5))
		crashing.Go(func() { s.injectAll(faultPhase, slices.Clone(changeFaults), 1, changeRandom) })
	}
	if opts.Calm {
		<-faultPhase.Done()
	} else {
		s.injectAll(faultPhase, selectFaults(opts.Only, opts.Capacity, opts.Partition), maxActiveFaults, random)
	}
	crashing.Wait()
	time.Sleep(recoveryTime)
	s.configs.checkWithoutFaults()
	stopSubmitting()
	loadRunning.Wait()
	time.AfterFunc(time.Until(opts.endTime(began, time.Now())), stopPolling)
	var watching sync.WaitGroup
	watching.Go(func() {
		time.Sleep(standingFrom)
		s.checkStanding(polling)
	})
	s.load.callers.Wait()
	stopPolling()
	watching.Wait()
	for _, inst := range s.instances {
		s.properties.check("instances are ready after the faults", inst.awaitReady() == nil, "%s is not ready", inst.name)
	}
	s.checkOutcomes(s.load.outcomes)
	s.printSummary()
}

// printSummary prints how many jobs were submitted and what became of them.
func (s *soak) printSummary() {
	accepted, rejected, completed, cancelled := 0, 0, 0, 0
	for _, o := range s.load.outcomes {
		accepted += int(boolToInt(o.accepted))
		rejected += int(boolToInt(o.rejected))
		completed += int(boolToInt(o.state == "completed"))
		cancelled += int(boolToInt(o.cancelled))
	}
	fmt.Printf("%.1f s: %d jobs: %d accepted, %d rejected, %d completed, %d cancelled; %d tasks started\n",
		time.Since(s.started).Seconds(), len(s.load.outcomes), accepted, rejected, completed, cancelled, len(s.platform.Workers.StartedTasks()))
}
