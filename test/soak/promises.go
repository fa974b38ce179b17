package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// cancelBound is how long a cancelled job may run on while faults go on: a takeover, a lease and a stop.
const cancelBound = 12 * time.Second

// failuresShown bounds the failures of one promise that are printed.
const failuresShown = 5

// timed are the promises with a bound in time: a slow machine can break them without a fault.
var timed = []string{
	"a cancelled job stops", "a configuration is in force in time and stays", "a process told to end ends in time",
	"an accepted job completes", "programs are ready again", "states don't go back",
}

// promises counts the checks of each promise and keeps what broke it.
type promises struct {
	mu       sync.Mutex
	checks   map[string]int
	failures map[string][]string
}

func newPromises() *promises {
	return &promises{checks: map[string]int{}, failures: map[string][]string{}}
}

// check counts a check and notes a failure.
func (p *promises) check(promise string, kept bool, format string, values ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checks[promise]++
	if !kept {
		p.failures[promise] = append(p.failures[promise], fmt.Sprintf(format, values...))
	}
}

func (p *promises) fail(promise, format string, values ...any) {
	p.check(promise, false, format, values...)
}

// report prints all promises and returns an error if one was broken; with safety those with a bound in time are printed
// and left out of the verdict.
func (p *promises) report(safety bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make([]string, 0, len(p.checks))
	for name := range p.checks {
		names = append(names, name)
	}
	slices.Sort(names)
	broken := 0
	for _, name := range names {
		failures := p.failures[name]
		fmt.Printf("%-62s %6d checked, %d broken\n", name, p.checks[name], len(failures))
		for _, failure := range failures[:min(len(failures), failuresShown)] {
			fmt.Println("    " + failure)
		}
		if !safety || !slices.Contains(timed, name) {
			broken += len(failures)
		}
	}
	if broken > 0 {
		return errors.Errorf("%d checks failed", broken)
	}
	return nil
}

// judge checks what callers and workers saw, after all faults are over and the jobs had time to end.
func (s *soak) judge(outcomes []*outcome) {
	started := map[string]bool{}
	for _, task := range s.site.Workers.StartedTasks() {
		job, _, _ := strings.Cut(task, ".")
		started[job] = true
	}
	running := s.site.Workers.RunningTasks()
	for _, o := range outcomes {
		if o.accepted && !o.cancelled {
			s.promises.check("an accepted job completes", o.state == "completed", "%s is %q, was %v", o.id, o.state, o.shown)
		}
		if o.notRun {
			s.promises.check("what was not accepted never runs", !started[o.id], "%s ran", o.id)
		}
		if o.cancelled && time.Since(o.cancelledAt) > cancelBound {
			still := slices.ContainsFunc(running, func(task string) bool { return strings.HasPrefix(task, o.id+".") })
			s.promises.check("a cancelled job stops", !still, "%s runs on", o.id)
		}
		s.promises.check("states don't go back", inOrder(o.shown), "%s was %v", o.id, o.shown)
		if o.accepted {
			s.promises.check("an accepted job is never denied", !denied(o.shown), "%s was %v", o.id, o.shown)
		}
	}
	for _, violation := range s.site.Workers.Violations() {
		s.promises.fail("workers run each task once, within their room", "%s", violation)
	}
	s.promises.check("workers run each task once, within their room", true, "")
}

// staleBound is how old the records may be on which an instance rests an answer, and what a slow link adds.
const staleBound = 4 * time.Second

// ranks order the states; "gone" is none that an accepted job has.
var ranks = map[string]int{"queued": 1, "running": 2, "cancelled": 3, "completed": 3, "failed": 3}

// inOrder tells whether the states follow each other. A final state stays; another one may be older than what was seen
// before, on an instance that the store doesn't answer, but only by the bound.
func inOrder(shown []sight) bool {
	final := ""
	for n, now := range shown {
		if final != "" && now.state != final {
			return false
		}
		if ranks[now.state] == ranks["completed"] {
			final = now.state
		}
		for _, earlier := range shown[:n] {
			if ranks[now.state] < ranks[earlier.state] && now.asked.Sub(earlier.told) > staleBound {
				return false
			}
		}
	}
	return true
}

// denied tells whether a caller was told that there is no such job.
func denied(shown []sight) bool {
	return slices.ContainsFunc(shown, func(s sight) bool { return s.state == "gone" })
}
