package main

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// jobCommands are the commands on jobs.
type jobCommands struct {
	Submit jobSubmitCommand `cmd:"" help:"Submit a gang. Example: dotterelctl job submit --members 4 --accelerators 8 --adjacency rack."`
	List   jobListCommand   `cmd:"" help:"List the account's jobs."`
	Show   jobShowCommand   `cmd:"" help:"Show one job and why it waits."`
	Cancel jobCancelCommand `cmd:"" help:"Cancel one job."`
}

// jobSubmitCommand submits a job.
type jobSubmitCommand struct {
	callersFlags
	Key          string        `help:"UUIDv7 that becomes the job's id; made when left out. Submitting a key again submits nothing new."`
	Team         string        `help:"Team of the account."`
	Class        string        `help:"urgent, ordinary or patient." enum:"urgent,ordinary,patient" default:"ordinary"`
	Members      uint32        `help:"Members of the gang, 1 to 64." default:"1"`
	Accelerators uint32        `help:"Accelerators of each member: 0, 1, 2, 4 or 8." default:"1"`
	Adjacency    string        `help:"worker, rack or data_centre." enum:"worker,rack,data_centre" default:"data_centre"`
	DataCentre   string        `help:"Data centre to run in; chosen when left out."`
	Cores        uint32        `help:"Processor cores of each member."`
	MemoryMiB    uint32        `name:"memory-mib" help:"Memory of each member, MiB."`
	Expected     time.Duration `help:"Expected run time on a worker of speed 1." default:"1h"`
	Deadline     time.Duration `help:"Time from now by which the job should be finished; 0 for none."`
	Payload      string        `help:"What the tasks run; opaque."`
}

// Run submits the job and prints its id.
func (c *jobSubmitCommand) Run(ctx context.Context) error {
	key := c.Key
	if key == "" {
		fresh, err := uuid.NewV7()
		if err != nil {
			return errors.Wrap(err, "make a key")
		}
		key = fresh.String()
	}
	job, err := c.client().SubmitJob(ctx, key, c.spec(time.Now()))
	if err != nil {
		return errors.Wrap(err, "job "+key+" (submit again with --key to learn whether it was taken)")
	}
	fmt.Println(job.Id)
	return nil
}

func (c *jobSubmitCommand) spec(now time.Time) *apiv1.JobSpec {
	spec := &apiv1.JobSpec{
		Team:       c.Team,
		WorkClass:  workClass(c.Class),
		Shape:      &apiv1.Shape{Members: c.Members, Accelerators: c.Accelerators, Adjacency: adjacency(c.Adjacency)},
		DataCentre: c.DataCentre,
		Cores:      c.Cores,
		MemoryMib:  c.MemoryMiB,
		ExpectedMs: c.Expected.Milliseconds(),
		Payload:    []byte(c.Payload),
	}
	if c.Deadline > 0 {
		spec.DeadlineUnixMs = now.Add(c.Deadline).UnixMilli()
	}
	return spec
}

func workClass(text string) apiv1.WorkClass {
	switch text {
	case "urgent":
		return apiv1.WorkClass_WORK_CLASS_URGENT
	case "patient":
		return apiv1.WorkClass_WORK_CLASS_PATIENT
	default:
		return apiv1.WorkClass_WORK_CLASS_ORDINARY
	}
}

func adjacency(text string) apiv1.Adjacency {
	switch text {
	case "worker":
		return apiv1.Adjacency_ADJACENCY_WORKER
	case "rack":
		return apiv1.Adjacency_ADJACENCY_RACK
	default:
		return apiv1.Adjacency_ADJACENCY_DATA_CENTRE
	}
}

// jobListCommand lists jobs.
type jobListCommand struct {
	callersFlags
}

// Run prints one line a job.
func (c *jobListCommand) Run(ctx context.Context) error {
	list, err := c.client().Jobs(ctx)
	if err != nil {
		return err
	}
	for _, job := range list.Jobs {
		printJob(job)
	}
	return nil
}

func printJob(job *apiv1.Job) {
	shape := job.GetSpec().GetShape()
	fmt.Printf("%s  %-20s  run %d  %d x %d accelerators  %s  %s\n",
		job.Id, job.State, job.Run, shape.GetMembers(), shape.GetAccelerators(), job.GetSpec().GetDataCentre(), job.Reason)
}

// jobShowCommand shows one job.
type jobShowCommand struct {
	callersFlags
	ID string `arg:"" help:"Job id."`
}

// Run prints the job, its members and why it waits.
func (c *jobShowCommand) Run(ctx context.Context) error {
	view, err := c.client().Job(ctx, c.ID)
	if err != nil {
		return err
	}
	printJob(view.Job)
	for i, member := range view.Job.GetPlacement().GetMembers() {
		fmt.Printf("  member %d on %s, accelerators %08b\n", i, member.Worker, member.Accelerators)
	}
	if view.Explanation != "" {
		fmt.Println("  waits:", view.Explanation)
	}
	return nil
}

// jobCancelCommand cancels one job.
type jobCancelCommand struct {
	callersFlags
	ID string `arg:"" help:"Job id."`
}

// Run cancels the job.
func (c *jobCancelCommand) Run(ctx context.Context) error {
	job, err := c.client().CancelJob(ctx, c.ID)
	if err != nil {
		return err
	}
	printJob(job)
	return nil
}
