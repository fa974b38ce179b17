package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/dotterelgauge/dotterelgauge/api/client"
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// statusCommand shows the system.
type statusCommand struct {
	operatorsFlags
	JSON bool `help:"Print JSON."`
}

// Run prints the status.
func (c *statusCommand) Run(ctx context.Context) error {
	status, err := c.client().Status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(status)
	}
	fmt.Printf("instance %s  ready %t %s\nrevision %d  ledger offset %d  jobs waiting %d, placed %d\n",
		status.Instance, status.Ready, status.Reason, status.Revision, status.LedgerOffset, status.WaitingJobs, status.PlacedJobs)
	for _, owner := range status.Owners {
		fmt.Printf("owner of %s: %s (epoch %d)\n", owner.DataCentre, owner.GetAuthor().GetInstance(), owner.Epoch)
	}
	for _, verdict := range status.Verdicts {
		fmt.Printf("worker %s: %s: %s\n", verdict.Worker, verdict.Condition, verdict.Reason)
	}
	for _, other := range status.Instances {
		fmt.Printf("instance %s in %s: answers %t, draining %t, reaches log %t, revision %d\n",
			other.Name, other.DataCentre, other.Answers, other.Draining, other.ReachesLog, other.Revision)
	}
	return nil
}

func printJSON(status *apiv1.Status) error {
	body, err := protojson.MarshalOptions{UseProtoNames: true, Multiline: true}.Marshal(status)
	if err != nil {
		return errors.Wrap(err, "encode the status")
	}
	_, err = fmt.Println(string(body))
	return err
}

// workerCommands change the condition of workers.
type workerCommands struct {
	Drain      workerDrainCommand      `cmd:"" help:"Give a worker nothing new."`
	Quarantine workerQuarantineCommand `cmd:"" help:"Give a worker probes only."`
	Return     workerReturnCommand     `cmd:"" help:"Let a worker work again."`
}

// workerFlags name a worker and a cause.
type workerFlags struct {
	operatorsFlags
	Worker string `arg:"" help:"Name of the worker."`
	Actor  string `help:"Your name, for the audit trail." env:"USER" required:""`
	Reason string `help:"Why, for the audit trail."`
}

func (f workerFlags) mark(ctx context.Context, condition string) error {
	return f.client().MarkWorker(ctx, f.Worker, condition, client.Cause{Actor: f.Actor, Reason: f.Reason})
}

type workerDrainCommand struct{ workerFlags }

// Run drains the worker.
func (c *workerDrainCommand) Run(ctx context.Context) error { return c.mark(ctx, "drained") }

type workerQuarantineCommand struct{ workerFlags }

// Run quarantines the worker.
func (c *workerQuarantineCommand) Run(ctx context.Context) error { return c.mark(ctx, "quarantined") }

type workerReturnCommand struct{ workerFlags }

// Run returns the worker.
func (c *workerReturnCommand) Run(ctx context.Context) error { return c.mark(ctx, "healthy") }

// auditCommands read the audit trail.
type auditCommands struct {
	Tail   auditTailCommand   `cmd:"" help:"Follow the changes as they come."`
	Export auditExportCommand `cmd:"" help:"Write the changes as a trace that replay reads."`
}

// auditWait is how long one call waits for a record.
const auditWait = 10 * time.Second

// auditTailCommand follows the trail.
type auditTailCommand struct {
	operatorsFlags
	From   int64 `help:"Offset to start from."`
	Follow bool  `help:"Wait for more."`
}

// Run prints one JSON object a record.
func (c *auditTailCommand) Run(ctx context.Context) error {
	return eachRecord(ctx, c.client(), c.From, c.Follow, func(record *apiv1.AuditRecord) error {
		body, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(record)
		if err != nil {
			return errors.Wrap(err, "encode a record")
		}
		return json.NewEncoder(os.Stdout).Encode(json.RawMessage(body))
	})
}

// eachRecord calls f for the records from the offset on.
func eachRecord(ctx context.Context, connection *client.Client, from int64, follow bool, f func(*apiv1.AuditRecord) error) error {
	wait := time.Duration(0)
	if follow {
		wait = auditWait
	}
	for {
		page, err := connection.Audit(ctx, from, wait)
		if err != nil {
			return err
		}
		for _, record := range page.Records {
			if err := f(record); err != nil {
				return err
			}
		}
		if page.Next == from && !follow {
			return nil
		}
		from = page.Next
	}
}
