// Package config holds the operator's configuration on every instance.
//
// Versions only rise: an older version that is read late never comes back into force.
package config

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/events"
)

// Configuration is one version of what the operator allows.
type Configuration struct {
	Version  int64
	Queues   []Queue
	Accounts map[string]Account
	Limits   Limits
	// accountOf maps an API key to the name of its account.
	accountOf map[string]string
}

// Queue takes jobs.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	Service    string
	// Priority 0 comes first.
	Priority    uint32
	MaxAttempts uint32
	// StretchFactor times the longest chain of work, and TargetDuration more, is the objective of a job.
	StretchFactor  float64
	TargetDuration time.Duration
	// Timeout bounds the answer to one call.
	Timeout time.Duration
	// Advisor, if set, says that an advisor knows which workers may run the queue's steps.
	Advisor *AdvisorTiming
	// Public queues take calls without a key.
	Public bool
}

// AdvisorTiming says how long an advisor takes for an answer, and how long the answer is valid.
type AdvisorTiming struct {
	BaseTime, TimePerWorker, ValidFor time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// GuaranteedAccelerators accelerators belong to the account's jobs of priority 0.
	GuaranteedAccelerators uint32
}

// Limits bound what a caller may send.
type Limits struct {
	MaxBodyBytes int64
}

// Index prepares the look-up of keys. It is called once, before the configuration is shared.
func (c *Configuration) Index() {
	c.accountOf = map[string]string{}
	for _, account := range c.Accounts {
		for _, key := range account.Keys {
			c.accountOf[key] = account.Name
		}
	}
}

// QueueForPath returns the queue with the host and the longest prefix of the path.
func (c *Configuration) QueueForPath(host, path string) (Queue, bool) {
	var found Queue
	for _, queue := range c.Queues {
		if strings.EqualFold(queue.Host, host) && strings.HasPrefix(path, queue.PathPrefix) && len(queue.PathPrefix) > len(found.PathPrefix) {
			found = queue
		}
	}
	return found, found.PathPrefix != ""
}

// Queue returns a queue by its name.
func (c *Configuration) Queue(name string) (Queue, bool) {
	for _, queue := range c.Queues {
		if queue.Name == name {
			return queue, true
		}
	}
	return Queue{}, false
}

// AccountOf returns the account of an API key.
func (c *Configuration) AccountOf(key string) (string, bool) {
	name, known := c.accountOf[key]
	return name, known
}

// Holder holds the newest version.
type Holder struct {
	current atomic.Pointer[Configuration]
	events  *events.Logger
}

// NewHolder returns an empty Holder.
func NewHolder(logger *events.Logger) *Holder { return &Holder{events: logger} }

// Current returns the newest version; nil before the first.
func (h *Holder) Current() *Configuration { return h.current.Load() }

// Set puts a version into force, unless a version that is not older is.
func (h *Holder) Set(next *Configuration) {
	next.Index()
	for {
		now := h.current.Load()
		if now != nil && now.Version >= next.Version {
			return
		}
		if h.current.CompareAndSwap(now, next) {
			h.events.Log(events.ConfigurationApplied, "version", next.Version, "queues", len(next.Queues), "accounts", len(next.Accounts))
			return
		}
	}
}
