package assign

import (
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
)

const (
	// minProgress is the progress in a run, in percent, from which on its pace predicts its end. Progress is reported in whole percent.
	minProgress = 10
	// overdueShare is the minimum of the expected remaining time of a run, as a share of the time that it has run: one that is about to
	// end by its pace may still take longer.
	overdueShare = 0.05
	fullProgress = 100
)

// LostWork returns the work that stopping a run of a step loses, in core-seconds. All members lose what they did since the run
// started, ran ago. If the step is long-running or takes checkpoints, also at a stop, they lose at most the time to stop and restore.
func LostWork(step *storev1.Step, members int, ran, stop, restore time.Duration) float64 {
	if step.GetCheckpointing() || step.GetLongRunning() {
		ran = min(ran, stop+restore)
	}
	return ran.Seconds() * float64(members) * ResourcesFromProto(step.GetNeed()).CoreEquivalent()
}

// Progress is what a worker has reported of a task that ends by itself.
type Progress struct {
	// First was reported First.At ago and Latest Latest.At ago, in percent; a run that resumes from a checkpoint begins above 0.
	First, Latest Report
	// Estimate is the declared duration on a worker of speed 1, and Speed the worker's speed.
	Estimate time.Duration
	Speed    float64
}

// Report is the progress of a task in percent, and how long ago it was reported.
type Report struct {
	Percent float64
	Ago     time.Duration
}

// Remaining returns the expected time until the task ends, at least a millisecond: by its pace once it has made minProgress, by its
// estimate before that.
func (p Progress) Remaining() time.Duration {
	left := max(0, fullProgress-p.Latest.Percent)
	total := time.Duration(left / fullProgress * float64(p.Estimate) / max(p.Speed, minSpeed))
	if made := p.Latest.Percent - p.First.Percent; made >= minProgress {
		total = time.Duration(left / made * float64(p.First.Ago-p.Latest.Ago))
	}
	floor := max(time.Millisecond, time.Duration(overdueShare*float64(p.First.Ago)))
	return max(floor, total-p.Latest.Ago)
}

// minSpeed limits the speed that a worker counts with.
const minSpeed = 0.05
