package replay

import "slices"

const (
	// quarantineMillis is how long a worker is kept from work before it is tried again.
	quarantineMillis = 10 * 60 * 1000
	// quarantineJobs is the number of different jobs that must fail on a worker.
	quarantineJobs = 3
)

// health judges workers for policies that don't do so themselves, alike for all of them.
type health struct {
	// failures lists the jobs that failed on a worker since its last quarantine.
	failures map[string][]string
}

func newHealth() *health { return &health{failures: map[string][]string{}} }

// failed notes a failure and tells whether the worker is to be quarantined.
func (h *health) failed(worker, jobID string) bool {
	if !slices.Contains(h.failures[worker], jobID) {
		h.failures[worker] = append(h.failures[worker], jobID)
	}
	if len(h.failures[worker]) < quarantineJobs {
		return false
	}
	delete(h.failures, worker)
	return true
}
