// Package standin runs small stand-ins of the platform for trials: workers by racks and data centres,
// the instance list and a log service, each on a loopback listener of one process.
package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/list"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/worker"
)

const (
	host = "127.0.0.1"
	// headerTimeout bounds how long a client may take to send its headers.
	headerTimeout = 5 * time.Second
	// maxConnections bounds the connections of the log service and of the instance list, each.
	maxConnections = 1024
	// shutdownTimeout bounds how long calls under way may take at the end.
	shutdownTimeout = 2 * time.Second
)

// ErrNoWorkers means that Options name no site with a worker.
var ErrNoWorkers = errors.New("the options name no worker: give at least one site with racks and workers")

// Site is the workers of one data centre.
type Site struct {
	DataCentre     string
	Racks          int
	WorkersPerRack int
	// Template has the cores, memory, accelerators and speed of the workers; zero fields get defaults.
	Template *apiv1.Worker
	// Speeds are given to the workers in turn, permille; empty means the template's.
	Speeds []uint32
}

// Options configure a run.
type Options struct {
	Sites []Site
	// Log serves the log service.
	Log http.Handler
	// BasePort is the port of the log service; the list and the workers get the ports after it. 0 lets
	// the system choose all ports.
	BasePort int
	// UsageLag is how old the usage reports are; ListLag is how old the instance list is.
	UsageLag time.Duration
	ListLag  time.Duration
	// Instances are put into the instance list beside the workers.
	Instances []*apiv1.Instance
	// Ready is told when all listeners accept connections, when not nil.
	Ready func(addresses Addresses)
}

// Addresses are the listeners of a run, each IP:port.
type Addresses struct {
	Log          string
	InstanceList string
	Workers      []*apiv1.Worker
}

// Run starts the stand-ins and serves until the context ends.
func Run(ctx context.Context, options Options) error {
	workers := buildWorkers(options)
	if len(workers) == 0 {
		return ErrNoWorkers
	}
	group, ctx := errgroup.WithContext(ctx)
	ports := portsFrom(options.BasePort)
	registry := list.New(options.ListLag)
	addresses := Addresses{}
	var err error
	if addresses.Log, err = serve(ctx, group, ports(), maxConnections, options.Log); err == nil {
		addresses.InstanceList, err = serve(ctx, group, ports(), maxConnections, registry.Handler())
	}
	for _, description := range workers {
		if err != nil {
			break
		}
		err = startWorker(ctx, group, ports(), description, options.UsageLag)
	}
	if err != nil {
		group.Go(func() error { return err })
		return group.Wait()
	}
	addresses.Workers = workers
	registry.Register(&apiv1.InstanceList{Instances: options.Instances, Workers: workers})
	if options.Ready != nil {
		options.Ready(addresses)
	}
	if err := group.Wait(); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// startWorker serves a worker; the listener it gets becomes the address of its description.
func startWorker(ctx context.Context, group *errgroup.Group, port int, description *apiv1.Worker, lag time.Duration) error {
	back := worker.New(worker.Options{Description: description, UsageLag: lag})
	address, err := serve(ctx, group, port, int(description.GetConnections()), back.Handler())
	description.Address = address
	return err
}

// buildWorkers describes the workers of all sites.
func buildWorkers(options Options) []*apiv1.Worker {
	var workers []*apiv1.Worker
	for _, site := range options.Sites {
		for i := range site.Racks * site.WorkersPerRack {
			description := worker.New(worker.Options{Description: site.Template}).Description()
			description.DataCentre = site.DataCentre
			description.Rack = fmt.Sprintf("%s-r%d", site.DataCentre, i/site.WorkersPerRack+1)
			description.Name = fmt.Sprintf("%s-w%d", description.Rack, i%site.WorkersPerRack+1)
			if len(site.Speeds) > 0 {
				description.SpeedPermille = site.Speeds[i%len(site.Speeds)]
			}
			workers = append(workers, description)
		}
	}
	return workers
}

// portsFrom returns the next port at each call, or always 0.
func portsFrom(base int) func() int {
	next := base
	return func() int {
		port := next
		if base > 0 {
			next++
		}
		return port
	}
}

// serve listens on a loopback port and serves until the context ends; connections above the bound wait
// until others close. It returns the address.
func serve(ctx context.Context, group *errgroup.Group, port, connections int, handler http.Handler) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", net.JoinHostPort(host, strconv.Itoa(port)))
	if err != nil {
		return "", errors.Wrapf(err, "listen on port %d: choose another base port", port)
	}
	listener = netutil.LimitListener(listener, connections)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(shutdown); err != nil {
			_ = server.Close()
		}
		return ctx.Err()
	})
	return listener.Addr().String(), nil
}
