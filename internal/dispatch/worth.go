package dispatch

import (
	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

// queueStats are what a queue's jobs have in common.
type queueStats struct {
	jobs float64
	work float64
}

// learnWork adds a job to the statistics of its queue.
func (s *session) learnWork(spec *storev1.Job) {
	stats, known := s.stats[spec.GetQueue()]
	if !known {
		stats = &queueStats{}
		s.stats[spec.GetQueue()] = stats
	}
	stats.jobs++
	stats.work += assign.JobWork(spec)
}

// meanWork is the mean work of a queue's jobs in core-seconds; 0 if none is known.
func (s *session) meanWork(queue string) float64 {
	if stats, known := s.stats[queue]; known {
		return stats.work / stats.jobs
	}
	return 0
}
