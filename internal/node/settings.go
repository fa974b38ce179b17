package node

import (
	"time"

	"github.com/go-faster/errors"
)

// Settings are what the platform tells a process of the scheduler.
type Settings struct {
	Name       string
	DataCentre string
	// Addresses are IP:port.
	CallersAddress, ReadinessAddress, StoreAddress string
	// OperationsAddress serves the own interface and the counters; empty for none.
	OperationsAddress string
	// AdvisorAddress is empty where no queue needs advice.
	AdvisorAddress string
	// MachinesAddress is empty where no machine has upkeep.
	MachinesAddress string
	// TakeoverDelay is how long orders of two owners for one machine are kept apart.
	TakeoverDelay time.Duration
	// Cores is the processor that the instance has.
	Cores       float64
	MemoryBytes int64
	// GracePeriod is the time between the order to end and the kill.
	GracePeriod time.Duration
	// ConfigApplyTime is the time in which a configuration has to be in force.
	ConfigApplyTime time.Duration
	// MaxLease is the longest lease that a worker grants; StopDuration is how long it may take to stop a task.
	MaxLease, StopDuration time.Duration
	// GangWait is how long a member of a gang waits for the others.
	GangWait time.Duration
	// RestoreDuration is how long a task takes to resume from a checkpoint.
	RestoreDuration time.Duration
	// Retention is how long the state of an ended job can be asked for.
	Retention time.Duration
}

// Check returns every problem of the settings.
func (s *Settings) Check() error {
	var problems []error
	for _, text := range []struct{ name, value string }{
		{"the instance's name", s.Name}, {"the callers' address", s.CallersAddress}, {"the readiness address", s.ReadinessAddress},
		{"the store's address", s.StoreAddress},
	} {
		if text.value == "" {
			problems = append(problems, errors.Errorf("%s is missing: set it in the settings file", text.name))
		}
	}
	for _, span := range []struct {
		name  string
		value time.Duration
	}{{"the longest lease", s.MaxLease}, {"the time to put a configuration into force", s.ConfigApplyTime}, {"the grace time", s.GracePeriod}} {
		if span.value <= 0 {
			problems = append(problems, errors.Errorf("%s must be above 0: set it in the settings file", span.name))
		}
	}
	return errors.Join(problems...)
}
