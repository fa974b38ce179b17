package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/dotterelgauge/dotterelgauge/api/client"
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/logservice"
	"github.com/dotterelgauge/dotterelgauge/internal/trial"
)

// Layout of the site.
const (
	basePort       = 29000
	callersPort    = 29100
	operatorsPort  = 29200
	peersPort      = 29300
	instanceCount  = 5
	workersPerRack = 4
	leaseTerm      = 3 * time.Second
	account        = "Settlement"
	callerToken    = "caller-token-of-the-faults"
	operatorToken  = "operator-token-of-the-faults"
	readyTimeout   = 20 * time.Second
	readyPoll      = 100 * time.Millisecond
)

var dataCentres = []string{"perth-1", "perth-2"}

const sheetCSV = "kind,account,data_centre,members,accelerators,adjacency,count,weight\n" +
	"account,Settlement,,,,,,200\naccount,Reports,,,,,,%d\n" +
	"guarantee,Settlement,perth-1,2,8,rack,1,\n"

var errNotReady = errors.New("an instance does not become ready: look at its log with --keep")

// instance is one process.
type instance struct {
	number    int
	process   *exec.Cmd
	callers   string
	operators string
}

// site is the stand-ins and the instances of one run.
type site struct {
	ctx       context.Context
	program   string
	directory string
	log       *logservice.Service
	listAddr  string
	workers   []*apiv1.Worker
	instances []*instance
	config    *trial.ConfigWatch
	drains    *trial.Invariant
	leaving   *trial.Invariant

	mu sync.Mutex
	// faulty are the times in which the log was faulty or an instance cut off.
	faulty []span
}

// span is a stretch of time in which the instance of an operators' address, or with "" the log, was faulty.
// A zero end means that it lasts.
type span struct {
	address  string
	from, to time.Time
}

// newSite returns a site that has not started.
func newSite(ctx context.Context, given options) (*site, error) {
	directory, err := os.MkdirTemp("", "faults")
	if err != nil {
		return nil, errors.Wrap(err, "make a working directory")
	}
	return &site{
		ctx:       ctx,
		program:   given.Program,
		directory: directory,
		log:       logservice.New(logservice.Options{Retention: time.Hour, Seed: given.Seed}),
		config:    &trial.ConfigWatch{},
		drains:    &trial.Invariant{Name: "a graceful shutdown ends in order"},
		leaving:   &trial.Invariant{Name: "a leaving worker gets nothing new after 3 s"},
	}, nil
}

// start starts everything and applies the first sheet.
func (s *site) start() error {
	if err := s.startPlatform(); err != nil {
		return err
	}
	for number := range instanceCount {
		i := &instance{
			number:    number,
			callers:   fmt.Sprintf("127.0.0.1:%d", callersPort+number),
			operators: fmt.Sprintf("127.0.0.1:%d", operatorsPort+number),
		}
		if err := s.startInstance(i); err != nil {
			return err
		}
		s.instances = append(s.instances, i)
	}
	for _, i := range s.instances {
		if err := s.awaitReady(i); err != nil {
			return err
		}
		go s.config.Watch(s.ctx, i.operators, operatorToken)
	}
	revision, err := s.applySheet(s.instances[0], 0, 1)
	if err != nil {
		return err
	}
	s.config.Accepted(revision, s.instances[0].operators)
	return nil
}

// startPlatform runs the stand-ins in this process.
func (s *site) startPlatform() error {
	var listed []*apiv1.Instance
	for number := range instanceCount {
		listed = append(listed, &apiv1.Instance{
			Name:        instanceName(number),
			DataCentre:  dataCentres[number%len(dataCentres)],
			PeerAddress: fmt.Sprintf("127.0.0.1:%d", peersPort+number),
			Presence:    apiv1.Presence_PRESENCE_LIVE,
			Weight:      uint32(50 + 25*number), //nolint:gosec // Small.
		})
	}
	ready := make(chan standin.Addresses, 1)
	failed := make(chan error, 1)
	options := standin.Options{
		Log:       s.log.Handler(),
		BasePort:  basePort,
		UsageLag:  time.Second,
		ListLag:   2 * time.Second,
		Instances: listed,
		Ready:     func(addresses standin.Addresses) { ready <- addresses },
	}
	for _, name := range dataCentres {
		options.Sites = append(options.Sites, standin.Site{
			DataCentre: name, Racks: 1, WorkersPerRack: workersPerRack, Speeds: []uint32{1000, 700, 1300},
		})
	}
	go func() { failed <- standin.Run(s.ctx, options) }()
	select {
	case addresses := <-ready:
		s.listAddr = addresses.InstanceList
		s.workers = addresses.Workers
		return nil
	case err := <-failed:
		return err
	}
}

func instanceName(number int) string {
	return fmt.Sprintf("i%d", number)
}

// startInstance starts the process of an instance.
func (s *site) startInstance(i *instance) error {
	settings := filepath.Join(s.directory, instanceName(i.number)+".toml")
	if err := os.WriteFile(settings, []byte(s.settings(i)), 0o600); err != nil {
		return errors.Wrap(err, "write the settings")
	}
	output, err := os.OpenFile(filepath.Join(s.directory, instanceName(i.number)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	i.process = exec.Command(s.program, "run", "--settings", settings) //nolint:gosec,noctx // Ended by signals.
	i.process.Stderr = output
	if err := i.process.Start(); err != nil {
		return errors.Wrap(err, "start "+s.program+": run make build first")
	}
	return nil
}

func (s *site) settings(i *instance) string {
	return fmt.Sprintf(`
name = %q
data_centre = %q
weight = %d
[addresses]
callers = %q
operators = %q
peers = "127.0.0.1:%d"
[platform]
log = "127.0.0.1:%d"
instance_list = %q
[peers]
secret = "secret-of-the-faults-run"
[operator]
token = %q
[leases]
term_ms = %d
[limits]
drain_ms = 15000
[[callers]]
account = %q
token = %q
`, instanceName(i.number), dataCentres[i.number%len(dataCentres)], 50+25*i.number, i.callers, i.operators,
		peersPort+i.number, basePort, s.listAddr, operatorToken, leaseTerm.Milliseconds(), account, callerToken)
}

// awaitReady waits until the instance is ready.
func (s *site) awaitReady(i *instance) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		status, err := client.New(i.operators, operatorToken).Status(s.ctx)
		if err == nil && status.Ready {
			return nil
		}
		time.Sleep(readyPoll)
	}
	return errNotReady
}

// applySheet applies a sheet that differs in a weight.
func (s *site) applySheet(i *instance, base uint64, weight int) (uint64, error) {
	csv := []byte(fmt.Sprintf(sheetCSV, weight))
	operator := client.New(i.operators, operatorToken)
	return operator.ApplySheet(s.ctx, base, csv, client.Cause{Actor: "faults", Reason: "a race of operators"})
}

// signal sends a signal to an instance.
func (i *instance) signal(signal syscall.Signal) {
	_ = i.process.Process.Signal(signal)
}

// setWorkerFaults switches the faults of a stand-in worker, given as JSON.
func (s *site) setWorkerFaults(worker *apiv1.Worker, faults string) {
	post("http://"+worker.Address+"/faults", faults)
}

// setList changes the stand-in list.
func (s *site) setList(path string) {
	post("http://"+s.listAddr+path, "")
}

func post(url, body string) {
	response, err := http.Post(url, "application/json", stringReader(body)) //nolint:gosec,noctx // A stand-in on loopback.
	if err == nil {
		_ = response.Body.Close()
	}
}

// beginFault notes that from now on the instance of the operators' address, or with "" the log, is faulty; the
// function it returns ends that.
func (s *site) beginFault(address string) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faulty = append(s.faulty, span{address: address, from: time.Now()})
	index := len(s.faulty) - 1
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faulty[index].to = time.Now()
	}
}

// wasFaulty reports whether the log or the instance was faulty at some moment between the two.
func (s *site) wasFaulty(address string, from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, fault := range s.faulty {
		concerns := fault.address == "" || fault.address == address
		ended := !fault.to.IsZero() && fault.to.Before(from)
		if concerns && !ended && fault.from.Before(to) {
			return true
		}
	}
	return false
}

// heal ends all faults.
func (s *site) heal() {
	s.log.SetFaults(logservice.Faults{})
	for _, worker := range s.workers {
		s.setWorkerFaults(worker, "{}")
	}
}

// stop ends all processes.
func (s *site) stop(keep bool) {
	for _, i := range s.instances {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		_ = i.process.Wait()
	}
	if keep {
		fmt.Println("logs in", s.directory)
		return
	}
	_ = os.RemoveAll(s.directory)
}
