package dispatch

import "github.com/dotterelgauge/dotterelgauge/internal/assign"

// queueStats sums up the jobs of a queue; totalWork is in core-seconds.
type queueStats struct {
	jobs      float64
	totalWork float64
}

// addToQueueStats adds a job to the statistics of its queue.
func (s *session) addToQueueStats(j *job) {
	stats, known := s.queueStats[j.spec.GetQueue()]
	if !known {
		stats = &queueStats{}
		s.queueStats[j.spec.GetQueue()] = stats
	}
	stats.jobs++
	s.updateQueueStats(j)
}

// updateQueueStats updates what the statistics include of a job, to the work that is expected of it now.
func (s *session) updateQueueStats(j *job) {
	work := assign.JobWork(j.spec, s.expected(j))
	s.queueStats[j.spec.GetQueue()].totalWork += work - j.countedWork
	j.countedWork = work
}

// meanWork returns the mean work of a queue's jobs in core-seconds; 0 if none is known.
func (s *session) meanWork(queue string) float64 {
	if stats, known := s.queueStats[queue]; known {
		return stats.totalWork / stats.jobs
	}
	return 0
}
