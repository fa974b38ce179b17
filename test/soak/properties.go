package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// maxCancelTime is how long a cancelled job may keep running under faults: a takeover, a lease and the stop of its tasks.
const maxCancelTime = 12 * time.Second

// maxFailuresPrinted is the maximum number of failures that are printed for each property.
const maxFailuresPrinted = 5

// timedProperties are the properties with a time limit. A slow machine can violate them although the program is correct.
var timedProperties = []string{
	"a cancelled job stops", "a configuration is applied in time and stays applied", "a process exits in time after SIGTERM",
	"an accepted job completes", "instances are ready after the faults", "no job stands beside free workers",
	"observed job states don't go backwards",
}

// properties counts the checks of each property and collects the failures.
type properties struct {
	mu       sync.Mutex
	checks   map[string]int
	failures map[string][]string
}

func newProperties() *properties {
	return &properties{checks: map[string]int{}, failures: map[string][]string{}}
}

// check counts a check of a property. If it isn't ok, the formatted message is recorded as a failure.
func (p *properties) check(property string, ok bool, format string, values ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checks[property]++
	if !ok {
		p.failures[property] = append(p.failures[property], fmt.Sprintf(format, values...))
	}
}

func (p *properties) fail(property, format string, values ...any) {
	p.check(property, false, format, values...)
}

// report prints all properties and returns an error if one was violated. With safety, the properties with a time limit are
// printed but don't cause an error.
func (p *properties) report(safety bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make([]string, 0, len(p.checks))
	for name := range p.checks {
		names = append(names, name)
	}
	slices.Sort(names)
	violated := 0
	for _, name := range names {
		failures := p.failures[name]
		fmt.Printf("%-62s %6d checked, %d broken\n", name, p.checks[name], len(failures))
		for _, failure := range failures[:min(len(failures), maxFailuresPrinted)] {
			fmt.Println("    " + failure)
		}
		if !safety || !slices.Contains(timedProperties, name) {
			violated += len(failures)
		}
	}
	if violated > 0 {
		return errors.Errorf("%d checks failed", violated)
	}
	return nil
}

// checkOutcomes checks what callers and workers observed, after the faults have ended and the jobs had time to finish.
func (s *soak) checkOutcomes(outcomes []*outcome) {
	started := map[string]bool{}
	for _, task := range s.platform.Workers.StartedTasks() {
		job, _, _ := strings.Cut(task, ".")
		started[job] = true
	}
	running := s.platform.Workers.RunningTasks()
	for _, o := range outcomes {
		if o.accepted && !o.cancelled {
			s.properties.check("an accepted job completes", o.state == "completed",
				"job %s is %q; states observed: %v", o.id, o.state, o.observations)
		}
		if o.accepted {
			s.properties.check("a sound job is never given up", o.state != "failed",
				"job %s is failed; states observed: %v", o.id, o.observations)
		}
		if o.rejected {
			s.properties.check("a rejected job never runs", !started[o.id], "job %s was started", o.id)
		}
		if o.cancelled && time.Since(o.cancelledAt) > maxCancelTime {
			stillRunning := slices.ContainsFunc(running, func(task string) bool { return strings.HasPrefix(task, o.id+".") })
			s.properties.check("a cancelled job stops", !stillRunning, "job %s is still running", o.id)
		}
		s.properties.check("observed job states don't go backwards", statesInOrder(o.observations),
			"job %s; states observed: %v", o.id, o.observations)
		if o.accepted {
			s.properties.check("an accepted job is never reported as unknown", !reportedUnknown(o.observations),
				"job %s; states observed: %v", o.id, o.observations)
		}
	}
	for _, violation := range s.platform.Workers.Violations() {
		s.properties.fail("workers run each task once, within their resources", "%s", violation)
	}
	s.properties.check("workers run each task once, within their resources", true, "")
}

// maxStaleness is the maximum age of the records from which an instance answers, plus the delay of a slow link.
const maxStaleness = 4 * time.Second

// stateRanks orders the states of a job. "gone" has no rank: it is not a state of an accepted job.
var stateRanks = map[string]int{"queued": 1, "running": 2, "cancelled": 3, "completed": 3, "failed": 3}

// statesInOrder reports whether the observed states follow each other. A final state must not change. A state of lower rank
// may follow within maxStaleness, because an instance that can't reach the store answers from older records.
func statesInOrder(observations []observation) bool {
	final := ""
	for n, current := range observations {
		if final != "" && current.state != final {
			return false
		}
		if stateRanks[current.state] == stateRanks["completed"] {
			final = current.state
		}
		for _, earlier := range observations[:n] {
			if stateRanks[current.state] < stateRanks[earlier.state] && current.requestedAt.Sub(earlier.receivedAt) > maxStaleness {
				return false
			}
		}
	}
	return true
}

// reportedUnknown reports whether an answer to the caller was that the job doesn't exist (410).
func reportedUnknown(observations []observation) bool {
	return slices.ContainsFunc(observations, func(o observation) bool { return o.state == "gone" })
}
