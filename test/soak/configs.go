package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/dotterelgauge/dotterelgauge/test/standin"
)

const (
	// maxApplyTime is the maximum time until an instance without faults has applied a new configuration (ConfigApplyMs).
	maxApplyTime = 2 * time.Second
	// configWatchTime is how long the instances are then checked for a return to an older version.
	configWatchTime    = 2 * time.Second
	configPollInterval = 100 * time.Millisecond
)

// configs publishes versions of the configuration. Each version has a queue that no other version has, so the calls of a
// client account show which version an instance has applied.
type configs struct {
	soak *soak

	mu      sync.Mutex
	version int64
}

// publish writes the next version and returns its number.
func (c *configs) publish() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version += 3
	var queues []standin.Queue
	for priority := range 3 {
		queues = append(queues, queue(fmt.Sprintf("q%d", priority), priority))
	}
	queues = append(queues, queue(fmt.Sprintf("v%d", c.version), 2))
	accounts := []standin.Account{{Name: "soak", ApiKeys: []string{key}}}
	if err := c.soak.platform.PublishConfiguration(c.version, queues, accounts); err != nil {
		c.soak.properties.fail("configurations are published", "%v", err)
	}
	return c.version
}

func queue(name string, priority int) standin.Queue {
	return standin.Queue{
		Name: name, Host: host, PathPrefix: "/" + name + "/", Service: standin.Service, Priority: priority, MaxAttempts: maxAttempts,
		StretchFactor: 3, TargetDurationMs: 1000, TimeoutMs: callTimeout.Milliseconds(),
	}
}

// hasVersion reports whether an instance has applied a version; known is false if it doesn't answer with 200 or 404.
func (c *configs) hasVersion(inst *instance, version int64) (applied, known bool) {
	request, err := http.NewRequest(http.MethodGet, //nolint:noctx // the client has a timeout.
		fmt.Sprintf("http://%s/v%d/", inst.callersAddress, version), nil)
	if err != nil {
		return false, false
	}
	request.Host = host
	request.Header.Set("Authorization", "Token "+key)
	response, err := c.soak.load.client.Do(request)
	if err != nil {
		return false, false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK, response.StatusCode == http.StatusOK || response.StatusCode == http.StatusNotFound
}

// checkWithoutFaults publishes a version while no faults are injected, and checks that the instances apply it in time and
// keep it. An instance that doesn't answer is not checked.
func (c *configs) checkWithoutFaults() {
	version, published := c.publish(), time.Now()
	for time.Since(published) < maxApplyTime {
		time.Sleep(configPollInterval)
	}
	for time.Since(published) < maxApplyTime+configWatchTime {
		for _, inst := range c.soak.instances {
			applied, known := c.hasVersion(inst, version)
			if known {
				c.soak.properties.check("a configuration is applied in time and stays applied", applied,
					"%s has not applied version %d after %v", inst.name, version, time.Since(published))
			}
		}
		time.Sleep(configPollInterval)
	}
}
