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
	// HolderRest is how long orders of two owners for one machine are kept apart.
	HolderRest time.Duration
	// Cores is the processor that the instance has.
	Cores       float64
	MemoryBytes int64
	// Grace is the time between the order to end and the kill.
	Grace time.Duration
	// ConfigApply is the time in which a configuration has to be in force.
	ConfigApply time.Duration
	// Lease is the longest lease that a worker grants; Stop is how long it may take to stop a task.
	Lease, Stop time.Duration
	// GangWait is how long a member of a gang waits for the others.
	GangWait time.Duration
	// Restore is how long a task takes to resume from a checkpoint.
	Restore time.Duration
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
	}{{"the longest lease", s.Lease}, {"the time to put a configuration into force", s.ConfigApply}, {"the grace time", s.Grace}} {
		if span.value <= 0 {
			problems = append(problems, errors.Errorf("%s must be above 0: set it in the settings file", span.name))
		}
	}
	return errors.Join(problems...)
}
