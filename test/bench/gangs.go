package main

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/dotterelgauge/dotterelgauge/api/client"
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/test/site"
)

const (
	// gangMembers is the size of each gang that is held.
	gangMembers = 16
	// gangWork is the declared time of the jobs, so that none ends while it is measured.
	gangWork = 6 * time.Hour
	// gangsWait bounds the wait until all gangs run or are gone.
	gangsWait = 2 * time.Minute
	// settle is how long the gangs run before the measurement, so that no start is in it.
	settle    = 8 * time.Second
	gangsPoll = 500 * time.Millisecond
)

var errNotPlaced = errors.New("not all gangs are placed in time: give more workers")

// measureGangs measures the site while it holds running gangs and does nothing else.
func (b *bench) measureGangs() error {
	var ids []string
	for n, tasks := range b.given.Tasks {
		if err := b.startGangs(&ids, (tasks+gangMembers-1)/gangMembers); err != nil {
			return err
		}
		lasts := b.given.Time
		if n == len(b.given.Tasks)-1 && b.given.Hold > 0 {
			lasts = b.given.Hold
		}
		title := fmt.Sprintf("%d gangs of %d running for %s, %d tasks in %d data centres",
			len(ids), gangMembers, lasts, len(ids)*gangMembers, len(b.site.Config.DataCentres))
		b.measure(title, func() { time.Sleep(lasts) })
	}
	return b.cancelGangs(ids)
}

// startGangs submits gangs until there are that many, waits until they run and measures both.
func (b *bench) startGangs(ids *[]string, wanted int) error {
	var failed error
	b.measure(fmt.Sprintf("start of %d gangs of %d, and %s", wanted-len(*ids), gangMembers, settle), func() {
		more, err := b.submitGangs(len(*ids), wanted)
		*ids = append(*ids, more...)
		if err == nil {
			err = b.awaitGangs(len(*ids))
		}
		failed = err
		time.Sleep(settle)
	})
	return failed
}

// submitGangs submits gangs number from to below to, the data centres and the instances in turn, and returns their ids.
func (b *bench) submitGangs(from, to int) ([]string, error) {
	ids := make([]string, max(to-from, 0))
	calls, ctx := errgroup.WithContext(b.ctx)
	calls.SetLimit(concurrency)
	for n := range ids {
		key, err := uuid.NewV7()
		if err != nil {
			return nil, errors.Wrap(err, "make a key")
		}
		ids[n] = key.String()
		calls.Go(func() error {
			_, err := b.caller(n).SubmitJob(ctx, ids[n], heldJob(b.site.Config.DataCentres, from+n))
			return err
		})
	}
	if err := calls.Wait(); err != nil {
		return nil, errors.Wrap(err, "submit a gang")
	}
	return ids, nil
}

// caller returns a client of one of the instances.
func (b *bench) caller(number int) *client.Client {
	return client.New(b.site.Instances[number%len(b.site.Instances)].Callers, site.CallerToken)
}

// heldJob takes a core for each member and no accelerators, so that more tasks fit than there are accelerators.
func heldJob(dataCentres []string, number int) *apiv1.JobSpec {
	return &apiv1.JobSpec{
		WorkClass:  apiv1.WorkClass_WORK_CLASS_ORDINARY,
		Shape:      &apiv1.Shape{Members: gangMembers, Adjacency: apiv1.Adjacency_ADJACENCY_DATA_CENTRE},
		DataCentre: dataCentres[number%len(dataCentres)],
		Cores:      1,
		ExpectedMs: gangWork.Milliseconds(),
	}
}

// awaitGangs waits until exactly that many jobs are placed.
func (b *bench) awaitGangs(wanted int) error {
	ctx, cancel := context.WithTimeout(b.ctx, gangsWait)
	defer cancel()
	for ctx.Err() == nil {
		list, err := b.caller(0).Jobs(ctx)
		if err == nil && placed(list) == wanted {
			return nil
		}
		time.Sleep(gangsPoll)
	}
	return errNotPlaced
}

func placed(list *apiv1.JobList) int {
	count := 0
	for _, job := range list.GetJobs() {
		if job.GetState() == apiv1.JobState_JOB_STATE_PLACED {
			count++
		}
	}
	return count
}

// cancelGangs ends the gangs and waits until they are gone.
func (b *bench) cancelGangs(ids []string) error {
	calls, ctx := errgroup.WithContext(b.ctx)
	calls.SetLimit(concurrency)
	for n, id := range ids {
		calls.Go(func() error {
			_, err := b.caller(n).CancelJob(ctx, id)
			return err
		})
	}
	if err := calls.Wait(); err != nil {
		return errors.Wrap(err, "cancel a gang")
	}
	return b.awaitGangs(0)
}
