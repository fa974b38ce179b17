package workerclient

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

// InstanceList fetches the platform's instance list over HTTP. It implements platform.InstanceList.
type InstanceList struct {
	client  *http.Client
	address string
}

var _ platform.InstanceList = (*InstanceList)(nil)

// NewInstanceList returns a client of the list at an IP:port.
func NewInstanceList(transport http.RoundTripper, address string) *InstanceList {
	return &InstanceList{client: newClient(transport), address: address}
}

// Fetch implements platform.InstanceList. A fetch has no effect, so every error wraps platform.ErrUnavailable.
func (l *InstanceList) Fetch(ctx context.Context) (*apiv1.InstanceList, error) {
	answer := &apiv1.InstanceList{}
	if err := get(ctx, l.client, l.address, "/v1/instances", answer, maxListBytes); err != nil {
		return nil, errors.Join(platform.ErrUnavailable, errors.New(err.Error()))
	}
	return answer, nil
}
