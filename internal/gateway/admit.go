package gateway

import (
	"context"
	"regexp"
	"strings"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/config"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
)

// obsoleteConfig is the reason for not handling a call while a newer configuration may be in force.
const obsoleteConfig = "the configuration could not be read lately and may be obsolete"

// Call is a caller's request.
type Call struct {
	Host string
	Path string
	Key  string
	// Timeout is how long the caller waits for the answer; 0 if it didn't say.
	Timeout time.Duration
}

// AdmittedCall is a call that passed the checks against the configuration.
type AdmittedCall struct {
	Queue   config.Queue
	Account string
	// ID is the job's id; empty for a call to the queue itself.
	ID string
	// BodyLimit is the maximum size of the request body in bytes.
	BodyLimit int64
	// ReceivedAt is when the call arrived; Deadline is when it must be answered.
	ReceivedAt, Deadline time.Time
	// elsewhere has the call handled by a peer; see forwarding.submitElsewhere. It is nil if it can't be.
	elsewhere func(ctx context.Context, deadline time.Time) <-chan Answer
	// mayBeForwarded is true if the call may be forwarded when the store can't be reached. Its answer is not recorded then.
	mayBeForwarded bool
}

var idPattern = regexp.MustCompile(`^[0-9a-fA-F]{16}$`)

// Admit finds the queue of a call by its host and path, and checks the call's key.
func (g *Gateway) Admit(call Call) (AdmittedCall, Answer) {
	current := g.configs.Current()
	if current == nil {
		return AdmittedCall{}, notRun("this instance has no configuration yet")
	}
	queue, known := current.QueueForPath(call.Host, call.Path)
	if !known {
		return AdmittedCall{}, g.rejectByConfig(call, Answer{
			Result: NoQueue, Detail: "no queue has this host and path: check the configuration",
		})
	}
	return g.admit(current, queue, strings.TrimPrefix(call.Path, queue.PathPrefix), call)
}

// AdmitByName checks the key of a call to the queue with the given name; id is empty for a call to the queue itself.
func (g *Gateway) AdmitByName(name, id string, call Call) (AdmittedCall, Answer) {
	current := g.configs.Current()
	if current == nil {
		return AdmittedCall{}, notRun("this instance has no configuration yet")
	}
	queue, known := current.Queue(name)
	if !known {
		return AdmittedCall{}, g.rejectByConfig(call, Answer{Result: NoQueue, Detail: "no queue has this name: check the configuration"})
	}
	return g.admit(current, queue, id, call)
}

// rejectByConfig rejects a call that the configuration doesn't allow. If the configuration may be obsolete, the answer is NotRun,
// because the latest one may allow the call.
func (g *Gateway) rejectByConfig(call Call, answer Answer) Answer {
	if !g.health.ConfigCurrent() {
		answer = notRun(obsoleteConfig)
	}
	return g.reject(call, answer)
}

// reject logs and counts a call that isn't admitted, and returns its answer.
func (g *Gateway) reject(call Call, answer Answer) Answer {
	g.counters.count("call", answer.Result)
	version := int64(0)
	if current := g.configs.Current(); current != nil {
		version = current.Version
	}
	g.events.Log(events.CallRejected, "host", call.Host, "path", call.Path, "version", version, "result", answer.Result)
	return answer
}

// admit checks the key and the id of a call to a queue, and sets the call's deadline.
func (g *Gateway) admit(current *config.Configuration, queue config.Queue, id string, call Call) (AdmittedCall, Answer) {
	account, known := current.AccountOf(call.Key)
	if !known && !queue.Public {
		return AdmittedCall{}, g.rejectByConfig(call, Answer{
			Result: Unauthorized, Detail: "the key is unknown: send one of the client account's keys",
		})
	}
	timeout := answerTime(call.Timeout)
	if queue.Timeout > 0 {
		timeout = min(timeout, queue.Timeout)
	}
	if id != "" && !idPattern.MatchString(id) {
		return AdmittedCall{}, g.reject(call, Answer{Result: Invalid, Detail: "a job's id must have 16 hexadecimal digits"})
	}
	now := time.Now()
	return AdmittedCall{
		Queue: queue, Account: account, ID: id, BodyLimit: bodyLimit(current), ReceivedAt: now, Deadline: now.Add(timeout),
	}, Answer{}
}

// bodyLimit returns the maximum size of a request body under a configuration, which may be nil.
func bodyLimit(current *config.Configuration) int64 {
	if current == nil || current.Limits.MaxBodyBytes <= 0 {
		return defaultMaxBodyBytes
	}
	return current.Limits.MaxBodyBytes
}
