package site

import (
	"fmt"
	"net"
	"net/http"
	"time"

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

// namedLink is a link and what it is.
type namedLink struct {
	End
	link
}

// network is the links of a site: each instance reaches the log, each peer and each worker through one of its own,
// and has an instance list that names them.
type network struct {
	links []namedLink
	logs  []string
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

// DataCentre returns the data centre of the instance of that number.
func (s *Site) DataCentre(number int) string {
	return s.dataCentre(number)
}

// startLinks makes the links of an instance and its list.
func (s *Site) startLinks(number int) error {
	port := s.Config.BasePort + linksOffset + linksPerInstance*number
	next := func() string {
		port++
		return fmt.Sprintf("127.0.0.1:%d", port)
	}
	listAddress := next()
	logAddress := next()
	if err := s.addStream(End{Instance: number, Kind: ToLog}, logAddress, fmt.Sprintf("127.0.0.1:%d", s.Config.BasePort)); err != nil {
		return err
	}
	machines := &apiv1.InstanceList{Instances: s.listed()}
	for other, listed := range machines.Instances {
		if other == number {
			continue
		}
		address := next()
		l, err := newPacketLink(address, listed.PeerAddress)
		if err != nil {
			return err
		}
		s.network.links = append(s.network.links, namedLink{End{Instance: number, Kind: ToPeer, Peer: other, DataCentre: s.dataCentre(other)}, l})
		listed.PeerAddress = address
	}
	for _, worker := range s.Workers {
		listed := proto.CloneOf(worker)
		listed.Address = next()
		if err := s.addStream(End{Instance: number, Kind: ToWorker, DataCentre: worker.DataCentre}, listed.Address, worker.Address); err != nil {
			return err
		}
		machines.Workers = append(machines.Workers, listed)
	}
	s.network.logs = append(s.network.logs, logAddress)
	s.network.lists = append(s.network.lists, listAddress)
	return serveList(listAddress, machines)
}

func (s *Site) addStream(end End, address, target string) error {
	l, err := newStreamLink(address, target)
	if err == nil {
		s.network.links = append(s.network.links, namedLink{end, l})
	}
	return err
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

// logAddress and listAddress are what an instance's settings name.
func (s *Site) logAddress(number int) string {
	if s.Config.Links {
		return s.network.logs[number]
	}
	return fmt.Sprintf("127.0.0.1:%d", s.Config.BasePort)
}

func (s *Site) listAddress(number int) string {
	if s.Config.Links {
		return s.network.lists[number]
	}
	return s.listAddr
}
