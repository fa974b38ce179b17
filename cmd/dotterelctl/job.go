package main

import (
	"context"
	"encoding/hex"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"google.golang.org/protobuf/encoding/protojson"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// idBytes is the size of a job's id before its encoding in hexadecimal digits.
const idBytes = 8

// jobCommands are the subcommands of job.
type jobCommands struct {
	Submit jobSubmitCommand `cmd:"" help:"Submit a job of one step, or a job from a file. Example: dotterelctl job submit settle --count 4 --accelerators 8 --gang."`
	Show   jobShowCommand   `cmd:"" help:"Show a job and, on the owner, why it waits."`
	Cancel jobCancelCommand `cmd:"" help:"Cancel a job."`
}

// jobSubmitCommand submits a job.
type jobSubmitCommand struct {
	instanceFlags
	Queue        string        `arg:"" help:"Name of the queue."`
	ID           string        `help:"Job id, 16 hexadecimal digits; random if left out. Repeating an id has no further effect."`
	File         string        `help:"File with the job as JSON (docs/API.md); replaces the flags below." type:"existingfile"`
	Count        uint32        `help:"Number of tasks." default:"1"`
	Gang         bool          `help:"The tasks start together and run only together."`
	SameRack     bool          `help:"The tasks run slower when they are spread over several racks."`
	Accelerators uint32        `help:"Accelerators of each task."`
	Cores        float64       `help:"Processor cores of each task." default:"1"`
	Memory       uint32        `help:"Memory of each task, MB." default:"1024"`
	Estimate     time.Duration `help:"Estimated run time of a task." default:"10s"`
	Text         string        `help:"What the tasks run; passed to the workers unchanged."`
}

// Run submits the job and prints its id.
func (c *jobSubmitCommand) Run(ctx context.Context) error {
	job, err := c.job()
	if err != nil {
		return err
	}
	id := c.ID
	if id == "" {
		random := uuid.New()
		id = hex.EncodeToString(random[:idBytes])
	}
	view, err := c.client().SubmitJob(ctx, c.Queue, id, job)
	if err != nil {
		return errors.Wrap(err, "job "+id+" (submit it again with this --id to find out whether it was accepted)")
	}
	if c.JSON {
		return printJSON(view)
	}
	fmt.Println(view.GetId())
	return nil
}

// job returns the job from the file, or else from the flags.
func (c *jobSubmitCommand) job() (*storev1.Job, error) {
	if c.File != "" {
		raw, err := os.ReadFile(c.File)
		if err != nil {
			return nil, errors.Wrap(err, "read the job file")
		}
		job := &storev1.Job{}
		if err := protojson.Unmarshal(raw, job); err != nil {
			return nil, errors.Wrap(err, "the file is not a valid job")
		}
		return job, nil
	}
	const millicores = 1000
	return &storev1.Job{Spec: c.Text, Steps: []*storev1.Step{{
		Count: c.Count, Gang: c.Gang, SameRack: c.SameRack, EstimateMs: c.Estimate.Milliseconds(),
		Need: &storev1.Resources{CpuMillicores: uint32(c.Cores * millicores), MemoryMb: c.Memory, Accelerators: c.Accelerators},
	}}}, nil
}

// jobShowCommand shows one job.
type jobShowCommand struct {
	instanceFlags
	Queue string `arg:"" help:"Name of the queue."`
	ID    string `arg:"" help:"Job id."`
}

// Run prints the job and why it waits.
func (c *jobShowCommand) Run(ctx context.Context) error {
	view, err := c.client().Job(ctx, c.Queue, c.ID)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(view)
	}
	printJob(view)
	return nil
}

func printJob(view *apiv1.JobView) {
	fmt.Printf("%s  %s  %s\n", view.GetId(), view.GetQueue(), view.GetState())
	for _, line := range view.GetWaits() {
		fmt.Println("  " + line)
	}
}

// jobCancelCommand cancels one job.
type jobCancelCommand struct {
	instanceFlags
	Queue string `arg:"" help:"Name of the queue."`
	ID    string `arg:"" help:"Job id."`
}

// Run cancels the job.
func (c *jobCancelCommand) Run(ctx context.Context) error {
	if err := c.client().CancelJob(ctx, c.Queue, c.ID); err != nil {
		return err
	}
	fmt.Println(c.ID + " is cancelled")
	return nil
}

// queueCommand shows the number of pending jobs of a queue.
type queueCommand struct {
	instanceFlags
	Queue string `arg:"" help:"Name of the queue."`
}

// Run prints the number of accepted jobs of which no task has started.
func (c *queueCommand) Run(ctx context.Context) error {
	view, err := c.client().Queue(ctx, c.Queue)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(view)
	}
	fmt.Printf("%s: %d jobs have not started\n", view.GetName(), view.GetPending())
	return nil
}
