package expect

import (
	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

// Job holds what is expected of the executions of a job.
type Job struct {
	model *Model
	spec  *storev1.Job
	// latest is the latest execution, or stands for the first one.
	latest *Occurrence
	// counted is the work of an execution that is included in the mean of its queue, in core-seconds.
	counted float64
}

// queueWork sums up the work of one execution of each job of a queue, in core-seconds.
type queueWork struct {
	jobs, work float64
}

// Job returns the expectations of a job, and includes it in the mean work of its queue.
func (m *Model) Job(spec *storev1.Job) *Job {
	if m.works[spec.GetQueue()] == nil {
		m.works[spec.GetQueue()] = &queueWork{}
	}
	m.works[spec.GetQueue()].jobs++
	j := &Job{model: m, spec: spec}
	j.Occurrence()
	j.count()
	return j
}

// MeanWork returns the expected mean work of a queue's jobs in core-seconds; 0 if there is none.
func (m *Model) MeanWork(queue string) float64 {
	if all := m.works[queue]; all != nil {
		return all.work / all.jobs
	}
	return 0
}

// MeanWorks returns the expected mean work of the jobs of each queue in core-seconds.
func (m *Model) MeanWorks() map[string]float64 {
	means := make(map[string]float64, len(m.works))
	for queue := range m.works {
		means[queue] = m.MeanWork(queue)
	}
	return means
}

// count includes the work that is expected of the job now in the mean of its queue.
func (j *Job) count() {
	work := assign.JobWork(j.spec, j.Expected())
	j.model.works[j.spec.GetQueue()].work += work - j.counted
	j.counted = work
}

// Latest returns the latest execution.
func (j *Job) Latest() *Occurrence { return j.latest }

// Expected returns the expected durations of the latest execution.
func (j *Job) Expected() assign.Expectations { return j.latest.Expected }
