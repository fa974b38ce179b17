package gateway_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/config"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/metrics"
	"github.com/dotterelgauge/dotterelgauge/internal/mock"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

// health implements gateway.Health; catchUp is called by CatchUp.
type health struct{ catchUp func() error }

func (health) ConfigCurrent() bool              { return true }
func (health) Fresh() bool                      { return true }
func (health) Refresh(context.Context)          {}
func (health) CheckStore(context.Context) error { return nil }
func (h health) CatchUp(context.Context) error  { return h.catchUp() }

// trial is a gateway whose replica has a forecast by which jobs of account "full" are too late, whatever their priority.
type trial struct {
	t       *testing.T
	gateway *gateway.Gateway
	replica *replica.Replica
	offset  int64
	// catchUp is called when the gateway catches up.
	catchUp func() error
}

// run calls test with a trial, in virtual time.
func run(t *testing.T, test func(c *trial)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		holder := config.NewHolder(events.Discard())
		queues := make([]config.Queue, 3)
		for i := range queues {
			queues[i] = config.Queue{
				Name: fmt.Sprint("q", i), Host: "h", PathPrefix: fmt.Sprintf("/q%d/", i), Service: "s", Priority: uint32(i), StretchFactor: 3,
				TargetDuration: time.Second,
			}
		}
		holder.Set(&config.Configuration{Version: 1, Queues: queues, Accounts: map[string]config.Account{
			"full": {Name: "full", Keys: []string{"full"}, GuaranteedAccelerators: 8}, "idle": {Name: "idle", Keys: []string{"idle"}},
		}})
		appender := storelog.NewAppender(mock.NewStore().ForInstance("i"), "p", 1, 0)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = appender.Run(ctx) }()
		c := &trial{t: t, replica: replica.New(events.Discard()), catchUp: func() error { return nil }}
		check := health{func() error { return c.catchUp() }}
		c.gateway = gateway.New(holder, c.replica, appender, check, &metrics.Stages{}, 0, events.Discard())
		c.replica.Ready()
		c.apply(replica.ForecastRecord(forecast()))
		test(c)
	})
}

// forecast returns a forecast by which the jobs of account "full" are too late.
func forecast() *storev1.Forecast {
	service := &storev1.ServiceForecast{CoresInUse: 100, Largest: &storev1.Resources{CpuMillicores: 32000, MemoryMb: 65536, Accelerators: 8}}
	for priority := range uint32(3) {
		service.Priorities = append(service.Priorities, &storev1.PriorityForecast{
			Priority: priority, AtShare: []string{"full"}, Waiting: []*storev1.WaitingWork{{DensityQuarterExponent: 400, CoreSeconds: 1e6}},
		})
	}
	return &storev1.Forecast{ValidMs: 3000, Services: map[string]*storev1.ServiceForecast{"s": service}}
}

// apply lets the replica read a record.
func (c *trial) apply(record storelog.Record, err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
	c.offset++
	record.Offset = c.offset
	c.replica.Apply([]storelog.Record{record})
}

// job returns a job of one task.
func job(accelerators uint32) *storev1.Job {
	return &storev1.Job{Steps: []*storev1.Step{{
		Count: 1, EstimateMs: 4000, Need: &storev1.Resources{CpuMillicores: 1000, MemoryMb: 1024, Accelerators: accelerators},
	}}}
}

// submit submits a job with the id n of an account and returns the answer.
func (c *trial) submit(n int, account string, priority int, submitted *storev1.Job) gateway.Answer {
	c.t.Helper()
	call := gateway.Call{Host: "h", Path: fmt.Sprintf("/q%d/%016x", priority, n), Key: account}
	admitted, answer := c.gateway.Admit(call)
	if answer.Result != gateway.OK {
		c.t.Fatalf("the call isn't admitted: %+v", answer)
	}
	return c.gateway.Submit(context.Background(), admitted, submitted)
}

// accept lets the replica read an accepted job.
func (c *trial) accept(n int, account string, priority uint32, accepted *storev1.Job) {
	c.t.Helper()
	accepted.Id, accepted.Account, accepted.Priority, accepted.Queue = fmt.Sprintf("%016x", n), account, priority, fmt.Sprint("q", priority)
	c.apply(replica.JobRecord(accepted))
}

// Guards against refusals of jobs that a forecast doesn't concern, and against those without a fresh forecast.
func TestOnlyJobsThatAreCertainlyTooLateAreRefused(t *testing.T) {
	run(t, func(c *trial) {
		answer := c.submit(1, "full", 2, job(1))
		if answer.Result != gateway.TooBusy || answer.RetryAfter < time.Second {
			t.Errorf("%+v, want TooBusy with RetryAfter", answer)
		}
		if answer := c.submit(2, "idle", 2, job(1)); answer.Result != gateway.OK {
			t.Errorf("an account below its share is refused: %+v", answer)
		}
		if answer := c.submit(3, "idle", 2, job(9)); answer.Result != gateway.TooBusy || answer.RetryAfter != 0 {
			t.Errorf("%+v, want a refusal without a time to return, as no worker holds the job", answer)
		}
		time.Sleep(3 * time.Second)
		if answer := c.submit(1, "full", 2, job(1)); answer.Result != gateway.OK {
			t.Errorf("a job is refused by an expired forecast: %+v", answer)
		}
		c.apply(replica.ForecastRecord(forecast()))
		c.apply(replica.ForecastRecord(nil))
		if answer := c.submit(4, "full", 2, job(1)); answer.Result != gateway.OK {
			t.Errorf("a job is refused by a deleted forecast: %+v", answer)
		}
	})
}

// Guards against refusals of jobs that the account is guaranteed room for; what the account's other open jobs take counts.
func TestJobWithinGuaranteeIsNeverRefused(t *testing.T) {
	run(t, func(c *trial) {
		c.accept(1, "full", 0, job(5))
		if answer := c.submit(2, "full", 0, job(3)); answer.Result != gateway.OK {
			t.Errorf("a job within the guarantee is refused: %+v", answer)
		}
		if answer := c.submit(3, "full", 0, job(4)); answer.Result != gateway.TooBusy {
			t.Errorf("%+v for a job beyond the guarantee, want TooBusy", answer)
		}
		outcome, err := replica.OutcomeRecord(fmt.Sprintf("%016x", 1), &storev1.Outcome{State: storev1.JobState_JOB_STATE_COMPLETED})
		c.catchUp = func() error { c.apply(outcome, err); return nil }
		if answer := c.submit(3, "full", 0, job(8)); answer.Result != gateway.OK {
			t.Errorf("a job is refused because of one whose end was not read yet: %+v", answer)
		}
	})
}

// Guards against "not run" for a job that is stored, and against refusals while it isn't known whether it is.
func TestAcceptedJobIsNeverRefused(t *testing.T) {
	run(t, func(c *trial) {
		c.accept(1, "full", 2, job(1))
		if answer := c.submit(1, "full", 2, job(1)); answer.Result != gateway.OK {
			t.Errorf("the repeat of a stored job is refused: %+v", answer)
		}
		c.catchUp = func() error { c.accept(2, "full", 2, job(1)); return nil }
		if answer := c.submit(2, "full", 2, job(1)); answer.Result != gateway.OK {
			t.Errorf("a job is refused that another instance has just stored: %+v", answer)
		}
		c.catchUp = func() error { return errors.New("no answer") }
		if answer := c.submit(3, "full", 2, job(1)); answer.Result != gateway.OK {
			t.Errorf("a job is refused although it isn't known whether it is stored: %+v", answer)
		}
	})
}
