package replica

import (
	"github.com/go-faster/errors"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
)

// Limits of a job.
const (
	maxSteps = 256
	maxTasks = 20000
	// maxSpecBytes limits a job's Spec, which the scheduler doesn't interpret.
	maxSpecBytes = 4000
)

// CheckJob checks the fields of a job that the scheduler relies on. An error says what to correct.
func CheckJob(job *storev1.Job) error {
	switch {
	case len(job.GetSpec()) > maxSpecBytes:
		return errors.New("Spec is longer than 4000 bytes")
	case len(job.GetSteps()) == 0 || len(job.GetSteps()) > maxSteps:
		return errors.New("Steps must have 1 to 256 entries")
	}
	tasks := uint32(0)
	for i, step := range job.GetSteps() {
		if step.GetCount() == 0 || step.GetCount() > maxTasks {
			return errors.New("Steps: Count must be 1 to 20000")
		}
		tasks += step.GetCount()
		for _, after := range step.GetAfter() {
			if int(after) >= i {
				return errors.New("Steps: After may only refer to earlier steps")
			}
		}
	}
	if tasks > maxTasks {
		return errors.New("a job may have at most 20000 tasks")
	}
	return nil
}
