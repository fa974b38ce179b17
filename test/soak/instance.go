package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/dotterelgauge/dotterelgauge/test/standin"
)

const (
	// portsPerInstance counts the ports for callers, readiness and metrics.
	portsPerInstance = 3
	// readyTimeout is the maximum time for an instance to become ready; it is checked every readyPollInterval.
	readyTimeout      = 20 * time.Second
	readyPollInterval = 50 * time.Millisecond
	// hangUpTimeout is how long a process is watched after SIGHUP, which must not end it.
	hangUpTimeout = 200 * time.Millisecond
	// exitTimeout is the maximum time for an instance to exit after SIGTERM: the grace period in its settings.
	exitTimeout = 6 * time.Second
	// queryTimeout is the timeout of one request for readiness or metrics.
	queryTimeout = time.Second
)

// instance is one instance under test, a separate process that is restarted after faults.
type instance struct {
	name                                             string
	callersAddress, readinessAddress, metricsAddress string
	// stopMs is the value of a bound in the settings file; see changeSettings.
	stopMs                string
	settingsPath, logPath string
	program               string
	storeLink             *link
	process               *exec.Cmd
	exited                chan error
	// ctx ends the process and prevents others. processes counts those of all instances.
	ctx       context.Context //nolint:containedctx // the run's, for each launch.
	processes *sync.WaitGroup
	// logBytes is the size of the log at the last launch.
	logBytes int64
}

// newInstance writes the settings file of an instance, which reaches the store through its own link, but doesn't launch it.
func newInstance(platform *standin.Platform, program, directory string, index, port int, maxLease time.Duration) (*instance, error) {
	i := &instance{
		name: fmt.Sprintf("i%d", index), program: program,
		callersAddress: fmt.Sprintf("127.0.0.1:%d", port), readinessAddress: fmt.Sprintf("127.0.0.1:%d", port+1),
		metricsAddress: fmt.Sprintf("127.0.0.1:%d", port+2), stopMs: "400",
	}
	i.settingsPath, i.logPath = filepath.Join(directory, i.name+".toml"), filepath.Join(directory, i.name+".log")
	storeAddress, err := platform.Serve(i.name)
	if err != nil {
		return nil, err
	}
	if i.storeLink, err = newLink(storeAddress); err != nil {
		return nil, err
	}
	text := standin.SettingsText(i.name, fmt.Sprintf("z%d", index%2), i.storeLink.address(),
		i.callersAddress, i.readinessAddress, port+2, maxLease)
	return i, os.WriteFile(i.settingsPath, []byte(text), 0o600)
}

// launch starts the process and appends its output to the log.
func (i *instance) launch() error {
	logFile, err := os.OpenFile(i.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	if i.logBytes, err = logFile.Seek(0, io.SeekEnd); err != nil {
		return err
	}
	i.process = exec.CommandContext(i.ctx, i.program, "serve") //nolint:gosec // the program under test.
	i.process.Env = append(os.Environ(), "DOTTERELGAUGE_NODE_FILE="+i.settingsPath)
	i.process.Stdout, i.process.Stderr = logFile, logFile
	i.processes.Add(1)
	if err := i.process.Start(); err != nil {
		i.processes.Done()
		return err
	}
	process, exited := i.process, make(chan error, 1)
	i.exited = exited
	go func() {
		defer i.processes.Done()
		exited <- process.Wait()
	}()
	return nil
}

// awaitReady waits until the instance is ready and returns an error if it isn't after readyTimeout.
func (i *instance) awaitReady() error {
	for started := time.Now(); time.Since(started) < readyTimeout; time.Sleep(readyPollInterval) {
		if status, err := get("http://"+i.readinessAddress+"/api/readyz", nil); err == nil && status == http.StatusOK {
			return nil
		}
	}
	return errors.Errorf("%s is not ready after %v: see %s", i.name, readyTimeout, i.logPath)
}

func (i *instance) signal(signal syscall.Signal) { _ = i.process.Process.Signal(signal) }

// kill kills the process and waits until it has exited.
func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	_ = i.wait() // the exit status of a killed process says nothing
}

// wait waits for the process to exit and returns the error of exec.Cmd.Wait.
func (i *instance) wait() error { return <-i.exited }

// terminate sends SIGTERM and returns an error unless the process exits with 0 within exitTimeout, after which it is killed. A process
// that the signal ends before it has written its first log line had not begun to run: no program can handle a signal by then.
func (i *instance) terminate() error {
	i.signal(syscall.SIGTERM)
	select {
	case err := <-i.exited:
		if i.endedAtStart(err, syscall.SIGTERM) {
			return nil
		}
		return err
	case <-time.After(exitTimeout):
		i.kill()
		return errors.Errorf("%s was still running %v after SIGTERM", i.name, exitTimeout)
	}
}

// hangUp sends SIGHUP and returns an error if the process ends. One that the signal ends before it has written its first log line is
// launched again, as the platform does.
func (i *instance) hangUp() error {
	i.signal(syscall.SIGHUP)
	select {
	case err := <-i.exited:
		if i.endedAtStart(err, syscall.SIGHUP) {
			return i.launch()
		}
		i.exited <- err // for the next fault that ends the process
		return errors.Errorf("%s has ended: %v", i.name, err)
	case <-time.After(hangUpTimeout):
		return nil
	}
}

// endedAtStart reports whether a process that has exited with the error was ended by a signal before it had written its first log line.
func (i *instance) endedAtStart(err error, signal syscall.Signal) bool {
	var exit *exec.ExitError
	return errors.As(err, &exit) && exit.Sys().(syscall.WaitStatus).Signal() == signal && !i.hasLogged()
}

// hasLogged reports whether the process has written to its log since its launch.
func (i *instance) hasLogged() bool {
	info, err := os.Stat(i.logPath)
	return err != nil || info.Size() > i.logBytes
}

// isOwner reports whether the metrics show the instance as the owner; false if they can't be read.
func (i *instance) isOwner() bool {
	var counters struct {
		Epoch int64 `json:"owner_epoch"`
	}
	_, err := get("http://"+i.metricsAddress+"/metrics", &counters)
	return err == nil && counters.Epoch > 0
}

// get requests a URL and returns the HTTP status. The JSON body is decoded into target, unless target is nil.
func get(url string, target any) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if target == nil {
		return response.StatusCode, nil
	}
	return response.StatusCode, json.NewDecoder(response.Body).Decode(target)
}
