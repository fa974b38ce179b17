package site

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/list"
)

const (
	// linksOffset is the offset of the links' ports from the base port; each instance has linksPerInstance.
	linksOffset      = 100
	linksPerInstance = 100
	listLag          = 2 * time.Second
	// headerTimeout bounds how long a client of the list may take to send its headers.
	headerTimeout = 5 * time.Second
)

var errNoPort = errors.New("too few free ports for the links: choose another base port")

// namedLink is a link and what it is.
type namedLink struct {
	End
	link
}

// network is the links of a site: each instance reaches the log, each peer and each worker through one of its own,
// and has an instance list that names them.
type network struct {
	links []namedLink
	lists []string
}

// Cut cuts the links that match and returns what restores them.
func (s *Site) Cut(matches func(End) bool) (restore func()) {
	return s.network.change(matches, link.cut)
}

// Silence makes the connections that are open on the matching links silent for good while new ones work. What it
// returns closes them.
func (s *Site) Silence(matches func(End) bool) (restore func()) {
	return s.network.change(matches, link.silence)
}

func (n *network) change(matches func(End) bool, change func(link)) func() {
	var changed []link
	for _, each := range n.links {
		if matches(each.End) {
			change(each.link)
			changed = append(changed, each.link)
		}
	}
	return func() {
		for _, each := range changed {
			each.restore()
		}
	}
}

// startLinks makes the links of an instance and its list.
func (s *Site) startLinks(i *Instance) error {
	n, number := &s.network, i.Number
	ports := &portRange{next: s.Config.BasePort + linksOffset + linksPerInstance*number}
	ports.end = ports.next + linksPerInstance
	machines := &apiv1.InstanceList{Instances: s.listed()}
	var err error
	if i.log, err = n.add(ports, End{Instance: number, Kind: ToLog}, i.log); err != nil {
		return err
	}
	for other, listed := range machines.Instances {
		if other == number {
			continue
		}
		end := End{Instance: number, Kind: ToPeer, Peer: other, DataCentre: s.DataCentre(other)}
		if listed.PeerAddress, err = n.add(ports, end, listed.PeerAddress); err != nil {
			return err
		}
	}
	for _, worker := range s.Workers {
		listed := proto.CloneOf(worker)
		end := End{Instance: number, Kind: ToWorker, DataCentre: worker.DataCentre}
		if listed.Address, err = n.add(ports, end, worker.Address); err != nil {
			return err
		}
		machines.Workers = append(machines.Workers, listed)
	}
	i.list, err = ports.open(func(address string) error { return serveList(address, machines) })
	n.lists = append(n.lists, i.list)
	return err
}

// portRange is ports of which some may be taken by others.
type portRange struct {
	next, end int
}

// open tries one port after another and returns the address that could be opened.
func (p *portRange) open(try func(address string) error) (string, error) {
	for ; p.next < p.end; p.next++ {
		address := fmt.Sprintf("127.0.0.1:%d", p.next)
		if try(address) == nil {
			p.next++
			return address, nil
		}
	}
	return "", errNoPort
}

// add puts a link of that end in front of the target and returns its address.
func (n *network) add(ports *portRange, end End, target string) (string, error) {
	return ports.open(func(address string) error {
		l, err := newLink(end.Kind, address, target)
		if err == nil {
			n.links = append(n.links, namedLink{end, l})
		}
		return err
	})
}

// serveList serves the instance list of one instance until the process ends.
func serveList(address string, machines *apiv1.InstanceList) error {
	listener, err := net.Listen("tcp", address) //nolint:noctx // Until the process ends.
	if err != nil {
		return err
	}
	registry := list.New(listLag)
	registry.Register(machines)
	server := &http.Server{Handler: registry.Handler(), ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	return nil
}
