package workerclient

import (
	"context"
	"net/http"
	"sync"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

// InstanceList fetches the platform's instance list over HTTP. It implements platform.InstanceList. A list that
// has not changed is not sent again (ETag), so that following a long list costs little.
type InstanceList struct {
	client  *http.Client
	address string

	mu     sync.Mutex
	newest *apiv1.InstanceList
	tag    string
}

var _ platform.InstanceList = (*InstanceList)(nil)

// NewInstanceList returns a client of the list at an IP:port.
func NewInstanceList(transport http.RoundTripper, address string) *InstanceList {
	return &InstanceList{client: newClient(transport), address: address}
}

// Fetch implements platform.InstanceList. A fetch has no effect, so every error wraps platform.ErrUnavailable.
// The list must not be changed.
func (l *InstanceList) Fetch(ctx context.Context) (*apiv1.InstanceList, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.address+"/v1/instances", nil)
	if err != nil {
		return nil, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	known, tag := l.known()
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified && known != nil {
		return known, nil
	}
	answer := &apiv1.InstanceList{}
	if err := decode(response, answer, maxListBytes); err != nil {
		return nil, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	l.keep(answer, response.Header.Get("ETag"))
	return answer, nil
}

func (l *InstanceList) known() (*apiv1.InstanceList, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest, l.tag
}

func (l *InstanceList) keep(list *apiv1.InstanceList, tag string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newest, l.tag = list, tag
}
