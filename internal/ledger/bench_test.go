package ledger_test

import (
	"encoding/binary"
	"fmt"
	"math/bits"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/claims"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
	"github.com/dotterelgauge/dotterelgauge/internal/state"
)

const (
	// tasksPerJob makes 14,000 tasks of 2,000 jobs.
	tasksPerJob = 7
	// recordsPerEntry is how many records share an append in the benchmarks.
	recordsPerEntry = 8
	workers         = 720
)

// logged are the entries of a benchmark and what they hold.
type logged struct {
	entries [][]byte
	records int
	bytes   int
}

// logOf puts records of one author into entries.
func logOf(b testing.TB, records []*apiv1.Record) logged {
	log := logged{records: len(records)}
	for i := 0; i < len(records); i += recordsPerEntry {
		entry := &apiv1.Entry{Author: &apiv1.Author{Instance: "perth-1-a", Incarnation: 1 << 60}, Version: 1}
		entry.Records = records[i:min(i+recordsPerEntry, len(records))]
		for j, record := range entry.Records {
			record.Sequence = uint64(i + j + 1)
			record.TimeUnixMs = 1_790_000_000_000 + int64(i)
		}
		payload, err := proto.Marshal(entry)
		if err != nil {
			b.Fatal(err)
		}
		log.entries = append(log.entries, payload)
		log.bytes += len(payload)
	}
	return log
}

// runningJobs are the records that submit and place jobs of tasksPerJob tasks.
func runningJobs(b testing.TB, jobs int) logged {
	records := []*apiv1.Record{{Body: &apiv1.Record_OwnerTaken{OwnerTaken: &apiv1.OwnerTaken{DataCentre: "perth-1", Epoch: 1}}}}
	task := 0
	for i := range jobs {
		id := fmt.Sprintf("job-%016d", i)
		records = append(records, &apiv1.Record{Actor: "lounge", Body: &apiv1.Record_JobSubmitted{JobSubmitted: &apiv1.JobSubmitted{Id: id, Spec: &apiv1.JobSpec{
			Account: "lounge", Team: "settlement", DataCentre: "perth-1", Cores: 4, MemoryMib: 16 << 10, ExpectedMs: 3_600_000,
			Shape: &apiv1.Shape{Members: tasksPerJob, Accelerators: 1, Adjacency: apiv1.Adjacency_ADJACENCY_DATA_CENTRE},
		}}}})
		placement := &apiv1.Placement{DataCentre: "perth-1", Epoch: 1}
		for range tasksPerJob {
			placement.Members = append(placement.Members, &apiv1.Member{
				Worker:       fmt.Sprintf("worker-%04d", task%workers),
				Accelerators: 1 << (task / workers % 32),
			})
			task++
		}
		records = append(records, &apiv1.Record{Actor: "perth-1-a", Body: &apiv1.Record_GangPlaced{GangPlaced: &apiv1.GangPlaced{Id: id, Run: 1, Placement: placement}}})
	}
	return logOf(b, records)
}

// sheets are the records of as many sheets as the fold keeps, each with eight accounts, that many teams and a guarantee
// of each account.
func sheets(b testing.TB, teams int) logged {
	const accounts = 8
	var records []*apiv1.Record
	for revision := range state.MaxRevisions {
		sheet := &apiv1.Sheet{}
		for n := range accounts {
			name := fmt.Sprintf("account-%02d", n)
			sheet.Accounts = append(sheet.Accounts, &apiv1.ClientAccount{Name: name, Priority: 50, Weight: 200})
			sheet.Guarantees = append(sheet.Guarantees, &apiv1.Guarantee{
				Account: name, DataCentre: "perth-1", Count: 4,
				Shape: &apiv1.Shape{Members: 2, Accelerators: 8, Adjacency: apiv1.Adjacency_ADJACENCY_RACK},
			})
		}
		for n := range teams {
			account := fmt.Sprintf("account-%02d", n%accounts)
			sheet.Teams = append(sheet.Teams, &apiv1.Team{Account: account, Name: fmt.Sprintf("settlement-%04d", n), Quota: 400})
		}
		records = append(records, &apiv1.Record{
			Actor: "operator of the lounge", Reason: "the share of a team was changed",
			Body: &apiv1.Record_SheetApplied{SheetApplied: &apiv1.SheetApplied{BaseRevision: uint64(revision), Sheet: sheet}},
		})
	}
	return logOf(b, records)
}

// doneKeys are the records that claim keys and end them with small answers.
func doneKeys(b testing.TB, keys int) logged {
	var records []*apiv1.Record
	for i := range keys {
		key := make([]byte, 16)
		binary.BigEndian.PutUint64(key, uint64(1_790_000_000_000+int64(i))<<16)
		key[6], key[8] = 7<<4, 0x80
		records = append(records,
			&apiv1.Record{Body: &apiv1.Record_KeyClaimed{KeyClaimed: &apiv1.KeyClaimed{Key: key, Account: "lounge", RequestChecksum: bits.Reverse64(uint64(i))}}},
			&apiv1.Record{Body: &apiv1.Record_KeyDone{KeyDone: &apiv1.KeyDone{Key: key, Account: "lounge", Answer: key, AnswerKept: true}}})
	}
	return logOf(b, records)
}

func newReader(machine ledger.Machine) *ledger.Replica {
	return ledger.New(ledger.Config{Stream: platform.StreamLedger, Author: &apiv1.Author{Instance: "reader"}, Machine: machine})
}

func foldAll(b testing.TB, replica *ledger.Replica, log logged) {
	rejected := 0
	replica.Subscribe(func(event ledger.Event) {
		if event.Rejection != nil {
			rejected++
		}
	})
	for offset, payload := range log.entries {
		if err := replica.FoldEntry(int64(offset), payload); err != nil {
			b.Fatal(err)
		}
	}
	if rejected > 0 {
		b.Fatalf("%d of %d records were rejected", rejected, log.records)
	}
}

// heapOf is the live heap that a folded state adds, bytes.
func heapOf(b testing.TB, machine ledger.Machine, log logged) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	replica := newReader(machine)
	foldAll(b, replica, log)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(replica)
	runtime.KeepAlive(log.entries)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func benchmarkStream(b *testing.B, newMachine func() ledger.Machine, log logged, items int) {
	b.Run(fmt.Sprintf("fold/%d", items), func(b *testing.B) {
		for b.Loop() {
			foldAll(b, newReader(newMachine()), log)
		}
		b.ReportMetric(float64(log.records)*float64(b.N)/b.Elapsed().Seconds(), "records/s")
		b.ReportMetric(float64(log.bytes)/float64(log.records), "log-B/record")
		b.ReportMetric(heapOf(b, newMachine(), log)/float64(items), "heap-B/item")
	})
	b.Run(fmt.Sprintf("snapshot/%d", items), func(b *testing.B) {
		replica := newReader(newMachine())
		foldAll(b, replica, log)
		size := 0
		for b.Loop() {
			data, err := replica.EncodeState()
			if err != nil {
				b.Fatal(err)
			}
			size = len(data)
		}
		b.ReportMetric(float64(size), "snapshot-B")
		b.ReportMetric(float64(size)/float64(items), "snapshot-B/item")
	})
	b.Run(fmt.Sprintf("restore/%d", items), func(b *testing.B) {
		replica := newReader(newMachine())
		foldAll(b, replica, log)
		data, err := replica.EncodeState()
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			if err := newReader(newMachine()).Import(0, data); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkLedger measures the ledger stream; 2,000 jobs hold 14,000 tasks.
func BenchmarkLedger(b *testing.B) {
	for _, jobs := range []int{500, 1000, 2000} {
		benchmarkStream(b, func() ledger.Machine { return state.New() }, runningJobs(b, jobs), jobs)
	}
}

// BenchmarkSheets measures the sheets kept in the ledger stream, by teams.
func BenchmarkSheets(b *testing.B) {
	for _, teams := range []int{50, 100, 150} {
		benchmarkStream(b, func() ledger.Machine { return state.New() }, sheets(b, teams), teams)
	}
}

// BenchmarkClaims measures the claims stream at a quarter, half and all of the table.
func BenchmarkClaims(b *testing.B) {
	for _, keys := range []int{claims.MaxKeys / 4, claims.MaxKeys / 2, claims.MaxKeys} {
		benchmarkStream(b, func() ledger.Machine { return claims.New() }, doneKeys(b, keys), keys)
	}
}
