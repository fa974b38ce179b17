package tracegen

import (
	"fmt"
	"math"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
)

const (
	contendedDuration = 3 * time.Minute
	contendedSite     = "north"
	contendedWorkers  = 32
	contendedPerRack  = 8
	contendedAccounts = 10
	// batchTasks is the mean number of tasks of a batch job, each a job of the trace as these have one task or gang, and batchSpread the
	// standard deviation of the logarithms of their run times.
	batchTasks  = 39
	batchSpread = 0.15
)

// contendedKind describes the jobs of one class. Run times have a log-normal distribution, and declared ones say little about them.
type contendedKind struct {
	class     apiv1.WorkClass
	medianRun time.Duration
	sigma     float64
	// ratioMedian, lowerSigma and upperSigma describe the logarithm of the ratio of the run time to the declared one: its median, and the
	// standard deviations of the normal distributions of which the values below and above it are halves.
	ratioMedian, lowerSigma, upperSigma float64
	// share is the share of the accelerator time that the kind asks for, and cores the cores and memoryMiB the memory of each member.
	share            float64
	cores, memoryMiB uint32
	shapes           []weightedShape
	// tasks is the number of jobs that are submitted together with the same declared time.
	tasks int
}

// contendedKinds are as measured where declared estimates carry little information: the ratio of actual to declared duration of the urgent
// kind is 0.45, 1.24 and 5.4 at the 10th, 50th and 90th percentile, the median factor of the error 1.6 for the others.
var contendedKinds = []contendedKind{
	{
		class: urgentClass, medianRun: 2200 * time.Millisecond, sigma: 0.5, ratioMedian: 0.215, lowerSigma: 0.79, upperSigma: 1.15,
		share: 0.1, cores: 2, memoryMiB: 4 << 10, tasks: 1,
		shapes: []weightedShape{{2, shape(1, 2, onWorker)}, {2, shape(4, 4, inRack)}, {2, shape(2, 8, inRack)}, {1, shape(4, 1, inDataCentre)}},
	},
	{
		class: ordinaryClass, medianRun: 4 * time.Second, sigma: 0.4, lowerSigma: 0.7, upperSigma: 0.7,
		share: 0.3, cores: 52, memoryMiB: 110 << 10, tasks: 1,
		shapes: []weightedShape{
			{4, shape(4, 4, inDataCentre)}, {4, shape(13, 2, inDataCentre)}, {1, shape(30, 1, inDataCentre)}, {2, shape(8, 8, inDataCentre)},
		},
	},
	{
		class: patientClass, medianRun: 6200 * time.Millisecond, sigma: 0.36, lowerSigma: 0.7, upperSigma: 0.7,
		share: 0.4, cores: 2, memoryMiB: 8 << 10, tasks: batchTasks,
		shapes: []weightedShape{{1, shape(1, 1, onWorker)}},
	},
}

// Contended returns three minutes of a data centre with 32 workers of three speeds whose callers together ask for almost all of it, and declare
// run times that say little about the true ones. Three of its ten accounts are large.
func Contended(seed uint64) *replay.Trace {
	sheet := &apiv1.Sheet{}
	for account := range contendedAccounts {
		name := accountName(account)
		sheet.Accounts = append(sheet.Accounts, &apiv1.ClientAccount{Name: name, Priority: 50, Weight: 10})
		sheet.Teams = append(sheet.Teams, &apiv1.Team{Account: name, Name: "all"})
	}
	g := newGenerator("contended", seed, sheet)
	for i := range contendedWorkers {
		speeds := []uint32{800, 1000, 1250}
		g.header.Workers = append(g.header.Workers, &apiv1.Worker{
			Name: fmt.Sprintf("%s-%d", contendedSite, i+1), DataCentre: contendedSite,
			Rack: fmt.Sprintf("%s-%d", contendedSite, i/contendedPerRack+1), Accelerators: acceleratorsPerWorker, Cores: 128,
			MemoryMib: 256 << 10, Slots: 64, Connections: 64, SpeedPermille: speeds[g.rng.IntN(len(speeds))],
		})
	}
	dc := dataCentre{contendedSite, []int{contendedPerRack, contendedPerRack, contendedPerRack, contendedPerRack}}
	for _, kind := range contendedKinds {
		remaining := kind.share * contendedDuration.Hours() * float64(dc.acceleratorCount())
		for remaining > 0 {
			remaining -= g.submitContended(dc, kind)
		}
	}
	return g.trace()
}

// submitContended adds a submission of a kind, and returns the accelerator hours that it asks for.
func (g *generator) submitContended(dc dataCentre, kind contendedKind) float64 {
	const largeAccounts = 3
	account := g.rng.IntN(largeAccounts)
	if g.rng.IntN(2) == 0 {
		account = g.rng.IntN(contendedAccounts)
	}
	at := time.Duration(g.rng.Int64N(int64(contendedDuration))).Round(time.Millisecond)
	run := float64(kind.medianRun) * math.Exp(kind.sigma*g.rng.NormFloat64())
	deviation := g.rng.NormFloat64()
	if deviation < 0 {
		deviation *= kind.lowerSigma
	} else {
		deviation *= kind.upperSigma
	}
	declared := time.Duration(run / math.Exp(kind.ratioMedian+deviation))
	wanted := g.drawShape(dc, workload{shapes: kind.shapes})
	hours := 0.0
	for range kind.tasks {
		taskRun := run
		if kind.tasks > 1 {
			taskRun *= math.Exp(batchSpread * g.rng.NormFloat64())
		}
		g.jobCount++
		job := &apiv1.TraceJob{
			Id: fmt.Sprintf("j%05d", g.jobCount), RunMs: time.Duration(taskRun).Milliseconds(), CheckpointEveryMs: 500, CheckpointMs: 100,
			Spec: &apiv1.JobSpec{
				Account: accountName(account), Team: "all", WorkClass: kind.class, Shape: wanted, DataCentre: dc.name,
				Cores: kind.cores, MemoryMib: kind.memoryMiB, ExpectedMs: max(100, declared.Milliseconds()),
			},
		}
		if g.rng.IntN(2) == 0 {
			// More than a stop may take: the work since the start is lost.
			job.CheckpointEveryMs, job.CheckpointMs = time.Hour.Milliseconds(), 5000
		}
		g.addEvent(at, &apiv1.TraceLine{Event: &apiv1.TraceLine_Submitted{Submitted: job}})
		hours += acceleratorHours(submission{run: time.Duration(taskRun), job: job})
	}
	return hours
}
