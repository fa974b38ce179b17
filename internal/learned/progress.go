package learned

import "time"

const (
	// minSampleShare is the progress between two reports that makes a sample of the rate of a task: progress is reported in whole
	// per cent. The end of a task makes a sample of minFinalShare.
	minSampleShare = 0.12
	minFinalShare  = 0.05
)

// Report is a report of the progress of a task.
type Report struct {
	// Share is the part of the task that is done, from 0 to 1.
	Share float64
	At    time.Time
	// ClockMs is the worker's clock; 0 if unknown.
	ClockMs int64
}

// elapsedSince returns the time since an earlier report, by the worker's clock if possible: a busy instance reads reports late.
func (r Report) elapsedSince(earlier Report) time.Duration {
	if r.ClockMs > earlier.ClockMs && earlier.ClockMs > 0 {
		return time.Duration(r.ClockMs-earlier.ClockMs) * time.Millisecond
	}
	return r.At.Sub(earlier.At)
}

// Progress divides the progress of a task into samples of its rate. The zero value has no reports.
type Progress struct {
	// base is the report that the next sample starts from, and last the share in the latest report.
	base Report
	last float64
}

// Add adds a report of a task that started at the given time; ended is true if it is the end of the task. It returns the part of the
// task since the last sample and the time that it took, and false if that makes no sample yet. A task that was resumed from a checkpoint
// gives samples only once its progress has grown: the checkpoint is restored before.
func (p *Progress) Add(report Report, startedAt time.Time, resumed, ended bool) (float64, time.Duration, bool) {
	last := p.last
	p.last = report.Share
	if p.base.At.IsZero() {
		switch {
		case !resumed:
			p.base = Report{At: startedAt}
		case last > 0 && report.Share > last && !ended:
			p.base = report
			return 0, 0, false
		default:
			return 0, 0, false
		}
	}
	share, elapsed := report.Share-p.base.Share, report.elapsedSince(p.base)
	if share >= 0 && share < minSampleShare && (!ended || share < minFinalShare) {
		return 0, 0, false
	}
	p.base = report
	return share, elapsed, share > 0
}
