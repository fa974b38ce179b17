package tracegen

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
)

// startMillis is the start of every trace in Unix milliseconds: midnight in Perth on 3 March 2026.
const startMillis = 1_772_467_200_000

const (
	hour = time.Hour
	day  = 24 * hour
	// referenceSpeedPermille is the speed of the worker to which true and declared run times refer.
	referenceSpeedPermille = 1000
)

// generator collects the header and the events of one trace. Times passed to its methods count from startMillis.
type generator struct {
	rng    *rand.Rand
	header *apiv1.TraceHeader
	events []*apiv1.TraceLine
	// Cores and MiB of memory that a job requests with each accelerator.
	coresPerAccelerator  uint32
	memoryPerAccelerator uint32
	// declarationBias is the factor by which an account overestimates its run times; below 1 it underestimates them.
	declarationBias map[string]float64
	jobCount        int
}

func newGenerator(name string, seed uint64, sheet *apiv1.Sheet) *generator {
	return &generator{
		rng: rand.New(rand.NewPCG(seed, uint64(len(name)))),
		header: &apiv1.TraceHeader{
			Format: replay.TraceFormat, Name: name, Seed: seed, Sheet: sheet, MeasureFromUnixMs: startMillis,
		},
		declarationBias: map[string]float64{},
	}
}

// trace returns the trace with its events in order of time.
func (g *generator) trace() *replay.Trace {
	slices.SortStableFunc(g.events, func(a, b *apiv1.TraceLine) int {
		return int(a.GetTimeUnixMs() - b.GetTimeUnixMs())
	})
	return &replay.Trace{Header: g.header, Events: g.events}
}

func (g *generator) addEvent(at time.Duration, line *apiv1.TraceLine) {
	line.TimeUnixMs = startMillis + at.Milliseconds()
	g.events = append(g.events, line)
}

// dataCentre is the name of a data centre and the number of workers in each of its racks.
type dataCentre struct {
	name           string
	workersPerRack []int
}

const acceleratorsPerWorker = 8

func (d dataCentre) acceleratorCount() int {
	total := 0
	for _, workers := range d.workersPerRack {
		total += workers * acceleratorsPerWorker
	}
	return total
}

// generation is a hardware generation of workers.
type generation struct {
	speedPermille uint32
	cores         uint32
}

// generations lists the hardware generations, oldest and slowest first.
var generations = []generation{{700, 32}, {1000, 32}, {1400, 48}}

// addWorkers adds the workers of a data centre. A rack is of one generation, except that one worker in seven was replaced
// by a worker of a random generation.
func (g *generator) addWorkers(dc dataCentre, memoryMiB uint32) {
	const replacedOneIn = 7
	for rack, workers := range dc.workersPerRack {
		rackGeneration := generations[g.rng.IntN(len(generations))]
		for i := range workers {
			workerGeneration := rackGeneration
			if g.rng.IntN(replacedOneIn) == 0 {
				workerGeneration = generations[g.rng.IntN(len(generations))]
			}
			g.header.Workers = append(g.header.Workers, &apiv1.Worker{
				Name:       fmt.Sprintf("%s-%d-%d", dc.name, rack+1, i+1),
				DataCentre: dc.name, Rack: fmt.Sprintf("%s-%d", dc.name, rack+1),
				Accelerators: acceleratorsPerWorker, Cores: workerGeneration.cores, MemoryMib: memoryMiB,
				Slots: 8, Connections: 64, SpeedPermille: workerGeneration.speedPermille,
			})
		}
	}
}

// workload describes jobs that teams of an account submit.
type workload struct {
	account string
	teams   []string
	class   apiv1.WorkClass
	shapes  []weightedShape
	// The true run time has a log-normal distribution with this median and sigma, limited to minRun and maxRun.
	medianRun time.Duration
	sigma     float64
	minRun    time.Duration
	maxRun    time.Duration
	// acceleratorShare is the share of the data centre's accelerator time in a day that the workload requests.
	acceleratorShare float64
	// hourWeights are the relative rates of submission in each hour of the day.
	hourWeights [24]float64
	// slack is the range of the time to the deadline, as multiples of the run time; zero means no deadline.
	slack [2]float64
	// maxConcurrent limits the jobs of the workload that run at the same time in a data centre; 0 means no limit.
	maxConcurrent int
}

// weightedShape is a shape and its relative probability.
type weightedShape struct {
	weight float64
	shape  *apiv1.Shape
}

const (
	onWorker     = apiv1.Adjacency_ADJACENCY_WORKER
	inRack       = apiv1.Adjacency_ADJACENCY_RACK
	inDataCentre = apiv1.Adjacency_ADJACENCY_DATA_CENTRE
)

func shape(members, accelerators uint32, adjacency apiv1.Adjacency) *apiv1.Shape {
	return &apiv1.Shape{Members: members, Accelerators: accelerators, Adjacency: adjacency}
}

// submission is a job with its submission time, counted from the start of the trace, and its true run time.
type submission struct {
	at  time.Duration
	run time.Duration
	job *apiv1.TraceJob
}

// drawJobs returns random jobs of the workload in order of submission time. Together they request the workload's share of
// the data centre's accelerator time, less the jobs that maxConcurrent drops.
func (g *generator) drawJobs(dc dataCentre, w workload) []submission {
	remainingHours := w.acceleratorShare * float64(dc.acceleratorCount()) * day.Hours()
	var drawn []submission
	for remainingHours > 0 {
		next := g.drawJob(dc, w)
		remainingHours -= acceleratorHours(next)
		drawn = append(drawn, next)
	}
	g.moveIntoBursts(drawn)
	slices.SortStableFunc(drawn, func(a, b submission) int { return int(a.at - b.at) })
	return limitConcurrent(drawn, w.maxConcurrent)
}

func acceleratorHours(s submission) float64 {
	shape := s.job.GetSpec().GetShape()
	return float64(shape.GetMembers()) * float64(shape.GetAccelerators()) * s.run.Hours()
}

func (g *generator) drawJob(dc dataCentre, w workload) submission {
	run := g.drawRunTime(w)
	spec := &apiv1.JobSpec{
		Account:    w.account,
		Team:       w.teams[g.rng.IntN(len(w.teams))],
		WorkClass:  w.class,
		Shape:      g.drawShape(dc, w),
		DataCentre: dc.name,
	}
	return submission{at: g.drawTimeOfDay(w.hourWeights), run: run, job: &apiv1.TraceJob{Spec: spec}}
}

func (g *generator) drawRunTime(w workload) time.Duration {
	drawn := float64(w.medianRun) * math.Exp(g.rng.NormFloat64()*w.sigma)
	return min(max(time.Duration(drawn), w.minRun), w.maxRun).Round(time.Second)
}

// drawShape returns a random shape of the workload that fits the data centre.
func (g *generator) drawShape(dc dataCentre, w workload) *apiv1.Shape {
	total := 0.0
	for _, option := range w.shapes {
		if dc.fits(option.shape) {
			total += option.weight
		}
	}
	remaining := g.rng.Float64() * total
	var last *apiv1.Shape
	for _, option := range w.shapes {
		if !dc.fits(option.shape) {
			continue
		}
		last = option.shape
		if remaining -= option.weight; remaining < 0 {
			break
		}
	}
	return last
}

// fits reports whether the shape leaves at least a third of the data centre's accelerators to other jobs and, with adjacency
// rack, fits the largest rack.
func (d dataCentre) fits(shape *apiv1.Shape) bool {
	const freeOneIn = 3
	size := int(shape.GetMembers() * shape.GetAccelerators())
	if size*freeOneIn > d.acceleratorCount()*(freeOneIn-1) {
		return false
	}
	return shape.GetAdjacency() != inRack || size <= slices.Max(d.workersPerRack)*acceleratorsPerWorker
}

// drawTimeOfDay returns a random time after midnight, distributed by the weights of the hours.
func (g *generator) drawTimeOfDay(hourWeights [24]float64) time.Duration {
	total := 0.0
	for _, weight := range hourWeights {
		total += weight
	}
	remaining := g.rng.Float64() * total
	for index, weight := range hourWeights {
		if remaining < weight {
			return time.Duration((float64(index) + remaining/weight) * float64(hour)).Round(time.Millisecond)
		}
		remaining -= weight
	}
	return day - time.Millisecond
}

// moveIntoBursts moves one job in five into one of three random minutes of the day.
func (g *generator) moveIntoBursts(drawn []submission) {
	const (
		burstCount = 3
		movedOneIn = 5
	)
	var burstStarts [burstCount]time.Duration
	for i := range burstStarts {
		burstStarts[i] = g.drawTimeOfDay(daytime).Round(time.Minute)
	}
	for i := range drawn {
		if g.rng.IntN(movedOneIn) == 0 {
			offset := time.Duration(g.rng.Int64N(int64(time.Minute)))
			drawn[i].at = burstStarts[g.rng.IntN(burstCount)] + offset.Round(time.Millisecond)
		}
	}
}

// limitConcurrent drops each job that would exceed the maximum number of concurrent jobs if every job ran on the slowest
// workers. The jobs must be sorted by submission time.
func limitConcurrent(sorted []submission, maxConcurrent int) []submission {
	if maxConcurrent == 0 {
		return sorted
	}
	const margin = 30 * time.Second
	var kept []submission
	var ends []time.Duration
	for _, next := range sorted {
		ends = slices.DeleteFunc(ends, func(end time.Duration) bool { return end <= next.at })
		if len(ends) >= maxConcurrent {
			continue
		}
		slowestRun := next.run * referenceSpeedPermille / time.Duration(generations[0].speedPermille)
		ends = append(ends, next.at+slowestRun+margin)
		kept = append(kept, next)
	}
	return kept
}

// Relative rates of submission in each hour, from midnight.
var (
	daytime = [24]float64{1, 1, 1, 2, 4, 6, 8, 9, 9, 8, 8, 8, 8, 8, 8, 9, 9, 9, 8, 6, 4, 3, 2, 1}
	evening = [24]float64{6, 4, 2, 1, 1, 1, 1, 2, 2, 2, 2, 2, 2, 2, 2, 3, 4, 6, 8, 9, 9, 9, 9, 8}
	allDay  = [24]float64{4, 4, 4, 4, 4, 4, 4, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 4, 4, 4, 4}
)
