package worker

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

// maxReports bounds the reports that wait for their lag to pass.
const maxReports = 256

// timedReport is the state of the worker at one instant.
type timedReport struct {
	at     time.Time
	report *apiv1.UsageReport
}

// Usage returns the report that is as old as the lag. It implements platform.Worker.
func (w *Worker) Usage(context.Context) (*apiv1.UsageReport, error) {
	faults, err := w.admit()
	if err != nil {
		return nil, err
	}
	if faults.LoseAnswers {
		return nil, platform.ErrUnknownEffect
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.settle(now)
	answer := proto.CloneOf(w.visible(now))
	answer.Worker = w.description.GetName()
	answer.Leaving = faults.Leave
	answer.BusySlots = uint32(w.busy)
	for _, epoch := range w.epochs {
		answer.HighestEpoch = max(answer.HighestEpoch, epoch)
	}
	return answer, nil
}

// report notes that the state of a task changed at the instant.
func (w *Worker) report(at time.Time) {
	w.version++
	if count := len(w.reports); count > 0 && w.reports[count-1].at.After(at) {
		at = w.reports[count-1].at
	}
	report := &apiv1.UsageReport{Version: w.version}
	for _, t := range w.sortedTasks() {
		report.Tasks = append(report.Tasks, &apiv1.TaskReport{
			Task:          t.lease.GetTask(),
			State:         t.state,
			ProgressPpm:   uint32(t.ppm),
			CheckpointPpm: t.checkpoint,
			UsedCores:     t.lease.GetCores(),
			UsedMemoryMib: t.lease.GetMemoryMib(),
			Accelerators:  t.lease.GetAccelerators(),
		})
	}
	if len(w.reports) == maxReports {
		w.reports = w.reports[1:]
	}
	w.reports = append(w.reports, timedReport{at: at, report: report})
}

// visible returns the newest report that is at least as old as the lag and forgets those before it.
func (w *Worker) visible(now time.Time) *apiv1.UsageReport {
	newest := -1
	for i, candidate := range w.reports {
		if candidate.at.Add(w.usageLag).After(now) {
			break
		}
		newest = i
	}
	if newest < 0 {
		return &apiv1.UsageReport{}
	}
	w.reports = w.reports[newest:]
	return w.reports[0].report
}
