package replica_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

const job = "00000000000000aa"

func must(t interface{ Fatal(...any) }, record storelog.Record, err error) storelog.Record {
	if err != nil {
		t.Fatal(err)
	}
	return record
}

// history returns the records of one job in the order of their offsets: accepted, run, cancelled, outcome, run deleted.
func history(t interface{ Fatal(...any) }) []storelog.Record {
	accepted, err := replica.JobRecord(&storev1.Job{Id: job, Queue: "q", Account: "a", Steps: []*storev1.Step{{Count: 4}}})
	records := []storelog.Record{must(t, accepted, err)}
	task := replica.Task{Job: job, Step: 0, Index: 3}
	run, err := replica.RunRecord(task, &storev1.Run{Phase: storev1.RunPhase_RUN_PHASE_OPEN, Number: 1, Workers: []string{"w"}})
	records = append(records, must(t, run, err))
	cancel, err := replica.CancelRecord(job, &storev1.Cancel{CancelledUnixMs: 1})
	records = append(records, must(t, cancel, err))
	outcome, err := replica.OutcomeRecord(job, &storev1.Outcome{State: storev1.JobState_JOB_STATE_CANCELLED})
	records = append(records, must(t, outcome, err), replica.RunTombstone(task))
	for i := range records {
		records[i].Offset = int64(i)
	}
	return records
}

func TestStateFollowsRecords(t *testing.T) {
	jobs := replica.New(events.Discard())
	want := []replica.State{replica.Queued, replica.Running, replica.Cancelled, replica.Cancelled, replica.Cancelled}
	pending := []int{1, 0, 0, 0, 0}
	for i, record := range history(t) {
		jobs.Apply([]storelog.Record{record})
		if state, _ := jobs.State(job); state != want[i] {
			t.Errorf("after record %d the state is %v, want %v", i, state, want[i])
		}
		if count := jobs.PendingJobs("q"); count != pending[i] {
			t.Errorf("after record %d %d jobs are pending, want %d", i, count, pending[i])
		}
	}
}

// A follower that loads the latest record of each key delivers them sorted by key and repeats those written during the
// load. The replica must not depend on that order.
func TestAnyKeyOrderResultsInSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := history(t)
		count := rapid.IntRange(1, len(records)).Draw(t, "count")
		inOrder := replica.New(events.Discard())
		inOrder.Apply(records[:count])
		shuffled := replica.New(events.Discard())
		shuffled.Apply(rapid.Permutation(records[:count]).Draw(t, "order"))
		shuffled.Apply(records[:count])
		first, _ := inOrder.State(job)
		second, _ := shuffled.State(job)
		if first != second {
			t.Errorf("state %v in order, %v after a load of the latest records", first, second)
		}
		if a, b := inOrder.PendingJobs("q"), shuffled.PendingJobs("q"); a != b {
			t.Errorf("%d pending jobs in order, %d after a load of the latest records", a, b)
		}
	})
}

func TestOlderEpochDoesNotReplaceOwner(t *testing.T) {
	jobs := replica.New(events.Discard())
	for offset, epoch := range []uint64{3, 5, 4} {
		record, err := replica.OwnerRecord(&storev1.Owner{Instance: fmt.Sprint(epoch), Epoch: epoch})
		record = must(t, record, err)
		record.Offset = int64(offset)
		jobs.Apply([]storelog.Record{record})
	}
	if epoch := jobs.Owner().Owner.GetEpoch(); epoch != 5 {
		t.Errorf("the latest epoch is %d, want 5", epoch)
	}
}

func FuzzParseTask(f *testing.F) {
	f.Add("00000000000000aa.0.1.17")
	f.Add("a.0.0.-1")
	f.Add("....")
	f.Fuzz(func(t *testing.T, name string) {
		task, err := replica.ParseTask(name)
		if err != nil {
			return
		}
		again, err := replica.ParseTask(task.String())
		if err != nil || again != task {
			t.Errorf("%q parses as %+v, which prints as %q", name, task, task)
		}
	})
}

// Guards against an instance that takes a forecast from before its start, which may be of any age, for a fresh one.
func TestForecastFromBeforeTheStartDoesNotCount(t *testing.T) {
	record, err := replica.ForecastRecord(&storev1.Forecast{ValidMs: 3000})
	jobs := replica.New(events.Discard())
	jobs.Apply([]storelog.Record{must(t, record, err)})
	jobs.Ready()
	if jobs.Forecast() != nil {
		t.Error("a forecast from before the start counts")
	}
	record.Offset = 1
	jobs.Apply([]storelog.Record{record})
	if jobs.Forecast() == nil {
		t.Error("a new forecast doesn't count")
	}
}

// Guards against calls that are sent to an instance that was shut down, or to one that presents a key of its former process.
func TestPeersFollowTheirRecords(t *testing.T) {
	jobs := replica.New(events.Discard())
	offset := int64(0)
	apply := func(record storelog.Record) {
		offset++
		record.Offset = offset
		jobs.Apply([]storelog.Record{record})
	}
	put := func(name string, first byte) {
		record, err := replica.PeerRecord(replica.Peer{
			Name: name, Address: name + ":1", DataCentre: "z", Certificates: []replica.CertificateHash{{first}},
		})
		apply(must(t, record, err))
	}
	put("a", 1)
	put("b", 2)
	put("a", 3)
	if peer, known := jobs.Peer("a"); !known || peer.Address != "a:1" || peer.DataCentre != "z" || len(jobs.Peers()) != 2 {
		t.Errorf("peer a is %+v, want its record", peer)
	}
	if jobs.HasCertificate(replica.CertificateHash{1}) || !jobs.HasCertificate(replica.CertificateHash{3}) {
		t.Error("want the certificate of the latest record only")
	}
	apply(storelog.Record{Key: "p/b", Value: []byte("x")})
	apply(replica.PeerTombstone("a"))
	if peers := jobs.Peers(); len(peers) > 0 {
		t.Errorf("peers %+v after a deletion and a malformed record, want none", peers)
	}
	put("c", 4)
	jobs.KeepOnly(map[string]bool{"owner": true})
	if peers := jobs.Peers(); len(peers) > 0 {
		t.Errorf("peers %+v after a load that doesn't have their records", peers)
	}
}
