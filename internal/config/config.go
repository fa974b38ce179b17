// Package config holds the operator's configuration and requests for machine upkeep, as every instance has read them.
//
// The version of the configuration in force only increases: an older version that is read late is ignored.
package config

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/events"
)

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version int64
	Queues  []Queue
	// Accounts are the client accounts by name.
	Accounts map[string]Account
	Limits   Limits
	// accountByKey maps an API key to the name of its account.
	accountByKey map[string]string
}

// Queue is one queue of jobs.
type Queue struct {
	Name string
	// Calls to Host whose path starts with PathPrefix are for this queue.
	Host       string
	PathPrefix string
	// Service is the service whose workers run the queue's jobs.
	Service string
	// Priority is the priority of the queue's jobs; 0 is the highest.
	Priority    uint32
	MaxAttempts uint32
	// A job's objective is to complete within StretchFactor times the length of its critical path, plus TargetDuration.
	StretchFactor  float64
	TargetDuration time.Duration
	// Timeout is the maximum time to answer one call; 0 if the queue sets none.
	Timeout time.Duration
	// Advisor is set if an advisor decides which workers may run the queue's steps.
	Advisor *AdvisorTiming
	// Public queues accept calls without a key.
	Public bool
}

// AdvisorTiming holds the times of a queue's advisor. The advisor answers within BaseTime plus TimePerWorker for each
// worker in the call, and its answer is valid for ValidFor.
type AdvisorTiming struct {
	BaseTime, TimePerWorker, ValidFor time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// GuaranteedAccelerators is the number of accelerators guaranteed to the account's jobs of priority 0.
	GuaranteedAccelerators uint32
	// Weight is the account's weight where accounts share what is left in a shortage; 0 counts as 1.
	Weight float64
}

// Limits holds the limits on callers' requests.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request's body; 0 for the default.
	MaxBodyBytes int64
}

// IndexKeys prepares AccountOf. It must be called once, before other goroutines use the configuration.
func (c *Configuration) IndexKeys() {
	c.accountByKey = map[string]string{}
	for _, account := range c.Accounts {
		for _, key := range account.Keys {
			c.accountByKey[key] = account.Name
		}
	}
}

// QueueForPath returns the queue of the host with the longest path prefix that matches; false if there is none.
func (c *Configuration) QueueForPath(host, path string) (Queue, bool) {
	var best Queue
	for _, queue := range c.Queues {
		if strings.EqualFold(queue.Host, host) && strings.HasPrefix(path, queue.PathPrefix) &&
			len(queue.PathPrefix) > len(best.PathPrefix) {
			best = queue
		}
	}
	return best, best.PathPrefix != ""
}

// Queue returns the queue with the name; false if there is none.
func (c *Configuration) Queue(name string) (Queue, bool) {
	for _, queue := range c.Queues {
		if queue.Name == name {
			return queue, true
		}
	}
	return Queue{}, false
}

// AccountOf returns the name of the account that an API key belongs to; false if the key is unknown.
func (c *Configuration) AccountOf(key string) (string, bool) {
	name, known := c.accountByKey[key]
	return name, known
}

// Weights returns the weights of the accounts that have one.
func (c *Configuration) Weights() map[string]float64 {
	weights := map[string]float64{}
	for name, account := range c.Accounts {
		if account.Weight > 0 {
			weights[name] = account.Weight
		}
	}
	return weights
}

// Holder holds the configuration in force. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Configuration]
	events  *events.Logger
}

// NewHolder returns an empty Holder.
func NewHolder(logger *events.Logger) *Holder { return &Holder{events: logger} }

// Current returns the configuration in force; nil before the first.
func (h *Holder) Current() *Configuration { return h.current.Load() }

// Set puts a configuration into force, unless the same or a newer version already is.
func (h *Holder) Set(next *Configuration) {
	next.IndexKeys()
	for {
		previous := h.current.Load()
		if previous != nil && previous.Version >= next.Version {
			return
		}
		if h.current.CompareAndSwap(previous, next) {
			h.events.Log(events.ConfigurationApplied, "version", next.Version, "queues", len(next.Queues), "accounts", len(next.Accounts))
			return
		}
	}
}
