// Package site runs the stand-ins of the platform in this process and instances as processes of their own, on
// loopback, for fault runs and benchmarks.
package site

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/dotterelgauge/dotterelgauge/api/client"
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/logservice"
)

// Tokens and the client account of every site.
const (
	Account       = "Settlement"
	CallerToken   = "caller-token-of-the-site"
	OperatorToken = "operator-token-of-the-site"
)

const (
	// DefaultBasePort is the port of the log service; the list and the workers get the ports after it.
	DefaultBasePort = 29000
	// Offsets of the instances' ports from the base port.
	callersOffset   = 800
	operatorsOffset = 850
	peersOffset     = 900
	readyTimeout    = 20 * time.Second
	readyPoll       = 100 * time.Millisecond
	// baseWeight and weightStep make instances of unlike size.
	baseWeight = 50
	weightStep = 25
)

const sheetCSV = "kind,account,data_centre,members,accelerators,adjacency,count,weight\n" +
	"account,Settlement,,,,,,200\naccount,Reports,,,,,,%d\n" +
	"guarantee,Settlement,perth-1,2,8,rack,1,\n"

// ErrNotReady means that an instance does not become ready in time.
var ErrNotReady = errors.New("an instance does not become ready: look at its log with --keep")

// Config is the size of a site.
type Config struct {
	// Program is the dotterelgauge program.
	Program     string
	Instances   int
	DataCentres []string
	// Racks and WorkersPerRack are those of each data centre.
	Racks          int
	WorkersPerRack int
	LeaseTerm      time.Duration
	Retention      time.Duration
	Seed           uint64
	// BasePort is the first of about 1,000 ports; DefaultBasePort when 0. Runs at the same time need their own.
	BasePort int
	// Links puts a forwarder between each instance and whatever it talks to, for Cut and Silence.
	Links bool
}

// Instance is one process.
type Instance struct {
	Number int
	// Callers and Operators are its addresses, IP:port.
	Callers   string
	Operators string
	Process   *exec.Cmd
	// log and list are the addresses that its settings name.
	log, list string
}

// Name returns the instance's name in the instance list.
func (i *Instance) Name() string {
	return name(i.Number)
}

func name(number int) string {
	return fmt.Sprintf("i%d", number)
}

// Signal sends a signal to the process.
func (i *Instance) Signal(signal syscall.Signal) {
	_ = i.Process.Process.Signal(signal)
}

// Operator returns a client of the operators' address.
func (i *Instance) Operator() *client.Client {
	return client.New(i.Operators, OperatorToken)
}

// Site is the stand-ins and the instances.
type Site struct {
	Config    Config
	Log       *logservice.Service
	Workers   []*apiv1.Worker
	Instances []*Instance

	ctx       context.Context
	directory string
	listAddr  string
	network   network
}

// New returns a site that has not started. Stop must be called.
func New(ctx context.Context, config Config) (*Site, error) {
	if config.BasePort == 0 {
		config.BasePort = DefaultBasePort
	}
	directory, err := os.MkdirTemp("", "dotterelgauge-site")
	if err != nil {
		return nil, errors.Wrap(err, "make a working directory")
	}
	return &Site{
		Config:    config,
		Log:       logservice.New(logservice.Options{Retention: config.Retention, Seed: config.Seed}),
		ctx:       ctx,
		directory: directory,
	}, nil
}

// Start starts everything, waits until all instances are ready and applies the first sheet. It returns the revision.
func (s *Site) Start() (uint64, error) {
	if err := s.startPlatform(); err != nil {
		return 0, err
	}
	for number := range s.Config.Instances {
		i := &Instance{
			Number:    number,
			Callers:   fmt.Sprintf("127.0.0.1:%d", s.Config.BasePort+callersOffset+number),
			Operators: fmt.Sprintf("127.0.0.1:%d", s.Config.BasePort+operatorsOffset+number),
			log:       fmt.Sprintf("127.0.0.1:%d", s.Config.BasePort),
			list:      s.listAddr,
		}
		if s.Config.Links {
			if err := s.startLinks(i); err != nil {
				return 0, err
			}
		}
		if err := s.StartInstance(i); err != nil {
			return 0, err
		}
		s.Instances = append(s.Instances, i)
	}
	for _, i := range s.Instances {
		if err := s.AwaitReady(i); err != nil {
			return 0, err
		}
	}
	return s.ApplySheet(s.Instances[0], 0, 1)
}

// startPlatform runs the stand-ins in this process.
func (s *Site) startPlatform() error {
	ready := make(chan standin.Addresses, 1)
	failed := make(chan error, 1)
	options := standin.Options{
		Log:       s.Log.Handler(),
		BasePort:  s.Config.BasePort,
		UsageLag:  time.Second,
		ListLag:   listLag,
		Instances: s.listed(),
		Ready:     func(addresses standin.Addresses) { ready <- addresses },
	}
	for _, dataCentre := range s.Config.DataCentres {
		options.Sites = append(options.Sites, standin.Site{
			DataCentre:     dataCentre,
			Racks:          s.Config.Racks,
			WorkersPerRack: s.Config.WorkersPerRack,
			Speeds:         []uint32{1000, 700, 1300},
		})
	}
	go func() { failed <- standin.Run(s.ctx, options) }()
	select {
	case addresses := <-ready:
		s.listAddr = addresses.InstanceList
		s.Workers = addresses.Workers
		return nil
	case err := <-failed:
		return err
	}
}

// listed returns the instances as the platform lists them.
func (s *Site) listed() []*apiv1.Instance {
	var listed []*apiv1.Instance
	for number := range s.Config.Instances {
		listed = append(listed, &apiv1.Instance{
			Name:        name(number),
			DataCentre:  s.DataCentre(number),
			PeerAddress: fmt.Sprintf("127.0.0.1:%d", s.Config.BasePort+peersOffset+number),
			Presence:    apiv1.Presence_PRESENCE_LIVE,
			Weight:      uint32(baseWeight + weightStep*number), //nolint:gosec // Small.
		})
	}
	return listed
}

// DataCentre returns the data centre of the instance of that number.
func (s *Site) DataCentre(number int) string {
	return s.Config.DataCentres[number%len(s.Config.DataCentres)]
}

// StartInstance starts the process of an instance.
func (s *Site) StartInstance(i *Instance) error {
	settings := filepath.Join(s.directory, i.Name()+".toml")
	if err := os.WriteFile(settings, []byte(s.settings(i)), 0o600); err != nil {
		return errors.Wrap(err, "write the settings")
	}
	output, err := os.OpenFile(filepath.Join(s.directory, i.Name()+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	i.Process = exec.Command(s.Config.Program, "run", "--settings", settings) //nolint:gosec,noctx // Ended by signals.
	i.Process.Stderr = output
	if err := i.Process.Start(); err != nil {
		return errors.Wrap(err, "start "+s.Config.Program+": run make build first")
	}
	return nil
}

func (s *Site) settings(i *Instance) string {
	return fmt.Sprintf(`
name = %q
data_centre = %q
weight = %d
[addresses]
callers = %q
operators = %q
peers = "127.0.0.1:%d"
[platform]
log = %q
instance_list = %q
[peers]
secret = "secret-of-the-site-peers"
[operator]
token = %q
[leases]
term_ms = %d
[limits]
drain_ms = 15000
[[callers]]
account = %q
token = %q
`, i.Name(), s.DataCentre(i.Number), baseWeight+weightStep*i.Number, i.Callers, i.Operators,
		s.Config.BasePort+peersOffset+i.Number, i.log, i.list, OperatorToken, s.Config.LeaseTerm.Milliseconds(), Account, CallerToken)
}

// AwaitReady waits until the instance is ready.
func (s *Site) AwaitReady(i *Instance) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && s.ctx.Err() == nil {
		status, err := i.Operator().Status(s.ctx)
		if err == nil && status.Ready {
			return nil
		}
		time.Sleep(readyPoll)
	}
	return ErrNotReady
}

// ApplySheet applies a sheet that differs in a weight, and returns the new revision.
func (s *Site) ApplySheet(i *Instance, base uint64, weight int) (uint64, error) {
	csv := fmt.Appendf(nil, sheetCSV, weight)
	return i.Operator().ApplySheet(s.ctx, base, csv, client.Cause{Actor: "site", Reason: "a run on loopback"})
}

// CallerAddresses returns the callers' addresses of all instances.
func (s *Site) CallerAddresses() []string {
	var addresses []string
	for _, i := range s.Instances {
		addresses = append(addresses, i.Callers)
	}
	return addresses
}

// SetWorkerFaults switches the faults of a stand-in worker, given as JSON.
func (s *Site) SetWorkerFaults(worker *apiv1.Worker, faults string) {
	post("http://"+worker.Address+"/faults", faults)
}

// SetList changes the stand-in lists by a call of its test interface, such as "/down?on=true".
func (s *Site) SetList(path string) {
	for _, address := range append([]string{s.listAddr}, s.network.lists...) {
		post("http://"+address+path, "")
	}
}

func post(url, body string) {
	response, err := http.Post(url, "application/json", strings.NewReader(body)) //nolint:gosec,noctx // A stand-in on loopback.
	if err == nil {
		_ = response.Body.Close()
	}
}

// Heal ends all faults of the stand-ins.
func (s *Site) Heal() {
	s.Log.SetFaults(logservice.Faults{})
	for _, worker := range s.Workers {
		s.SetWorkerFaults(worker, "{}")
	}
	s.SetList("/down?on=false")
}

// Stop ends all processes and removes the working directory unless keep is set.
func (s *Site) Stop(keep bool) {
	for _, i := range s.Instances {
		i.Signal(syscall.SIGCONT)
		i.Signal(syscall.SIGKILL)
		_ = i.Process.Wait()
	}
	if keep {
		fmt.Println("logs in", s.directory)
		return
	}
	_ = os.RemoveAll(s.directory)
}
