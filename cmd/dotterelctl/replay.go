package main

import (
	"encoding/json"
	"os"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
)

// replayCommand replays a trace through the scheduler and the baselines.
type replayCommand struct {
	Trace     string `arg:"" help:"Trace file (docs/TRACES.md); compressed if its name ends in .gz." type:"existingfile"`
	Sheet     string `help:"CSV sheet; the sheet of the trace if left out." type:"existingfile"`
	Baselines bool   `help:"Replay the trace through the baselines too." default:"true" negatable:""`
	JSON      bool   `help:"Print JSON."`
}

// Run prints the results.
func (c *replayCommand) Run() error {
	trace, err := replay.ReadFile(c.Trace)
	if err != nil {
		return err
	}
	var override *apiv1.Sheet
	if c.Sheet != "" {
		if override, err = readSheet(c.Sheet); err != nil {
			return err
		}
	}
	candidates := []replay.Candidate{replay.Scheduler()}
	if c.Baselines {
		candidates = append(append(candidates, replay.SchedulerDeclared()), replay.Baselines()...)
	}
	result, err := replay.Run(trace, override, replay.Options{Candidates: candidates})
	if err != nil {
		return err
	}
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(result); err != nil {
			return errors.Wrap(err, "write the results")
		}
		return nil
	}
	return result.WriteTable(os.Stdout)
}
