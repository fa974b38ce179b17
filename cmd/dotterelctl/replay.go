package main

import (
	"encoding/json"
	"os"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
)

// replayCommand replays a trace through the decisions and the baselines.
type replayCommand struct {
	Trace     string `arg:"" help:"Trace (docs/TRACES.md); compressed when it ends in .gz." type:"existingfile"`
	Sheet     string `help:"CSV sheet; the one of the trace when left out." type:"existingfile"`
	Baselines bool   `help:"Replay the baselines too." default:"true" negatable:""`
	JSON      bool   `help:"Print JSON."`
}

// Run prints the outcomes.
func (c *replayCommand) Run() error {
	trace, err := replay.ReadFile(c.Trace)
	if err != nil {
		return err
	}
	var given *apiv1.Sheet
	if c.Sheet != "" {
		if given, err = readSheet(c.Sheet); err != nil {
			return err
		}
	}
	candidates := []replay.Candidate{replay.Scheduler()}
	if c.Baselines {
		candidates = append(candidates, replay.Baselines()...)
	}
	result, err := replay.Run(trace, given, replay.Options{Candidates: candidates})
	if err != nil {
		return err
	}
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(result); err != nil {
			return errors.Wrap(err, "write the outcomes")
		}
		return nil
	}
	return result.WriteTable(os.Stdout)
}
