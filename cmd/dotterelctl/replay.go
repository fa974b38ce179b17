package main

import (
	"encoding/json"
	"os"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
	"github.com/dotterelgauge/dotterelgauge/internal/policy/baseline"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
)

// replayCommand replays a trace through the decisions and the baselines.
type replayCommand struct {
	Trace     string `arg:"" help:"Trace (docs/TRACES.md); compressed when it ends in .gz." type:"existingfile"`
	Sheet     string `help:"CSV sheet; the one of the trace when left out." type:"existingfile"`
	Objective string `help:"lounge or gallery." enum:"lounge,gallery" default:"lounge"`
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
		if _, given, err = readSheet(c.Sheet); err != nil {
			return err
		}
	}
	result, err := replay.Run(trace, given, replay.Options{Policies: c.candidates()})
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
	return result.Text(os.Stdout)
}

func (c *replayCommand) candidates() []replay.Candidate {
	config, _ := policy.Preset(c.Objective)
	candidates := []replay.Candidate{{Name: c.Objective, New: func() policy.Policy { return policy.New(config) }}}
	if !c.Baselines {
		return candidates
	}
	return append(candidates,
		replay.Candidate{Name: "fifo", New: baseline.NewFIFO},
		replay.Candidate{Name: "fifo-backfill", New: baseline.NewBackfill},
		replay.Candidate{Name: "edf-best-fit", New: baseline.NewEDF},
	)
}
