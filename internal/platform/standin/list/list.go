// Package list is the stand-in of the platform's instance list. What it says lags behind what was registered.
package list

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

// maxBodyBytes bounds the body of a registration.
const maxBodyBytes = 1 << 20

// maxVersions bounds the versions that wait for the lag to pass.
const maxVersions = 1024

// version is the list at one instant.
type version struct {
	at   time.Time
	list *apiv1.InstanceList
}

// List is the instance list. It implements platform.InstanceList; its methods are safe for concurrent use.
type List struct {
	mu       sync.Mutex
	lag      time.Duration
	down     bool
	versions []version
}

var _ platform.InstanceList = (*List)(nil)

// New returns an empty list that lags by the given time.
func New(lag time.Duration) *List {
	return &List{lag: lag, versions: []version{{list: &apiv1.InstanceList{}}}}
}

// SetLag changes the lag.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetDown switches an outage of the list on or off.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Fetch returns the list as it was one lag ago. It implements platform.InstanceList.
func (l *List) Fetch(context.Context) (*apiv1.InstanceList, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, platform.ErrUnavailable
	}
	now := time.Now()
	newest := 0
	for i, candidate := range l.versions {
		if candidate.at.Add(l.lag).After(now) {
			break
		}
		newest = i
	}
	return proto.CloneOf(l.versions[newest].list), nil
}

// Register adds the machines of the given list, or replaces those of the same name.
func (l *List) Register(machines *apiv1.InstanceList) {
	l.change(func(next *apiv1.InstanceList) {
		for _, instance := range machines.GetInstances() {
			next.Instances = slices.DeleteFunc(next.Instances, func(old *apiv1.Instance) bool {
				return old.GetName() == instance.GetName()
			})
			next.Instances = append(next.Instances, instance)
		}
		for _, worker := range machines.GetWorkers() {
			next.Workers = slices.DeleteFunc(next.Workers, func(old *apiv1.Worker) bool {
				return old.GetName() == worker.GetName()
			})
			next.Workers = append(next.Workers, worker)
		}
	})
}

// Remove takes the machine of the name off the list.
func (l *List) Remove(name string) {
	l.change(func(next *apiv1.InstanceList) {
		next.Instances = slices.DeleteFunc(next.Instances, func(old *apiv1.Instance) bool {
			return old.GetName() == name
		})
		next.Workers = slices.DeleteFunc(next.Workers, func(old *apiv1.Worker) bool {
			return old.GetName() == name
		})
	})
}

// change applies an edit to a copy of the newest version.
func (l *List) change(edit func(next *apiv1.InstanceList)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := proto.CloneOf(l.versions[len(l.versions)-1].list)
	edit(next)
	next.Version++
	slices.SortFunc(next.Instances, func(a, b *apiv1.Instance) int { return cmp.Compare(a.GetName(), b.GetName()) })
	slices.SortFunc(next.Workers, func(a, b *apiv1.Worker) int { return cmp.Compare(a.GetName(), b.GetName()) })
	if len(l.versions) == maxVersions {
		l.versions = l.versions[1:]
	}
	l.versions = append(l.versions, version{at: time.Now(), list: next})
}

// Handler serves GET /v1/instances with a binary protobuf body and, for tests, POST /register (an
// InstanceList), POST /remove?name=, POST /lag?duration= and POST /down?on=.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", l.serveFetch)
	mux.HandleFunc("POST /register", l.serveRegister)
	mux.HandleFunc("POST /remove", func(writer http.ResponseWriter, request *http.Request) {
		l.Remove(request.URL.Query().Get("name"))
		writer.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /lag", func(writer http.ResponseWriter, request *http.Request) {
		lag, err := time.ParseDuration(request.URL.Query().Get("duration"))
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		l.SetLag(lag)
		writer.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /down", func(writer http.ResponseWriter, request *http.Request) {
		l.SetDown(request.URL.Query().Get("on") == "true")
		writer.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (l *List) serveFetch(writer http.ResponseWriter, request *http.Request) {
	current, err := l.Fetch(request.Context())
	if err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	tag := strconv.Quote(strconv.FormatUint(current.GetVersion(), 10))
	writer.Header().Set("ETag", tag)
	if request.Header.Get("If-None-Match") == tag {
		writer.WriteHeader(http.StatusNotModified)
		return
	}
	body, err := proto.Marshal(current)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/x-protobuf")
	_, _ = writer.Write(body)
}

func (l *List) serveRegister(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	machines := &apiv1.InstanceList{}
	if err := proto.Unmarshal(body, machines); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	l.Register(machines)
	writer.WriteHeader(http.StatusNoContent)
}
