// Command soak runs instances as processes of their own over a stand-in of the platform, harms them and what they use
// in a seeded order, and checks what callers and workers see. It ends with 1 if a promise was broken.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/alecthomas/kong"

	"github.com/dotterelgauge/dotterelgauge/test/standin"
)

const (
	// settleTime is how long the jobs have to end after the last fault.
	settleTime = 60 * time.Second
	// restTime is how long everything is left alone before the calm checks.
	restTime = 4 * time.Second
	// attempts is how often a task may fail: failing workers must not use it up in a run.
	attempts = 50
)

// options are the arguments.
type options struct {
	Seed      uint64        `help:"Seed of the faults and the load." default:"1"`
	Time      time.Duration `help:"How long faults are injected." default:"60s"`
	Program   string        `help:"The dotterelgauge program." default:"bin/dotterelgauge"`
	Instances int           `help:"Instances." default:"5"`
	Workers   int           `help:"Workers." default:"8"`
	PerSecond float64       `help:"Jobs a second." default:"3"`
	Only      []string      `help:"Inject only these faults, by name."`
	Calm      bool          `help:"Inject nothing."`
	BasePort  int           `help:"First port; each instance takes three." default:"29000"`
	Safety    bool          `help:"Print the promises with a bound in time, but leave them out of the verdict."`
	Keep      bool          `help:"Keep the directory with the logs."`
}

// soak is one run.
type soak struct {
	site      *standin.Site
	instances []*instance
	load      *load
	configs   *configs
	promises  *promises
	started   time.Time
	// process is held by a fault of a process, store by a fault of the whole store.
	process, store sync.Mutex
}

func main() {
	var given options
	kong.Parse(&given, kong.Description("Runs instances under a seeded sequence of faults and checks the promises of the system."))
	fmt.Printf("seed %d\n", given.Seed)
	if err := run(given); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func run(given options) error {
	directory, err := os.MkdirTemp("", "soak")
	if err != nil {
		return err
	}
	s := &soak{promises: newPromises(), started: time.Now()}
	s.load, s.configs = newLoad(s), &configs{site: s}
	if s.site, err = standin.New(given.Workers); err != nil {
		return err
	}
	defer s.site.Close()
	defer s.stop()
	if err := s.start(given, directory); err != nil {
		return err
	}
	s.play(given)
	if given.Keep {
		fmt.Println("logs in", directory)
	} else if err := os.RemoveAll(directory); err != nil {
		return err
	}
	return s.promises.report(given.Safety)
}

// start starts the instances.
func (s *soak) start(given options, directory string) error {
	s.configs.change()
	for n := range given.Instances {
		i, err := newInstance(s.site, given.Program, directory, n, given.BasePort+portsPerInstance*n)
		if err != nil {
			return err
		}
		if err := i.launch(); err != nil {
			return err
		}
		s.instances = append(s.instances, i)
	}
	for _, i := range s.instances {
		if err := i.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// stop ends the instances.
func (s *soak) stop() {
	for _, i := range s.instances {
		i.kill()
	}
}

// play injects faults under load, then lets the jobs end and checks everything.
func (s *soak) play(given options) {
	random := rand.New(rand.NewPCG(given.Seed, 0))
	handing, stopHanding := context.WithCancel(context.Background())
	var working sync.WaitGroup
	own := rand.New(rand.NewPCG(given.Seed, 3))
	// Callers go on to ask for their jobs after the last was handed in.
	asking, stopAsking := context.WithTimeout(context.Background(), given.Time+settleTime)
	defer stopAsking()
	working.Go(func() { s.load.run(handing, asking, own, given.PerSecond) })
	faulty, stopFaults := context.WithTimeout(context.Background(), given.Time)
	defer stopFaults()
	if given.Calm {
		<-faulty.Done()
	} else {
		s.injectAll(faulty, selected(given.Only), random)
	}
	time.Sleep(restTime)
	s.configs.watchCalm()
	stopHanding()
	working.Wait()
	s.load.running.Wait()
	for _, i := range s.instances {
		s.promises.check("programs are ready again", i.awaitReady() == nil, "%s is not", i.name)
	}
	s.judge(s.load.outcomes)
	s.summary()
}

// summary prints what was handed in.
func (s *soak) summary() {
	accepted, notRun, completed, cancelled := 0, 0, 0, 0
	for _, o := range s.load.outcomes {
		accepted += int(toInt(o.accepted))
		notRun += int(toInt(o.notRun))
		completed += int(toInt(o.state == "completed"))
		cancelled += int(toInt(o.cancelled))
	}
	fmt.Printf("%d jobs: %d accepted, %d surely not, %d completed, %d cancelled; %d tasks started\n",
		len(s.load.outcomes), accepted, notRun, completed, cancelled, len(s.site.Workers.StartedTasks()))
}
