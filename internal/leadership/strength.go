package leadership

import "time"

const (
	// takeoverCPUDelay is how much longer an instance without CPU waits to claim than one with at least one core: the
	// owner's work grows with the number of workers, so an instance with more CPU should get it. The delay is short
	// compared with ownerTimeout, which passes first.
	takeoverCPUDelay = 400 * time.Millisecond
	// initialCPUDelay replaces takeoverCPUDelay while there has never been an owner: all instances are starting, so there
	// is time to prefer one with more CPU.
	initialCPUDelay = 2 * time.Second
	// maxWeakerDelay is how much longer an instance without CPU waits to claim than the strongest one that is known.
	maxWeakerDelay = time.Second
	// weakShare is the share of the strongest instance's CPU below which an instance is too weak to be the owner beside it.
	weakShare = 0.5
	// strengthWindow is how long an instance counts as known after it has accepted a job.
	strengthWindow = 10 * time.Second
	// maxAgeDelay is the limit that the delay before claiming a released ownership approaches as an instance ages,
	// and halfDelayAge the age at which the delay is half of it. Of equally strong instances the youngest claims first:
	// ownership is released during rolling restarts, and the instance that was restarted last will stay up longest. The limit
	// is well above the pause between two reads of the store, so that all instances have read the release.
	maxAgeDelay  = 600 * time.Millisecond
	halfDelayAge = 20 * time.Second
	// millicores is the number of millicores of a core.
	millicores = 1000
)

// shortfallDelay returns the part of maxDelay that corresponds to the part of one core that an instance lacks.
func shortfallDelay(cpu uint32, maxDelay time.Duration) time.Duration {
	return maxDelay * time.Duration(millicores-min(cpu, millicores)) / millicores
}

// weakerDelay returns how much longer an instance waits to claim than the strongest one.
func weakerDelay(cpu, strongest uint32) time.Duration {
	if cpu >= strongest {
		return 0
	}
	return maxWeakerDelay * time.Duration(strongest-cpu) / time.Duration(strongest)
}

// ageDelay returns how long an instance of the given age waits before it claims a released ownership.
func ageDelay(age time.Duration) time.Duration {
	return time.Duration(float64(maxAgeDelay) * float64(age) / float64(age+halfDelayAge))
}

// strongest returns the CPU of the strongest instance that is known, in millicores: the latest owner, or one that has accepted a
// job within strengthWindow.
func (c *Candidate) strongest(now time.Time) uint32 {
	return max(c.replica.Owner().Owner.GetCpuMillicores(), c.replica.StrongestAcceptor(now.Add(-strengthWindow)))
}

// isWeak reports whether a much stronger instance has lately accepted jobs.
func (c *Candidate) isWeak(now time.Time) bool {
	return float64(c.cpu) < weakShare*float64(c.replica.StrongestAcceptor(now.Add(-strengthWindow)))
}
