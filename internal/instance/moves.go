package instance

import (
	"context"
	"slices"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/membership"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
	"github.com/dotterelgauge/dotterelgauge/internal/policymsg"
	"github.com/dotterelgauge/dotterelgauge/internal/state"
)

const (
	// moveInterval is the time between two looks for jobs to move.
	moveInterval = 10 * time.Second
	// moveAfter is how long a job waits before it is moved to another data centre.
	moveAfter = 30 * time.Second
)

// runMoves moves waiting jobs of the data centres owned to others that have room, until ctx ends.
func (d *domains) runMoves(ctx context.Context) {
	ticker := time.NewTicker(moveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.moveOnce(ctx)
		}
	}
}

// moveOnce proposes at most one move out of each data centre owned.
func (d *domains) moveOnce(ctx context.Context) {
	view := d.instance.members.View()
	for _, name := range d.ownedNames() {
		job, to := d.findMove(view, name, time.Now())
		if to == "" {
			continue
		}
		proposeContext, cancel := context.WithTimeout(ctx, takeTimeout)
		_ = d.instance.ledger.Propose(proposeContext, &apiv1.Record{
			Actor:  d.instance.author.Instance,
			Reason: "it waits and the other data centre has room",
			Body:   &apiv1.Record_JobMoved{JobMoved: &apiv1.JobMoved{Id: job.ID, From: name, To: to}},
		})
		cancel()
	}
}

func (d *domains) ownedNames() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name, known := range d.domains {
		if known.loop != nil {
			names = append(names, name)
		}
	}
	return names
}

// findMove returns the longest waiting job of a data centre that another one has room for, and that one;
// "" when there is none.
func (d *domains) findMove(view membership.View, from string, now time.Time) (state.Job, string) {
	i := d.instance
	var found state.Job
	to := ""
	i.ledger.View(func() {
		rooms := freeRooms(i.state, view, from)
		for _, job := range i.state.LiveJobs(from) {
			if !movable(job, now) {
				continue
			}
			for _, room := range rooms {
				if fits(room.idle, job.Spec) {
					found, to = job, room.name
					return
				}
			}
		}
	})
	return found, to
}

// movable reports whether a job has waited long enough and may run elsewhere.
func movable(job state.Job, now time.Time) bool {
	return job.State == apiv1.JobState_JOB_STATE_WAITING &&
		!job.Spec.DataCentreFixed &&
		now.UnixMilli()-job.SubmittedMillis >= moveAfter.Milliseconds()
}

// room is a data centre in which no job waits.
type room struct {
	name string
	// idle workers have all their accelerators free.
	idle []policy.Worker
}

// freeRooms returns the other data centres in which no job waits. It is called in a view of the ledger.
func freeRooms(ledgerState *state.State, view membership.View, from string) []room {
	var rooms []room
	for _, name := range view.DataCentres() {
		if name == from || someWait(ledgerState.LiveJobs(name)) {
			continue
		}
		other := room{name: name}
		for _, worker := range policymsg.Workers(view.Workers, name) {
			if ledgerState.Occupied(worker.Name) == 0 {
				other.idle = append(other.idle, worker)
			}
		}
		rooms = append(rooms, other)
	}
	return rooms
}

func someWait(jobs []state.Job) bool {
	return slices.ContainsFunc(jobs, func(job state.Job) bool { return job.State == apiv1.JobState_JOB_STATE_WAITING })
}
