package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/dotterelgauge/dotterelgauge/internal/config"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/node"
	"github.com/dotterelgauge/dotterelgauge/internal/signals"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
	"github.com/dotterelgauge/dotterelgauge/platform"
)

const (
	// logCloseTimeout is the maximum time to write the last log lines.
	logCloseTimeout = 300 * time.Millisecond
	// settingsTimeout is how long a start waits for a settings file with which no instance can run: it may just be being written.
	// settingsInterval is the time between two reads of it.
	settingsTimeout  = 2 * time.Second
	settingsInterval = 50 * time.Millisecond
)

// serveCommand runs an instance with the settings of the platform's settings file.
type serveCommand struct {
	Peers     string `enum:"on,off" default:"on" help:"Forward calls to other instances while the store refuses this one: on or off."`
	Durations string `default:"learned" enum:"learned,declared" help:"What plans use as the durations of tasks: what was learned from finished runs, where these show that the declared estimates are wrong, or the declared estimates alone (${enum})."`
}

// Run runs the instance until SIGTERM or SIGINT.
func (c *serveCommand) Run() error {
	path, settings, problems, err := awaitSettings()
	if err != nil {
		return joinProblems(err, problems)
	}
	if c.Peers == "off" {
		settings.PeersAddress = ""
	}
	settings.DeclaredDurations = c.Durations == "declared"
	writer := events.NewWriter(os.Stdout)
	defer writer.Close(logCloseTimeout)
	logger := events.New(writer, settings.Name)
	logProblems(logger, problems)
	ctx, stop := signals.UntilTerminated(context.Background())
	defer stop()
	go checkOnHangup(ctx, path, logger)
	store := platform.NewStore(settings.StoreAddress)
	var advisor worker.Advisor
	if settings.AdvisorAddress != "" {
		advisor = platform.NewAdvisor(settings.AdvisorAddress)
	}
	var machines worker.Machines
	if settings.MachinesAddress != "" {
		machines = platform.NewMachines(settings.MachinesAddress)
	}
	return node.New(settings, node.Platform{
		Advisor: advisor, Machines: machines, UpkeepStatus: store.Status(), EncodeWaveStatus: platform.EncodeWaveStatus,
		Jobs: store.Jobs(), Operator: store.Operator(), Registry: store.Workers(),
		Workers: platform.NewWorkers(), DecodeWorker: platform.DecodeWorker,
		NewOperatorReader: func(holder *config.Holder, waves *config.Waves, evacuations *config.Evacuations) storelog.Reader {
			return &platform.OperatorReader{Holder: holder, Waves: waves, Evacuations: evacuations, Events: logger}
		},
		CallerHandler:    platform.CallerHandler,
		DecodeJob:        platform.DecodeJob,
		ReadinessHandler: func(ready func() bool) http.Handler { return platform.ReadinessHandler(ready) },
	}, logger).Run(ctx)
}

// checkOnHangup checks the settings file at each SIGHUP and logs the result, with the same problems as at a start. A running process
// keeps its settings; a changed file takes effect at the next start.
func checkOnHangup(ctx context.Context, path string, logger *events.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals.Hangups():
			_, _, problems, err := loadSettings()
			logProblems(logger, problems)
			logger.Log(events.SettingsChecked, "path", path, "problems", len(problems), "error", err)
		}
	}
}

func logProblems(logger *events.Logger, problems []*platform.SettingError) {
	for _, problem := range problems {
		logger.Log(events.SettingNotUsable, "key", problem.Key, "value", problem.Value, "used", problem.Used, "error", problem)
	}
}

// joinProblems returns an error with all problems; nil if there are none.
func joinProblems(err error, problems []*platform.SettingError) error {
	for _, problem := range problems {
		err = errors.Join(err, problem)
	}
	return err
}

// awaitSettings is loadSettings, but reads the file again for settingsTimeout while no instance can run with it.
func awaitSettings() (path string, settings node.Settings, problems []*platform.SettingError, err error) {
	deadline := time.Now().Add(settingsTimeout)
	for {
		path, settings, problems, err = loadSettings()
		if err == nil || path == "" || time.Now().After(deadline) {
			return path, settings, problems, err
		}
		time.Sleep(settingsInterval)
	}
}

// loadSettings reads and checks the settings file that the environment names. It returns the file's path, the settings and the values
// that can't be used. The error is what keeps an instance from running.
func loadSettings() (string, node.Settings, []*platform.SettingError, error) {
	path, err := platform.SettingsPath()
	if err != nil {
		return "", node.Settings{}, nil, err
	}
	settings, problems, err := platform.LoadSettings(path)
	if err != nil {
		return path, settings, problems, err
	}
	return path, settings, problems, settings.Check()
}

// checkCommand checks the settings file without running an instance.
type checkCommand struct{}

// Run returns every problem of the settings as one error.
func (c *checkCommand) Run() error {
	path, _, problems, err := loadSettings()
	if err := joinProblems(err, problems); err != nil {
		return err
	}
	fmt.Println(path + ": no problems")
	return nil
}
