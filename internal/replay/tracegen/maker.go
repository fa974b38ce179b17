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

// startMillis is when every trace begins: midnight in Perth on 3 March 2026.
const startMillis = 1_772_467_200_000

const (
	hour      = time.Hour
	day       = 24 * hour
	wholeUnit = 1000
)

// maker gathers the lines of one trace.
type maker struct {
	rng    *rand.Rand
	header *apiv1.TraceHeader
	lines  []*apiv1.TraceLine
	// share of a worker that comes with one accelerator of a job.
	coresPerAccelerator  uint32
	memoryPerAccelerator uint32
	// bias is how far the declarations of an account are off in one direction.
	bias map[string]float64
	jobs int
}

func newMaker(name string, seed uint64, sheet *apiv1.Sheet) *maker {
	return &maker{
		rng:    rand.New(rand.NewPCG(seed, uint64(len(name)))),
		header: &apiv1.TraceHeader{Format: replay.TraceFormat, Name: name, Seed: seed, Sheet: sheet, MeasureFromUnixMs: startMillis},
		bias:   map[string]float64{},
	}
}

// trace returns the lines in the order of time.
func (m *maker) trace() *replay.Trace {
	slices.SortStableFunc(m.lines, func(a, b *apiv1.TraceLine) int {
		return int(a.GetTimeUnixMs() - b.GetTimeUnixMs())
	})
	return &replay.Trace{Header: m.header, Events: m.lines}
}

func (m *maker) add(at time.Duration, line *apiv1.TraceLine) {
	line.TimeUnixMs = startMillis + at.Milliseconds()
	m.lines = append(m.lines, line)
}

// site is a data centre with the number of workers in each rack.
type site struct {
	name  string
	racks []int
}

// accelerators of every worker.
const accelerators = 8

func (s site) accelerators() int {
	total := 0
	for _, workers := range s.racks {
		total += workers * accelerators
	}
	return total
}

// generation is a purchase of workers.
type generation struct {
	speedPermille uint32
	cores         uint32
}

// generations of workers, oldest first.
var generations = []generation{{700, 32}, {1000, 32}, {1400, 48}}

// buy adds the workers of a site. Racks are of one generation, but a worker in seven was replaced by another one.
func (m *maker) buy(place site, memoryMiB uint32) {
	const replacedOneIn = 7
	for rack, workers := range place.racks {
		bought := generations[m.rng.IntN(len(generations))]
		for at := range workers {
			kept := bought
			if m.rng.IntN(replacedOneIn) == 0 {
				kept = generations[m.rng.IntN(len(generations))]
			}
			m.header.Workers = append(m.header.Workers, &apiv1.Worker{
				Name:       fmt.Sprintf("%s-%d-%d", place.name, rack+1, at+1),
				DataCentre: place.name, Rack: fmt.Sprintf("%s-%d", place.name, rack+1),
				Accelerators: accelerators, Cores: kept.cores, MemoryMib: memoryMiB,
				Slots: 8, Connections: 64, SpeedPermille: kept.speedPermille,
			})
		}
	}
}

// kind is a sort of job that an account submits.
type kind struct {
	account string
	teams   []string
	class   apiv1.WorkClass
	shapes  []weightedShape
	// median, sigma, shortest and longest describe the true run time, lognormal.
	median   time.Duration
	sigma    float64
	shortest time.Duration
	longest  time.Duration
	// load is the share of the accelerator time of the data centre that the kind asks for in a day.
	load float64
	// hours weighs the hours of the day.
	hours [24]float64
	// slack is the range of the time to the deadline, in run times; zero means no deadline.
	slack [2]float64
	// most bounds the jobs of the kind that are under way at once in a data centre; 0 means no bound.
	most int
}

type weightedShape struct {
	weight float64
	shape  *apiv1.Shape
}

const (
	onWorker = apiv1.Adjacency_ADJACENCY_WORKER
	inRack   = apiv1.Adjacency_ADJACENCY_RACK
	anywhere = apiv1.Adjacency_ADJACENCY_DATA_CENTRE
)

func shape(members, accelerators uint32, adjacency apiv1.Adjacency) *apiv1.Shape {
	return &apiv1.Shape{Members: members, Accelerators: accelerators, Adjacency: adjacency}
}

// submission is a job before its line is written.
type submission struct {
	at  time.Duration
	run time.Duration
	job *apiv1.TraceJob
}

// fill draws jobs of the kind until they ask for its share of the data centre's day.
func (m *maker) fill(place site, wanted kind) []submission {
	budget := wanted.load * float64(place.accelerators()) * day.Hours()
	var drawn []submission
	for budget > 0 {
		next := m.draw(place, wanted)
		budget -= acceleratorHours(next)
		drawn = append(drawn, next)
	}
	m.burst(drawn)
	slices.SortStableFunc(drawn, func(a, b submission) int { return int(a.at - b.at) })
	return limit(drawn, wanted.most)
}

func acceleratorHours(s submission) float64 {
	shape := s.job.GetSpec().GetShape()
	return float64(shape.GetMembers()) * float64(shape.GetAccelerators()) * s.run.Hours()
}

func (m *maker) draw(place site, wanted kind) submission {
	run := m.runTime(wanted)
	spec := &apiv1.JobSpec{
		Account:    wanted.account,
		Team:       wanted.teams[m.rng.IntN(len(wanted.teams))],
		WorkClass:  wanted.class,
		Shape:      m.shapeFor(place, wanted),
		DataCentre: place.name,
	}
	return submission{at: m.hourOf(wanted.hours), run: run, job: &apiv1.TraceJob{Spec: spec}}
}

func (m *maker) runTime(wanted kind) time.Duration {
	drawn := float64(wanted.median) * math.Exp(m.rng.NormFloat64()*wanted.sigma)
	return min(max(time.Duration(drawn), wanted.shortest), wanted.longest).Round(time.Second)
}

// shapeFor draws a shape that the empty data centre holds.
func (m *maker) shapeFor(place site, wanted kind) *apiv1.Shape {
	total := 0.0
	for _, option := range wanted.shapes {
		if place.holds(option.shape) {
			total += option.weight
		}
	}
	at := m.rng.Float64() * total
	var last *apiv1.Shape
	for _, option := range wanted.shapes {
		if !place.holds(option.shape) {
			continue
		}
		last = option.shape
		if at -= option.weight; at < 0 {
			break
		}
	}
	return last
}

// holds tells whether the shape leaves at least a third of the data centre to others and fits a rack that it asks for.
func (s site) holds(wanted *apiv1.Shape) bool {
	const third = 3
	size := int(wanted.GetMembers() * wanted.GetAccelerators())
	if size*third > s.accelerators()*(third-1) {
		return false
	}
	return wanted.GetAdjacency() != inRack || size <= slices.Max(s.racks)*accelerators
}

func (m *maker) hourOf(hours [24]float64) time.Duration {
	total := 0.0
	for _, weight := range hours {
		total += weight
	}
	at := m.rng.Float64() * total
	for index, weight := range hours {
		if at < weight {
			return time.Duration((float64(index) + at/weight) * float64(hour)).Round(time.Millisecond)
		}
		at -= weight
	}
	return day - time.Millisecond
}

// burst moves a fifth of the jobs into three minutes of the day.
func (m *maker) burst(drawn []submission) {
	const (
		bursts = 3
		oneIn  = 5
	)
	var times [bursts]time.Duration
	for at := range times {
		times[at] = m.hourOf(daytime).Round(time.Minute)
	}
	for at := range drawn {
		if m.rng.IntN(oneIn) == 0 {
			within := time.Duration(m.rng.Int64N(int64(time.Minute)))
			drawn[at].at = times[m.rng.IntN(bursts)] + within.Round(time.Millisecond)
		}
	}
}

// limit drops jobs beyond the number that may be under way at once on the slowest workers.
func limit(sorted []submission, most int) []submission {
	if most == 0 {
		return sorted
	}
	const margin = 30 * time.Second
	var kept []submission
	var ends []time.Duration
	for _, next := range sorted {
		ends = slices.DeleteFunc(ends, func(end time.Duration) bool { return end <= next.at })
		if len(ends) >= most {
			continue
		}
		slowest := next.run * wholeUnit / time.Duration(generations[0].speedPermille)
		ends = append(ends, next.at+slowest+margin)
		kept = append(kept, next)
	}
	return kept
}

// daytime and the other profiles weigh the hours from midnight.
var (
	daytime = [24]float64{1, 1, 1, 2, 4, 6, 8, 9, 9, 8, 8, 8, 8, 8, 8, 9, 9, 9, 8, 6, 4, 3, 2, 1}
	evening = [24]float64{6, 4, 2, 1, 1, 1, 1, 2, 2, 2, 2, 2, 2, 2, 2, 3, 4, 6, 8, 9, 9, 9, 9, 8}
	evenly  = [24]float64{4, 4, 4, 4, 4, 4, 4, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 4, 4, 4, 4}
)
