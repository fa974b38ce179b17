package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/dotterelgauge/dotterelgauge/test/standin"
)

const (
	// configBound is how soon a configuration is in force at an instance that nothing harms.
	configBound = 2 * time.Second
	// configWatch is how long an instance is watched for an older version after that.
	configWatch = 2 * time.Second
	configPoll  = 100 * time.Millisecond
)

// configs writes versions of the configuration. Each names a queue that no other names, so an instance shows which one
// it has.
type configs struct {
	site *soak

	mu      sync.Mutex
	version int64
}

func (c *configs) change() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version += 3
	var queues []standin.Queue
	for priority := range 3 {
		queues = append(queues, queue(fmt.Sprintf("q%d", priority), priority))
	}
	queues = append(queues, queue(fmt.Sprintf("v%d", c.version), 2))
	accounts := []standin.Account{{Name: "soak", ApiKeys: []string{key}}}
	if err := c.site.site.Publish(c.version, queues, accounts); err != nil {
		c.site.promises.fail("configurations are written", "%v", err)
	}
	return c.version
}

func queue(name string, priority int) standin.Queue {
	return standin.Queue{
		Name: name, Host: host, PathPrefix: "/" + name + "/", Service: standin.Service, Priority: priority, MaxAttempts: attempts,
		StretchFactor: 3, TargetDurationMs: 1000, TimeoutMs: callTimeout.Milliseconds(),
	}
}

// has tells whether an instance has a version in force; it is unknown if the instance doesn't answer.
func (c *configs) has(i *instance, version int64) (has, known bool) {
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v%d/", i.callers, version), nil) //nolint:noctx // The client has a timeout.
	if err != nil {
		return false, false
	}
	request.Host = host
	request.Header.Set("Authorization", "Token "+key)
	response, err := c.site.load.client.Do(request)
	if err != nil {
		return false, false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK, response.StatusCode == http.StatusOK || response.StatusCode == http.StatusNotFound
}

// watchCalm changes the configuration while nothing is harmed: it is in force everywhere in time and stays.
func (c *configs) watchCalm() {
	version, written := c.change(), time.Now()
	for time.Since(written) < configBound {
		time.Sleep(configPoll)
	}
	for time.Since(written) < configBound+configWatch {
		for _, i := range c.site.instances {
			has, known := c.has(i, version)
			if known {
				c.site.promises.check("a configuration is in force in time and stays", has, "%s lacks version %d after %v", i.name, version, time.Since(written))
			}
		}
		time.Sleep(configPoll)
	}
}
