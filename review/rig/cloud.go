package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"
)

// maintenance is the bound MaintenanceS.
const maintenance = 2 * time.Second

// machine is a machine of the platform; its worker changes with each upkeep.
type machine struct {
	id     string
	worker *worker
	state  string
	fence  int64
	done   map[int64]bool
}

// cloud is the platform's service for machines.
type cloud struct {
	rig      *rig
	machines []*machine
	// wave is the number of the only wave; all machines are in it, and maxCount may be down for it at once.
	wave, maxCount int64
	// begun counts the upkeeps that began, and excess those that began while maxCount machines were down.
	begun, excess int
	// holders has the number of upkeeps that each holder began.
	holders map[string]int
}

// serve starts the service; each worker of the rig is on a machine of its own.
func (c *cloud) serve() (string, error) {
	for i, each := range c.rig.workers {
		c.machines = append(c.machines, &machine{
			id: "m-" + strconv.Itoa(100+i), worker: each, state: "up", done: map[int64]bool{},
		})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", c.list)
	mux.HandleFunc("POST /api/machine-upkeep", c.upkeep)
	go func() { _ = http.Serve(listener, mux) }()
	return listener.Addr().String(), nil
}

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.rig.mu.Lock()
	defer c.rig.mu.Unlock()
	rows := []map[string]any{}
	for _, each := range c.machines {
		rows = append(rows, map[string]any{
			"Machine": each.id, "Pool": service, "State": each.state, "Zone": "z-a", "Labels": each.worker.labels(),
			"Capacity": capacity, "Id": each.worker.id,
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"Machines": rows, "NextToken": nil})
}

func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Machine string
		Wave    int64
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	holder := r.Header.Get("X-Lease-Holder")
	fence, _ := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	c.rig.mu.Lock()
	var chosen *machine
	for _, each := range c.machines {
		if each.id == call.Machine {
			chosen = each
		}
	}
	refuse := func(status int, reason string) {
		c.rig.log("cloud: upkeep of %s by %s with fence %d -> %d %s", call.Machine, holder, fence, status, reason)
		c.rig.mu.Unlock()
		writeJSON(w, status, map[string]string{"Reason": reason})
	}
	switch {
	case chosen == nil:
		refuse(http.StatusBadRequest, "")
		return
	case fence < chosen.fence:
		refuse(http.StatusConflict, "fence")
		return
	case call.Wave != c.wave:
		refuse(http.StatusConflict, "wave")
		return
	}
	chosen.fence = fence
	if chosen.done[call.Wave] {
		refuse(http.StatusOK, "")
		return
	}
	if chosen.state != "up" {
		refuse(http.StatusConflict, "busy")
		return
	}
	down := 0
	for _, each := range c.machines {
		if each.state == "upkeep" {
			down++
		}
	}
	chosen.done[call.Wave], chosen.state = true, "upkeep"
	c.begun++
	c.holders[holder]++
	c.rig.log("cloud: upkeep of %s by %s with fence %d begins; %d others are down", call.Machine, holder, fence, down)
	if int64(down) >= c.maxCount {
		c.excess++
		c.rig.log("LIMIT: the upkeep of %s begins while %d machines of its wave are down, MaxCount is %d", call.Machine, down, c.maxCount)
	}
	former := chosen.worker
	c.rig.mu.Unlock()
	former.crash(false)
	c.rig.store.put("keyed.servers", former.id, nil)
	time.AfterFunc(maintenance, func() { c.back(chosen) })
	writeJSON(w, http.StatusOK, map[string]string{})
}

// back lets a new worker of a machine join.
func (c *cloud) back(m *machine) {
	c.rig.mu.Lock()
	next := newWorker(c.rig, m.worker.id+"n")
	c.rig.mu.Unlock()
	if err := next.listen(); err != nil {
		c.rig.note("could not listen: %v", err)
		return
	}
	c.rig.mu.Lock()
	defer c.rig.mu.Unlock()
	for i, each := range c.rig.workers {
		if each == m.worker {
			c.rig.workers[i] = next
		}
	}
	m.worker, m.state = next, "up"
	next.beat()
	c.rig.log("cloud: %s is back as worker %s", m.id, next.id)
}
