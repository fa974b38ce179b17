package gateway

import (
	"hash/fnv"
	"sync"
	"time"
)

const (
	// outageGap is the time without a failure after which the next one belongs to another outage. Callers return within maxOutageDelay.
	outageGap = 2 * maxOutageDelay
	// maxOutageDelay limits the delay after which a caller should retry: a longer one makes jobs late that the recovered store could
	// accept.
	maxOutageDelay = 4 * time.Second
)

// outage measures how long calls have failed because of the store. The zero value is no outage.
type outage struct {
	mu sync.Mutex
	// since is when the first call failed, and latest when the latest did; zero if one has succeeded since.
	since, latest time.Time
}

// fail notes a failed call and returns for how long calls have failed.
func (o *outage) fail(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() || now.Sub(o.latest) > outageGap {
		o.since = now
	}
	o.latest = now
	return now.Sub(o.since)
}

// end notes that the store has accepted a record.
func (o *outage) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.since, o.latest = time.Time{}, time.Time{}
}

// outageDelay returns the delay after which the caller of a job should retry in an outage that has lasted for the given time. An outage is
// expected to last for about as long again as it has lasted. The delays are whole seconds, as Retry-After states no less, and
// differ from job to job, so that the callers don't all return at once. Jobs of priority 0 can't wait for long and return earlier.
func outageDelay(lasted time.Duration, id string, priority uint32) time.Duration {
	longest := min(time.Second+lasted.Truncate(time.Second), maxOutageDelay)
	shortest := max(time.Second, longest-2*time.Second)
	if priority == 0 && longest > shortest {
		longest -= time.Second
	}
	choices := uint64((longest-shortest)/time.Second) + 1
	return shortest + time.Duration(hashOf(id)%choices)*time.Second //nolint:gosec // at most 4.
}

// hashOf returns a hash of a job's id that is the same on all instances.
func hashOf(id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum64()
}

// delayInOutage returns the RetryAfter of an answer, which also shows whether the store works.
func (g *Gateway) delayInOutage(call AdmittedCall, name string, answer Answer) time.Duration {
	switch {
	case answer.Result == NotRun || answer.Result == Undecided:
		return outageDelay(g.outage.fail(time.Now()), call.ID, call.Queue.Priority)
	case answer.Result == OK && (name == callSubmit || name == callCancel):
		g.outage.end()
	}
	return answer.RetryAfter
}
