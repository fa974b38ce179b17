// Command rig plays one case of the review: it serves the platform's store, the workers and the operator on loopback, starts
// instances of the scheduler as processes, sends what clients send, and judges what clients and workers have seen.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the site swancoast-sched.
const (
	maxHold      = 10 * time.Second
	stopTime     = 400 * time.Millisecond
	gangTime     = 3 * time.Second
	finishTime   = 14 * time.Second
	visibleTime  = 3 * time.Second
	beatInterval = 1500 * time.Millisecond
	service      = "svc-1"
	host         = "jobs.example"
	key          = "key-of-tenant-1"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

type rig struct {
	mu      sync.Mutex
	trouble bool
	record  *os.File
	begun   time.Time
	store   *store
	workers []*worker
	jobs    map[string]work
	// gangs has the members that are present, by gangOf.
	gangs map[string]map[*run]*worker
	// runs has all starts of each task.
	history   map[string][]event
	instances []*instance
	// advisor is nil unless the queue has advice.
	advisor *advisor
	// cloud is nil unless machines have upkeep.
	cloud *cloud
	// quietDone counts the ends done of quiet jobs.
	quietDone int
	finished  chan struct{}
	directory string
	program   string
	lastID    int
}

// event is a start or an end of a run, as its worker saw it.
type event struct {
	at     time.Time
	what   string // start, done, failed, ..., lost, noted
	worker string
	run    int
	of     string // for noted: how the run ended
}

type instance struct {
	name, front, ready   string
	store, advice, cloud string
	process              *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	// refused is true while the store turns the instance away (429).
	refused atomic.Bool
}

// logRun logs an event of a task, unless its job is a quiet one.
func (r *rig) logRun(task, format string, values ...any) {
	if id, _ := jobOf(task); !r.jobs[id].quiet {
		r.log(format, values...)
	}
}

func (r *rig) log(format string, values ...any) {
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, values...))
}

func (r *rig) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log(format, values...)
}

// remember adds to a task's history; the rig is locked.
func (r *rig) remember(task string, e event) {
	if id, _ := jobOf(task); r.jobs[id].quiet {
		if e.what == "done" {
			r.quietDone++
		}
		return
	}
	e.at = time.Now()
	r.history[task] = append(r.history[task], e)
}

func (r *rig) startedRun(w *worker, each *run) {
	r.remember(each.task, event{what: "start", worker: w.id, run: each.number})
	id, _ := jobOf(each.task)
	job := r.jobs[id]
	if !job.gang {
		each.working = each.started
		return
	}
	name := gangOf(each)
	if r.gangs[name] == nil {
		r.gangs[name] = map[*run]*worker{}
	}
	r.gangs[name][each] = w
	if len(r.gangs[name]) == job.count {
		for member := range r.gangs[name] {
			member.working = time.Now()
		}
	}
}

func (r *rig) endedRun(w *worker, each *run, how string) {
	r.remember(each.task, event{what: how, worker: w.id, run: each.number})
	r.leaveGang(each, how)
}

func (r *rig) lostRun(each *run) {
	r.remember(each.task, event{what: "lost", run: each.number})
	r.leaveGang(each, "lost")
}

func (r *rig) noted(e end) {
	r.remember(e.task, event{what: "noted", run: e.run, of: e.how})
}

// leaveGang ends the other members of a gang of which one has ended.
func (r *rig) leaveGang(each *run, how string) {
	name := gangOf(each)
	members := r.gangs[name]
	if members == nil {
		return
	}
	delete(members, each)
	if how == "done" {
		return
	}
	delete(r.gangs, name)
	for member, w := range members {
		if w.running[member.task] == member && member.stopping.IsZero() {
			w.finish(member, "broken")
		}
	}
}

func (r *rig) percent(each *run) int {
	id, _ := jobOf(each.task)
	job := r.jobs[id]
	switch {
	case each.working.IsZero():
		return 0
	case job.lasting:
		return 100
	}
	return min(99, int(100*time.Since(each.working)/job.length))
}

// tick advances all runs; the rig is locked.
func (r *rig) tick() {
	for _, w := range r.workers {
		if !w.up {
			continue
		}
		w.lapse()
		for _, each := range w.running {
			id, index := jobOf(each.task)
			job := r.jobs[id]
			worked := time.Duration(0)
			if !each.working.IsZero() {
				worked = time.Since(each.working)
			}
			switch {
			case !each.stopping.IsZero():
				if time.Since(each.stopping) > stopTime*3/4 {
					w.finish(each, "stopped")
				}
			case job.gang && each.working.IsZero():
				if time.Since(each.started) > gangTime {
					w.finish(each, "alone")
				}
			case job.failAfter > 0 && index == 0 && worked > job.failAfter:
				w.finish(each, "failed")
			case !job.lasting && worked > job.length:
				w.finish(each, "done")
			}
		}
	}
}

func (r *rig) play() {
	ticker := time.NewTicker(10 * time.Millisecond)
	beats := time.NewTicker(beatInterval)
	for {
		select {
		case <-r.finished:
			return
		case <-ticker.C:
			r.mu.Lock()
			r.tick()
			r.mu.Unlock()
		case <-beats.C:
			r.mu.Lock()
			for _, w := range r.workers {
				if w.up {
					w.beat()
				}
			}
			r.mu.Unlock()
		}
	}
}

// freePort returns a port that nothing listens on, from below the range that the system gives to outgoing connections.
func freePort() string {
	for {
		port := strconv.Itoa(20000 + rand.IntN(12000))
		if listener, err := net.Listen("tcp", "127.0.0.1:"+port); err == nil {
			_ = listener.Close()
			return port
		}
	}
}

// prepare starts store, workers and instances, writes the configuration and waits until all instances are ready.
func (r *rig) prepare(workers, instances int) error {
	for i := range workers {
		w := newWorker(r, fmt.Sprintf("i-%02d", i))
		if err := w.listen(); err != nil {
			return err
		}
		r.workers = append(r.workers, w)
		r.mu.Lock()
		w.beat()
		r.mu.Unlock()
	}
	route := map[string]any{
		"Name": "queue-1", "Host": host, "PathPrefix": "/queue/", "Kind": "unsafe", "TimeoutMs": 3000, "TargetDurationMs": 1000,
		"Priority": 1, "Service": service, "MaxAttempts": 3, "StretchFactor": 3.0, "Public": false,
	}
	adviceAddress := ""
	if r.advisor != nil {
		address, err := r.advisor.serve()
		if err != nil {
			return err
		}
		adviceAddress = address
		route["Advice"] = map[string]int64{
			"DecideMs": adviceDecide.Milliseconds(), "PeriodMs": advicePeriod.Milliseconds(), "ValidMs": adviceValid.Milliseconds(),
		}
	}
	cloudAddress := ""
	if r.cloud != nil {
		address, err := r.cloud.serve()
		if err != nil {
			return err
		}
		cloudAddress = address
	}
	configuration, _ := json.Marshal(map[string]any{
		"Version": 7, "Routes": []any{route, map[string]any{
			"Name": "queue-2", "Host": host, "PathPrefix": "/public/", "Kind": "unsafe", "TimeoutMs": 3000, "TargetDurationMs": 1000,
			"Priority": 2, "Service": service, "MaxAttempts": 3, "StretchFactor": 3.0, "Public": true,
		}},
		"Services": []any{map[string]any{
			"Name": service, "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "Tls": false, "AdmissionControl": false,
		}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "tenant-1", "ApiKeys": []string{key}, "Guaranteed": map[string]int{"Gpu": 8}}},
	})
	r.store.put("keyed.op", "config", configuration)
	go r.play()
	for i := range instances {
		if err := r.launch(i, adviceAddress, cloudAddress); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, each := range r.instances {
		for !each.isReady() {
			select {
			case <-each.exited: // another process took one of its ports
				if err := r.start(each); err != nil {
					return err
				}
			default:
			}
			if time.Now().After(deadline) {
				return errors.New("an instance is not ready after 20 s")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second) // an instance becomes the owner
	r.note("prepared: %d workers, %d instances", workers, instances)
	return nil
}

const settings = `NodeName = "%[1]s"
Role = "instance"
MachineClass = "frontend"
Serves = ["frontend"]
Ip = "127.0.0.1"
Zone = "z-a"
Region = "r"
InternalPorts = [%[2]s,%[2]s]
Bootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","tenants","platform","advice"]
Orders = "call"
Advice = "%[6]s"
[Listen]
Front = "%[3]s"
Readiness = "%[4]s"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 284
MaxFds = 4100
[Bounds]
StableWindowMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
ConfigApplyMs = 2000
MaxHoldMs = 10000
StopMs = 400
GangMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
RestoreMs = 250
LeaseMs = 3000
[platform]
Address = "%[5]s"
form = "log"
`

// launch starts an instance, which reaches the store at an address of its own.
func (r *rig) launch(index int, adviceAddress, cloudAddress string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	i := &instance{
		name: "frontend-" + strconv.Itoa(index+1), store: listener.Addr().String(), advice: adviceAddress, cloud: cloudAddress,
	}
	handler := r.store.handler()
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			if i.refused.Load() {
				writeJSON(w, http.StatusTooManyRequests, nil)
				return
			}
			handler.ServeHTTP(w, request)
		}))
	}()
	r.instances = append(r.instances, i)
	return r.start(i)
}

// start starts the process of an instance on free ports.
func (r *rig) start(i *instance) error {
	i.front, i.ready = "127.0.0.1:"+freePort(), "127.0.0.1:"+freePort()
	path := filepath.Join(r.directory, i.name+".toml")
	text := fmt.Sprintf(settings, i.name, freePort(), i.front, i.ready, i.store, i.advice)
	if i.cloud != "" {
		text += fmt.Sprintf("[Cloud]\nAddress = %q\nRatePerS = 60.0\nDutyPerS = 60.0\n", i.cloud)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(r.directory, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	process := exec.Command(r.program, "serve")
	process.Env = append(os.Environ(), "DOTTERELGAUGE_NODE_FILE="+path)
	process.Stdout, process.Stderr = logFile, logFile
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.process, i.exited = process, exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	return nil
}

func (i *instance) isReady() bool {
	response, err := http.Get("http://" + i.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (r *rig) close() {
	for _, each := range r.instances {
		_ = each.process.Process.Kill()
		<-each.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.directory)
	} else {
		fmt.Println(r.directory)
	}
}

// call sends one request of a client to an instance and returns status and body; status 0 means no answer.
func (r *rig) call(i *instance, method, path string, body any) (int, string) {
	var encoded []byte
	if body != nil {
		encoded, _ = json.Marshal(body)
	}
	request, _ := http.NewRequest(method, "http://"+i.front+path, bytes.NewReader(encoded))
	request.Host = host
	request.Header.Set("Authorization", "Token "+key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", "3000")
	client := &http.Client{Timeout: 3 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		r.note("client: %s %s at %s -> no answer", method, path, i.name)
		return 0, ""
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	r.note("client: %s %s at %s -> %d %s", method, path, i.name, response.StatusCode, bytes.TrimSpace(answer))
	return response.StatusCode, string(answer)
}

// step is the JSON form of a step.
type step map[string]any

// submit hands a job in, repeatedly if it isn't answered with success, and returns its id.
func (r *rig) submit(what work, s step) string { return r.submitScheduled(what, s, 0, 0, 0) }

// submitScheduled hands in a job that runs its step at several times.
func (r *rig) submitScheduled(what work, s step, times int, startMs, intervalMs int64) string {
	r.mu.Lock()
	r.lastID++
	id := fmt.Sprintf("%016x", 0x5c0e7a2100000000+uint64(r.lastID)*0x10001)
	r.jobs[id] = what
	s["Count"] = what.count
	s["EstMs"] = max(what.length.Milliseconds(), 1)
	if what.gang {
		s["Gang"] = true
	}
	if what.lasting {
		s["LongRunning"] = true
	}
	r.mu.Unlock()
	body := map[string]any{"Spec": "spec of " + id, "Steps": []step{s}}
	if times > 0 {
		body["Times"], body["StartAtMs"], body["IntervalMs"] = times, startMs, intervalMs
	}
	for attempt := range 5 {
		i := r.instances[(r.lastID+attempt)%len(r.instances)]
		if status, _ := r.call(i, http.MethodPost, "/queue/"+id, body); status/100 == 2 {
			return id
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}

// state returns the state that an instance shows for a job.
func (r *rig) state(id string) string {
	_, answer := r.call(r.instances[0], http.MethodGet, "/queue/"+id, nil)
	var reply struct{ State string }
	_ = json.Unmarshal([]byte(answer), &reply)
	return reply.State
}

// await waits until a job is shown in one of the states, and returns its last state.
func (r *rig) await(id string, limit time.Duration, states ...string) string {
	deadline := time.Now().Add(limit)
	for {
		state := r.state(id)
		if slices.Contains(states, state) || time.Now().After(deadline) {
			return state
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// runsOf returns the number of runs of a job's tasks on workers that are up.
func (r *rig) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, w := range r.workers {
		for _, each := range w.running {
			if job, _ := jobOf(each.task); w.up && job == id {
				count++
			}
		}
	}
	return count
}

func (r *rig) logUse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		var tasks []string
		for _, each := range w.running {
			tasks = append(tasks, each.task+"/"+strconv.Itoa(each.number))
		}
		slices.Sort(tasks)
		r.log("worker %s: up=%v, runs %v", w.id, w.up, tasks)
	}
}

var cases = map[string]func(*rig) (bool, error){}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: rig CASE PROGRAM RECORD")
		os.Exit(failed)
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Println("unknown case")
		os.Exit(failed)
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Println(err)
		os.Exit(failed)
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		os.Exit(failed)
	}
	r := &rig{
		trouble: os.Getenv("TROUBLE") != "0", record: record, begun: time.Now(), store: newStore(), jobs: map[string]work{},
		gangs: map[string]map[*run]*worker{}, history: map[string][]event{}, finished: make(chan struct{}), directory: directory,
		program: os.Args[2],
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		r.close()
		os.Exit(failed)
	}()
	time.AfterFunc(115*time.Second, func() {
		fmt.Println("could not run: no result after 115 s")
		r.close()
		os.Exit(failed)
	})
	wasBroken, err := play(r)
	close(r.finished)
	r.close()
	switch {
	case err != nil:
		r.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(failed)
	case wasBroken:
		r.note("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(broken)
	}
	r.note("the rule held")
	fmt.Println("the rule held")
	os.Exit(held)
}
