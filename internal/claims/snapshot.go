package claims

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// Snapshot returns the table as a ClaimsSnapshot; equal tables give equal bytes.
func (t *Table) Snapshot() ([]byte, error) {
	snapshot := &apiv1.ClaimsSnapshot{FloorUnixMs: t.floorMillis, Keys: make([]*apiv1.KeyState, 0, len(t.claims))}
	t.order.Ascend(func(id entryKey) bool {
		claim := t.claims[id]
		snapshot.Keys = append(snapshot.Keys, &apiv1.KeyState{
			Key:             id.key[:],
			Account:         id.account,
			Holder:          &apiv1.Author{Instance: claim.HolderInstance, Incarnation: claim.HolderIncarnation},
			RequestChecksum: claim.RequestChecksum,
			Done:            claim.Done,
			Answer:          claim.Answer,
			AnswerKept:      claim.AnswerKept,
		})
		return true
	})
	return proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
}

// Restore replaces the table by a snapshot.
func (t *Table) Restore(data []byte) error {
	snapshot := &apiv1.ClaimsSnapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return errors.Wrap(err, "claims snapshot: ask a peer for its state")
	}
	restored := New()
	restored.floorMillis = snapshot.FloorUnixMs
	for _, state := range snapshot.Keys {
		key, rejection := ParseKey(state.Key)
		if rejection != nil {
			return errors.Wrap(rejection, "claims snapshot")
		}
		id := entryKey{key: key, account: state.Account}
		claim := &Claim{
			HolderInstance:    state.Holder.GetInstance(),
			HolderIncarnation: state.Holder.GetIncarnation(),
			RequestChecksum:   state.RequestChecksum,
			Done:              state.Done,
		}
		restored.claims[id] = claim
		restored.order.ReplaceOrInsert(id)
		if state.AnswerKept {
			restored.keepAnswer(id, claim, state.Answer)
		}
	}
	*t = *restored
	return nil
}
