package policy

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

const minute = int64(60_000)

// site returns a world with racks of workers of 8 accelerators.
func site(config Config, racks, workersInRack int) *world {
	w := newWorld(config)
	for rack := range racks {
		for i := range workersInRack {
			w.s.AddWorker(Worker{
				Name: fmt.Sprintf("w%d%d", rack, i), Rack: fmt.Sprintf("r%d", rack),
				Accelerators: 8, Cores: 32, MemoryMiB: 65536, SpeedPermille: 1000,
			})
		}
	}
	return w
}

func job(id string, shape Shape, expected int64) Job {
	return Job{ID: id, Account: "a", Class: Ordinary, Shape: shape, Cores: shape.Accelerators, ExpectedMillis: expected}
}

func (w *world) noFaults(t *testing.T) {
	t.Helper()
	for _, fault := range w.faults {
		t.Error(fault)
	}
}

func TestLargeJobIsNotStarvedBySmallOnes(t *testing.T) {
	for _, config := range []Config{LoungeConfig(), GalleryConfig()} {
		w := site(config, 1, 4)
		begin := w.now
		bound := config.Bounds.AgeingMillis + shareMillis
		ends := map[string]int64{}
		for small := 0; w.running["large"] == nil; small++ {
			if w.now-begin > bound {
				t.Fatalf("a gang of the whole site waits after %d minutes of small jobs", bound/minute)
			}
			id := fmt.Sprintf("small%05d", small)
			w.submit(job(id, Shape{Members: 1, Accelerators: 2}, 20*minute))
			if small == 20 {
				w.submit(job("large", Shape{Members: 4, Accelerators: 8, Adjacency: SameRack}, 10*minute))
			}
			w.decide()
			for _, running := range sortedKeys(w.running) {
				if ends[running] == 0 {
					ends[running] = w.now + 20*minute
				}
				if ends[running] <= w.now {
					w.end(running, Finished)
				}
			}
			w.finishStops()
			w.decide()
			w.now += minute
		}
		w.noFaults(t)
	}
}

// TestBackfillLeavesWithinBound starts a gang that runs far longer than declared on reserved cells.
func TestBackfillLeavesWithinBound(t *testing.T) {
	config := LoungeConfig()
	w := site(config, 1, 2)
	w.submit(job("long", Shape{Members: 1, Accelerators: 8}, 60*minute))
	w.decide()
	w.submit(job("large", Shape{Members: 2, Accelerators: 8, Adjacency: SameRack}, 60*minute))
	w.decide()
	w.submit(job("backfill", Shape{Members: 1, Accelerators: 4}, 5*minute))
	w.decide()
	if w.running["backfill"] == nil {
		t.Fatalf("not started on reserved cells: %s", w.s.Explain("backfill"))
	}
	w.now += 60 * minute
	w.end("long", Finished)
	w.decide()
	if w.stops != 0 {
		t.Fatal("the backfilled gang was stopped before its bound")
	}
	if wake := w.s.WakeMillis(); wake != w.now+config.Bounds.BackfillDelayMillis {
		t.Fatalf("wakes at %d, want %d", wake, w.now+config.Bounds.BackfillDelayMillis)
	}
	w.now = w.s.WakeMillis()
	w.decide()
	w.finishStops()
	w.decide()
	if w.running["large"] == nil {
		t.Fatalf("large waits beyond the bound: %s", w.s.Explain("large"))
	}
	w.noFaults(t)
}

// TestGangGivesLargerShapeBack has a gang of 4 stand in a guaranteed cell of 8, for that of 4 was in use, and claims
// the 8 when the 4 is free again: the small gang is counted against its own shape, and goes on where it is.
func TestGangGivesLargerShapeBack(t *testing.T) {
	w := site(LoungeConfig(), 1, 3)
	four, eight := Shape{Members: 1, Accelerators: 4}, Shape{Members: 1, Accelerators: 8}
	w.s.Configure([]Account{{Name: "a"}, {Name: "b"}}, nil, []Guarantee{{Account: "a", Shape: four, Count: 1}, {Account: "a", Shape: eight, Count: 1}})
	w.submit(job("first", four, 60*minute))
	w.decide()
	w.submit(job("second", four, 60*minute))
	w.decide()
	for i := range 3 {
		borrower := job(fmt.Sprintf("b%d", i), Shape{Members: 1, Accelerators: 4}, 60*minute)
		borrower.Account = "b"
		w.submit(borrower)
		w.submit(Job{ID: "whole" + borrower.ID, Account: "b", Shape: eight, ExpectedMillis: 60 * minute, Class: Patient})
	}
	w.decide()
	w.end("first", Finished)
	w.decide()
	w.submit(job("claim", eight, 60*minute))
	w.decide()
	w.finishStops()
	w.decide()
	if w.running["claim"] == nil || w.running["second"] == nil {
		t.Fatalf("claim and second do not both run: %v; claim %s", w.running, w.s.Explain("claim"))
	}
	w.noFaults(t)
}

func TestDefragmentationMovesSmallGang(t *testing.T) {
	w := site(LoungeConfig(), 2, 1)
	for _, id := range []string{"s1", "s2"} {
		w.submit(job(id, Shape{Members: 1, Accelerators: 8}, 300*minute))
	}
	w.decide()
	w.end("s1", Finished)
	w.end("s2", Finished)
	w.submit(job("x1", Shape{Members: 1, Accelerators: 4}, 300*minute))
	w.submit(job("x2", Shape{Members: 1, Accelerators: 4}, 300*minute))
	w.submit(job("y", Shape{Members: 1, Accelerators: 4}, 300*minute))
	w.decide()
	for _, id := range []string{"x1", "x2", "y"} {
		w.s.Checkpointed(id, 1000, w.now)
	}
	w.end("x1", Finished)
	w.submit(job("large", Shape{Members: 1, Accelerators: 8}, 300*minute))
	decisions := w.decide()
	if len(decisions) != 1 || decisions[0].Stop == nil || decisions[0].Stop.Reason != Moved {
		t.Fatalf("decisions %v, want one move", decisions)
	}
	moved := decisions[0].Stop.JobID
	w.finishStops()
	w.decide()
	if w.running["large"] == nil || w.running[moved] == nil {
		t.Fatalf("large and %s do not both run: %v", moved, w.running)
	}
	w.noFaults(t)
}

func TestWorkerAtFaultIsQuarantinedAndReturns(t *testing.T) {
	w := site(LoungeConfig(), 1, 1)
	for i := range suspectJobs {
		id := fmt.Sprintf("j%d", i)
		w.submit(job(id, Shape{Members: 1, Accelerators: 1}, minute))
		w.decide()
		w.s.StartFailed(id, "w00", w.now)
		w.end(id, Failed)
	}
	decisions := w.decide()
	if len(decisions) != 1 || decisions[0].Verdict == nil || decisions[0].Verdict.Condition != Quarantined {
		t.Fatalf("decisions %v, want a quarantine", decisions)
	}
	w.mark("w00", Quarantined)
	for range probesToReturn {
		w.now = w.s.WakeMillis()
		if decisions = w.decide(); len(decisions) != 1 || decisions[0].Probe == nil {
			t.Fatalf("decisions %v at %d, want a probe", decisions, w.now)
		}
		w.s.Probed("w00", true, w.now)
	}
	if decisions = w.decide(); len(decisions) != 1 || decisions[0].Verdict == nil || decisions[0].Verdict.Condition != Healthy {
		t.Fatalf("decisions %v, want the return", decisions)
	}
	w.noFaults(t)
}

// TestNoVerdictsForCallersThatReportNoEvidence ends runs as failed without naming workers: such a caller does not
// carry out verdicts, so that the worker has to stay in use.
func TestNoVerdictsForCallersThatReportNoEvidence(t *testing.T) {
	w := site(LoungeConfig(), 1, 1)
	for i := range 3 * suspectJobs {
		id := fmt.Sprintf("j%d", i)
		w.submit(job(id, Shape{Members: 1, Accelerators: 1}, minute))
		if decisions := w.decide(); len(decisions) == 0 || w.running[id] == nil {
			t.Fatalf("%s does not run: %v", id, decisions)
		}
		w.end(id, Failed)
		w.end(id, Cancelled)
	}
	w.noFaults(t)
}

func TestJobAtFaultLeavesWorkersAlone(t *testing.T) {
	w := site(LoungeConfig(), 1, 4)
	w.submit(job("bad", Shape{Members: 1, Accelerators: 8}, minute))
	var reported bool
	for range faultyWorkers {
		w.decide()
		w.s.StartFailed("bad", w.running["bad"][0].Worker, w.now)
		w.end("bad", Failed)
	}
	for _, d := range w.decide() {
		reported = reported || d.AtFault != nil && d.AtFault.JobID == "bad"
		if d.Verdict != nil {
			t.Errorf("verdict %+v", *d.Verdict)
		}
	}
	if !reported || w.running["bad"] != nil {
		t.Errorf("reported %v, running %v", reported, w.running["bad"])
	}
	w.noFaults(t)
}

func TestSameCallsSameDecisions(t *testing.T) {
	record := func() []string {
		var log []string
		b := newSteady(50)
		for range 300 {
			b.now += 30_000
			b.drop(b.random.IntN(len(b.running)), Finished)
			b.submit()
			for _, d := range b.s.Decide(b.now) {
				log = append(log, describe(d))
				if d.Start != nil {
					b.s.Started(d.Start.JobID, b.now)
					b.running = append(b.running, d.Start.JobID)
				}
				if d.Stop != nil {
					b.drop(slices.Index(b.running, d.Stop.JobID), PreemptedEnd)
				}
			}
		}
		return log
	}
	if first, second := record(), record(); len(first) == 0 || !slices.Equal(first, second) {
		t.Fatalf("%d and %d decisions differ", len(first), len(second))
	}
}

func TestPackErrorNamesAccountShapeAndRemedy(t *testing.T) {
	w := site(LoungeConfig(), 2, 2)
	workers := make([]Worker, 0, len(w.s.workers))
	for _, state := range w.s.workers {
		workers = append(workers, state.Worker)
	}
	rackGang := Shape{Members: 2, Accelerators: 8, Adjacency: SameRack}
	for _, c := range []struct {
		name       string
		guarantees []Guarantee
		fitting    int
		spare      bool
	}{
		{"all fit", []Guarantee{{Account: "a", Shape: rackGang, Count: 2}}, -1, false},
		{"one too many", []Guarantee{{Account: "a", Shape: rackGang, Count: 3}}, 2, false},
		{"across racks", []Guarantee{{Account: "a", Shape: Shape{Members: 3, Accelerators: 8, Adjacency: SameRack}, Count: 1}}, 0, false},
		{"no spare left", []Guarantee{{Account: "a", Shape: rackGang, Count: 2, Spare: true}}, 2, true},
	} {
		_, err := PackGuarantees(workers, c.guarantees)
		if c.fitting < 0 {
			if err != nil {
				t.Errorf("%s: %v", c.name, err)
			}
			continue
		}
		var failure *PackError
		if !errors.As(err, &failure) || failure.Account != "a" || failure.Fitting != c.fitting || failure.SpareMissing != c.spare {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		if message := failure.Error(); !strings.Contains(message, "account a") || !strings.Contains(message, "add") {
			t.Errorf("%s: message %q", c.name, message)
		}
	}
	if _, err := PackGuarantees(workers, []Guarantee{{Account: "a", Shape: Shape{Members: 1, Accelerators: 3}, Count: 1}}); !errors.Is(err, ErrShape) {
		t.Errorf("three accelerators: %v", err)
	}
}

func TestChooseDataCentresDividesWhatFitsNowhereWhole(t *testing.T) {
	worker := func(name string) Worker {
		return Worker{Name: name, Rack: "r", Accelerators: 8, Cores: 32, MemoryMiB: 65536}
	}
	sites := []Site{{"north", []Worker{worker("n1")}}, {"south", []Worker{worker("s1"), worker("s2")}}}
	eight := Shape{Members: 1, Accelerators: 8}
	got, err := ChooseDataCentres(sites, nil, []Guarantee{{Account: "a", Shape: eight, Count: 3}})
	want := []SitedGuarantee{
		{"south", Guarantee{Account: "a", Shape: eight, Count: 2}},
		{"north", Guarantee{Account: "a", Shape: eight, Count: 1}},
	}
	if err != nil || !slices.Equal(got, want) {
		t.Fatalf("got %v, %v", got, err)
	}
	if _, err = ChooseDataCentres(sites, want, []Guarantee{{Account: "b", Shape: eight, Count: 1}}); err == nil {
		t.Fatal("a fourth worker was found")
	}
}

func TestLargestFitting(t *testing.T) {
	workers := []Worker{
		{Name: "w1", Rack: "r1", Accelerators: 8, Cores: 32, MemoryMiB: 1024},
		{Name: "w2", Rack: "r1", Accelerators: 8, Cores: 32, MemoryMiB: 1024},
		{Name: "w3", Rack: "r2", Accelerators: 8, Cores: 32, MemoryMiB: 1024},
	}
	for _, c := range []struct {
		job  Job
		want Shape
	}{
		{Job{Shape: Shape{Members: 3, Accelerators: 8, Adjacency: SameRack}}, Shape{Members: 2, Accelerators: 8, Adjacency: SameRack}},
		{Job{Shape: Shape{Members: 4, Accelerators: 8, Adjacency: SameDataCentre}}, Shape{Members: 3, Accelerators: 8, Adjacency: SameDataCentre}},
		{Job{Shape: Shape{Members: 1, Accelerators: 16}}, Shape{Members: 1, Accelerators: 8}},
		{Job{Shape: Shape{Members: 1, Accelerators: 8}, Cores: 64}, Shape{}},
	} {
		if got := LargestFitting(workers, c.job); got != c.want {
			t.Errorf("%+v: got %v, want %v", c.job, got, c.want)
		}
		var misfit *MisfitError
		if err := CheckFits(workers, c.job); !errors.As(err, &misfit) || misfit.Largest != c.want {
			t.Errorf("%+v: %v", c.job, err)
		}
	}
}

func TestFragmentation(t *testing.T) {
	free := []FreeCells{{Rack: "r1", Mask: 0b0000_0111}, {Rack: "r1", Mask: 0b1111_0000}, {Rack: "r2", Mask: 0b1111_0000}}
	for _, c := range []struct {
		shapes   []Shape
		unusable int
	}{
		{nil, 11},
		{[]Shape{{Members: 1, Accelerators: 1}}, 0},
		{[]Shape{{Members: 1, Accelerators: 2}}, 1},
		{[]Shape{{Members: 1, Accelerators: 8}}, 11},
		{[]Shape{{Members: 2, Accelerators: 4, Adjacency: SameDataCentre}}, 3},
		{[]Shape{{Members: 3, Accelerators: 2, Adjacency: SameRack}}, 5},
	} {
		if unusable, total := Fragmentation(free, c.shapes); unusable != c.unusable || total != 11 {
			t.Errorf("%v: %d of %d, want %d of 11", c.shapes, unusable, total, c.unusable)
		}
	}
}
