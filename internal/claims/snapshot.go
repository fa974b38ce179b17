package claims

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// typicalKeyBytes is about what a key takes in a snapshot, bytes.
const typicalKeyBytes = 96

// Snapshot returns the table as a ClaimsSnapshot; equal tables give equal bytes. The keys are encoded one by
// one, since encoded messages in a row are the message of all their keys: a full table would else be in
// memory three times.
func (t *Table) Snapshot() ([]byte, error) {
	options := proto.MarshalOptions{Deterministic: true}
	data := make([]byte, 0, typicalKeyBytes*len(t.claims))
	data, err := options.MarshalAppend(data, &apiv1.ClaimsSnapshot{FloorUnixMs: t.floorMillis})
	if err != nil {
		return nil, errors.Wrap(err, "claims snapshot")
	}
	state := &apiv1.KeyState{Holder: &apiv1.Author{}}
	one := &apiv1.ClaimsSnapshot{Keys: []*apiv1.KeyState{state}}
	t.order.Ascend(func(id entryKey) bool {
		t.fill(state, id)
		data, err = options.MarshalAppend(data, one)
		return err == nil
	})
	if err != nil {
		return nil, errors.Wrap(err, "claims snapshot")
	}
	return data, nil
}

// fill sets the state of one key.
func (t *Table) fill(state *apiv1.KeyState, id entryKey) {
	claim := t.claims[id]
	state.Key = append(state.Key[:0], id.key[:]...)
	state.Account = id.account
	state.Holder.Instance = claim.HolderInstance
	state.Holder.Incarnation = claim.HolderIncarnation
	state.RequestChecksum = claim.RequestChecksum
	state.Done = claim.Done
	state.Answer = claim.Answer
	state.AnswerKept = claim.AnswerKept
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
