package leadership

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

// renewal is the record that renews an ownership.
type renewal struct {
	claimed, soleOwner storelog.Record
	// sole is true once no earlier owner can renew leases any more.
	sole atomic.Bool
}

// newRenewal returns the renewal of an owner's claim.
func newRenewal(owner *storev1.Owner) (*renewal, error) {
	claimed, err := replica.OwnerRecord(owner)
	if err != nil {
		return nil, err
	}
	sole := proto.CloneOf(owner)
	sole.Sole = true
	soleOwner, err := replica.OwnerRecord(sole)
	if err != nil {
		return nil, err
	}
	return &renewal{claimed: claimed, soleOwner: soleOwner}, nil
}

// markSole makes the next records say that no earlier owner can renew leases any more.
func (r *renewal) markSole() { r.sole.Store(true) }

// record returns the record to append now.
func (r *renewal) record() storelog.Record {
	if r.sole.Load() {
		return r.soleOwner
	}
	return r.claimed
}
