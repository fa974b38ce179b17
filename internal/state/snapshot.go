package state

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// Snapshot returns the state as a LedgerSnapshot; equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	snapshot := &apiv1.LedgerSnapshot{Revisions: s.revisions}
	for _, id := range sortedKeys(s.jobs) {
		snapshot.Jobs = append(snapshot.Jobs, s.jobs[id].Proto())
	}
	for _, owner := range s.Owners() {
		snapshot.Owners = append(snapshot.Owners, &apiv1.Owner{
			DataCentre: owner.DataCentre,
			Author:     &apiv1.Author{Instance: owner.Instance, Incarnation: owner.Incarnation},
			Epoch:      owner.Epoch,
		})
	}
	for _, verdict := range s.Verdicts() {
		snapshot.Verdicts = append(snapshot.Verdicts, &apiv1.WorkerVerdict{
			Worker:     verdict.Worker,
			Condition:  verdict.Condition,
			Reason:     verdict.Reason,
			TimeUnixMs: verdict.TimeMillis,
		})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
}

// Restore replaces the state by a snapshot.
func (s *State) Restore(data []byte) error {
	snapshot := &apiv1.LedgerSnapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return errors.Wrap(err, "ledger snapshot: ask a peer for its state")
	}
	restored := New()
	restored.revisions = snapshot.Revisions
	for _, message := range snapshot.Jobs {
		job := jobOf(message)
		restored.jobs[job.ID] = job
		if !job.Live() {
			restored.ended.ReplaceOrInsert(endedKey{millis: job.EndedMillis, id: job.ID})
		}
		for _, member := range job.Placement.GetMembers() {
			restored.occupy(member)
		}
	}
	for _, owner := range snapshot.Owners {
		restored.owners[owner.DataCentre] = Owner{
			DataCentre:  owner.DataCentre,
			Instance:    owner.Author.GetInstance(),
			Incarnation: owner.Author.GetIncarnation(),
			Epoch:       owner.Epoch,
		}
	}
	for _, verdict := range snapshot.Verdicts {
		restored.verdicts[verdict.Worker] = Verdict{
			Worker:     verdict.Worker,
			Condition:  verdict.Condition,
			Reason:     verdict.Reason,
			TimeMillis: verdict.TimeUnixMs,
		}
	}
	*s = *restored
	return nil
}

func jobOf(message *apiv1.Job) *Job {
	return &Job{
		ID:              message.Id,
		Spec:            message.Spec,
		State:           message.State,
		Run:             message.Run,
		Placement:       message.Placement,
		CheckpointPPM:   message.CheckpointPpm,
		SubmittedMillis: message.SubmittedUnixMs,
		PlacedMillis:    message.PlacedUnixMs,
		EndedMillis:     message.EndedUnixMs,
		Reason:          message.Reason,
		Failures:        message.Failures,
		Preemptions:     message.Preemptions,
		FailedWorkers:   message.FailedWorkers,
	}
}
