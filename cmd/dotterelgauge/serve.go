package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/config"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/node"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
	"github.com/dotterelgauge/dotterelgauge/platform"
)

// logCloseTime bounds the writing of the last log lines.
const logCloseTime = 300 * time.Millisecond

// serveCommand runs an instance with the settings that the platform gives.
type serveCommand struct{}

// Run serves until SIGTERM.
func (c *serveCommand) Run() error {
	path, settings, err := load()
	if err != nil {
		return err
	}
	lines := events.NewWriter(os.Stdout)
	defer lines.Close(logCloseTime)
	logger := events.New(lines, settings.Name)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go reload(ctx, path, logger)
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
		Advisor: advisor, Machines: machines, UpkeepStatus: store.Status(), EncodeWaveStatus: platform.WaveStatus,
		Jobs: store.Jobs(), Operator: store.Operator(), Registry: store.Workers(),
		Workers: platform.NewWorkers(), DecodeWorker: platform.DecodeWorker,
		NewOperatorReader: func(holder *config.Holder, waves *config.Waves) storelog.Reader {
			return &platform.OperatorReader{Holder: holder, Waves: waves, Events: logger}
		},
		CallerHandler:    platform.Callers,
		ReadinessHandler: func(ready func() bool) http.Handler { return platform.Readiness(ready) },
	}, logger).Run(ctx)
}

// reload checks the settings file at each SIGHUP. Nothing that a process uses changes in its life, so a new file takes
// effect at its next start; a wrong one is told at once.
func reload(ctx context.Context, path string, logger *events.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			_, _, err := load()
			logger.Log(events.SettingsReloaded, "path", path, "error", err)
		}
	}
}

// load reads and checks the settings file that the environment names.
func load() (string, node.Settings, error) {
	path, err := platform.SettingsPath()
	if err != nil {
		return "", node.Settings{}, err
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return path, settings, err
	}
	return path, settings, settings.Check()
}

// checkCommand checks the settings file.
type checkCommand struct{}

// Run lists every problem of the settings.
func (c *checkCommand) Run() error {
	path, _, err := load()
	if err != nil {
		return err
	}
	fmt.Println(path + ": all right")
	return nil
}
