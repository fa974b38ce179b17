package node

import (
	"time"

	"github.com/go-faster/errors"
)

// Settings are the platform's settings for one instance.
type Settings struct {
	// Name is the instance's name.
	Name       string
	DataCentre string
	// The addresses have the form IP:port.
	CallersAddress, ReadinessAddress, StoreAddress string
	// OperationsAddress serves the instance's own interface and the metrics; empty for none.
	OperationsAddress string
	// PeersAddress, over UDP, serves calls that other instances forward; empty for none, and then none are forwarded.
	PeersAddress string
	// AdvisorAddress is empty if the platform has no advisor.
	AdvisorAddress string
	// MachinesAddress is empty if the platform has no machine service.
	MachinesAddress string
	// TakeoverDelay is how long a new owner waits before it orders the upkeep of machines: the orders of two owners for
	// one machine must be that far apart.
	TakeoverDelay time.Duration
	// Cores is the number of processor cores that the instance may use; 0 if unknown.
	Cores float64
	// MemoryBytes is the memory that the instance may use.
	MemoryBytes int64
	// GracePeriod is the time between the request to terminate and the kill.
	GracePeriod time.Duration
	// ConfigApplyTime is the maximum time until a new configuration must be in force.
	ConfigApplyTime time.Duration
	// EvacuateTime is the maximum time until nothing starts in a data centre that is to be evacuated; 0 if the operator can't ask
	// for that.
	EvacuateTime time.Duration
	// MaxLease is the longest lease that a worker grants, and StopDuration the longest time that a worker
	// takes to stop a task.
	MaxLease, StopDuration time.Duration
	// GangWait is how long a member of a gang waits for the other members to start before it ends.
	GangWait time.Duration
	// RestoreDuration is how long a task takes to resume from a checkpoint.
	RestoreDuration time.Duration
	// DeclaredDurations is true if the owner plans with the declared estimates in place of durations learned from finished runs.
	DeclaredDurations bool
	// CapacityGrace is how long after a worker's capacity has shrunk tasks may still start within the capacity that it had; 0 if
	// capacities don't shrink.
	CapacityGrace time.Duration
	// Retention is how long callers can query the state of a job that has ended.
	Retention time.Duration
}

// cpuMillicores returns the processor that the instance may use, in millicores; 0 if unknown.
func (s *Settings) cpuMillicores() uint32 {
	const millicores = 1000
	return uint32(max(0, s.Cores) * millicores)
}

// Check returns an error that lists the required settings that are missing or not positive; nil if there are none.
func (s *Settings) Check() error {
	var problems []error
	for _, setting := range []struct{ name, value string }{
		{"the instance's name", s.Name}, {"the callers' address", s.CallersAddress}, {"the readiness address", s.ReadinessAddress},
		{"the store's address", s.StoreAddress},
	} {
		if setting.value == "" {
			problems = append(problems, errors.Errorf("%s is missing: set it in the settings file", setting.name))
		}
	}
	for _, duration := range []struct {
		name  string
		value time.Duration
	}{
		{"the maximum lease", s.MaxLease}, {"the time to apply a configuration", s.ConfigApplyTime},
		{"the grace period", s.GracePeriod},
	} {
		if duration.value <= 0 {
			problems = append(problems, errors.Errorf("%s must be above 0: set it in the settings file", duration.name))
		}
	}
	return errors.Join(problems...)
}
