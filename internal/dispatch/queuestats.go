package dispatch

import (
	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

// queueStats sums up the jobs of a queue; totalWork is in core-seconds.
type queueStats struct {
	jobs      float64
	totalWork float64
}

// addToQueueStats adds a job to the statistics of its queue.
func (s *session) addToQueueStats(spec *storev1.Job) {
	stats, known := s.queueStats[spec.GetQueue()]
	if !known {
		stats = &queueStats{}
		s.queueStats[spec.GetQueue()] = stats
	}
	stats.jobs++
	stats.totalWork += assign.JobWork(spec)
}

// meanWork returns the mean work of a queue's jobs in core-seconds; 0 if none is known.
func (s *session) meanWork(queue string) float64 {
	if stats, known := s.queueStats[queue]; known {
		return stats.totalWork / stats.jobs
	}
	return 0
}
