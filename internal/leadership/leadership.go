// Package leadership decides which instance owns the workers' orders.
//
// Ownership is a record of the jobs' partition. A claim names the next epoch and is appended on the condition that
// the partition ends where the claimant read it to, so of several claims one is stored, and the new owner has read
// all that earlier owners wrote. The epoch fences the earlier owner's appends at the store, and is the fencing token of
// every order. An owner that renews late loses nothing but its ownership.
package leadership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

const (
	// renewEvery is how often an owner shows that it lives.
	renewEvery = 700 * time.Millisecond
	// silence is how long an owner may be silent before another claims: two renewals may be lost or late.
	silence = 2200 * time.Millisecond
	// jitter spreads the claims of instances of like strength.
	jitter = 200 * time.Millisecond
	// weakDelay is how much longer an instance without any processor waits than one with a whole core: an owner's work
	// grows with the workers, so it goes to a strong instance. It is short beside the silence that it follows.
	weakDelay = 400 * time.Millisecond
	// firstDelay is the same when nobody has ever owned the orders: all instances start, and there is time.
	firstDelay = 2 * time.Second
	// releaseSpread and releaseHalf let the youngest instance claim what was released: ownership is released in rolling
	// restarts, and the instance that was restarted last stays longest. An instance of releaseHalf waits half the spread.
	// The spread is well above the pause between two readings, so that all have read the release.
	releaseSpread = 600 * time.Millisecond
	releaseHalf   = 20 * time.Second
	// checkEvery is how often an instance looks whether it should claim.
	checkEvery = 100 * time.Millisecond
	// checkReleased is the same while nobody owns the orders.
	checkReleased = 20 * time.Millisecond
	// callTimeout bounds the calls around a claim.
	callTimeout = 600 * time.Millisecond
	// showTimeout is how long a claim without an answer may take to show; one that is stored later is taken up then.
	showTimeout = 1200 * time.Millisecond
	// rest keeps an instance that lost its ownership from claiming again while another may still take over.
	rest = 3500 * time.Millisecond
	// producer is the store's name for whoever owns the partition.
	producer = "owner"
	// sequenceRange bounds the first sequence number of an epoch: a random one keeps two claims of one epoch apart.
	sequenceRange = 1 << 30
)

// Term is one ownership.
type Term struct {
	Epoch int64
	// Appender writes under the term's epoch.
	Appender *storelog.Appender
	// ClaimedAt is when the claim was stored.
	ClaimedAt time.Time
	// StepDown ends the term at once, for a reason seen elsewhere: a worker knows a higher fencing token.
	StepDown func(reason string)
}

// TermFunc is what an owner does until ctx ends.
type TermFunc func(ctx context.Context, term Term)

// Candidate claims the ownership when there is no live owner, and works while it holds it.
type Candidate struct {
	instance  string
	partition storelog.Partition
	follower  *storelog.Follower
	replica   *replica.Replica
	events    *events.Logger
	work      TermFunc
	started   time.Time
	// weakness is 0 for an instance with a whole core or more, up to 1.
	weakness float64

	mu      sync.Mutex
	resting time.Time
	epoch   int64
}

// Options say who the candidate is.
type Options struct {
	Instance string
	// Cores is the processor that the instance has; 0 if that is not known.
	Cores float64
}

// New returns a Candidate.
func New(options Options, partition storelog.Partition, follower *storelog.Follower, jobs *replica.Replica, work TermFunc, logger *events.Logger) *Candidate {
	return &Candidate{
		instance: options.Instance, weakness: 1 - min(1, options.Cores), partition: partition, follower: follower, replica: jobs,
		work: work, events: logger, started: time.Now(),
	}
}

// Epoch returns the epoch that this instance holds; 0 if it holds none.
func (c *Candidate) Epoch() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch
}

// Run claims and works until ctx ends; then it releases what it holds.
func (c *Candidate) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.wait(ctx) {
			return
		}
		claim, ok := c.claim(ctx)
		if !ok {
			continue
		}
		c.hold(ctx, claim)
	}
}

// wait returns true when a claim is due, false when ctx ends.
func (c *Candidate) wait(ctx context.Context) bool {
	delay := rand.N(jitter)
	for {
		changed := c.replica.Changed()
		if c.due(time.Now(), delay) {
			return true
		}
		pause := checkEvery
		if c.replica.Owner().Owner.GetReleased() {
			pause = checkReleased
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-changed:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// due tells whether the owner has been silent for too long although the store answered all the while.
func (c *Candidate) due(now time.Time, delay time.Duration) bool {
	if !c.replica.IsReady() || now.Before(c.resting) {
		return false
	}
	_, since := c.follower.AnswerTimes()
	if since.IsZero() {
		return false
	}
	owner := c.replica.Owner()
	if owner.Owner == nil {
		return now.Sub(since) > delay+c.longer(firstDelay)
	}
	if owner.Owner.GetReleased() {
		return now.Sub(owner.ReceivedAt) > releaseDelay(now.Sub(c.started))
	}
	if owner.Owner.GetInstance() == c.instance {
		return true
	}
	last := owner.ReceivedAt
	if since.After(last) {
		last = since
	}
	return now.Sub(last) > silence+delay+c.longer(weakDelay)
}

// longer is the part of a delay that a weak instance waits.
func (c *Candidate) longer(most time.Duration) time.Duration {
	return time.Duration(c.weakness * float64(most))
}

// releaseDelay is how long an instance of an age waits before it claims what was released.
func releaseDelay(age time.Duration) time.Duration {
	return time.Duration(float64(releaseSpread) * float64(age) / float64(age+releaseHalf))
}

// claimed is a stored claim.
type claimed struct {
	owner    *storev1.Owner
	sequence int64
	at       time.Time
}

// claim appends a claim and returns true once the replica shows it as the newest one.
func (c *Candidate) claim(ctx context.Context) (claimed, bool) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	before := c.replica.Owner().Owner
	c.follower.Refresh(call)
	seen := c.replica.Owner().Owner
	if seen != before {
		// What made the claim due is no longer the newest.
		return claimed{}, false
	}
	end := c.follower.End()
	page, err := c.partition.Read(call, end, 0)
	if err != nil || len(page.Records) > 0 {
		return claimed{}, false
	}
	owner := &storev1.Owner{Instance: c.instance, Epoch: seen.GetEpoch() + 1, Claim: uuid.NewString()}
	record, err := replica.OwnerRecord(owner)
	if err != nil {
		c.events.Log(events.TakeoverRefused, "error", err)
		return claimed{}, false
	}
	sequence := rand.Int64N(sequenceRange)
	_, err = c.partition.Append(call, storelog.Batch{
		Producer: producer, Epoch: int64(owner.GetEpoch()), Sequence: sequence, ExpectedEnd: &end, Records: []storelog.Record{record},
	})
	if err != nil && !errors.Is(err, storelog.ErrNoAnswer) {
		c.events.Log(events.TakeoverRefused, "epoch", owner.GetEpoch(), "error", err)
		return claimed{}, false
	}
	return claimed{owner: owner, sequence: sequence, at: time.Now()}, c.stored(ctx, owner)
}

// stored waits until the replica shows the claim, or another one, or a stored claim would have shown.
func (c *Candidate) stored(ctx context.Context, owner *storev1.Owner) bool {
	deadline := time.NewTimer(showTimeout)
	defer deadline.Stop()
	for {
		changed := c.replica.Changed()
		newest := c.replica.Owner().Owner
		if newest.GetEpoch() >= owner.GetEpoch() {
			return newest.GetClaim() == owner.GetClaim()
		}
		select {
		case <-ctx.Done():
			return false
		case <-deadline.C:
			return false
		case <-changed:
		}
	}
}

// hold works under a claim until the ownership is lost or ctx ends.
func (c *Candidate) hold(ctx context.Context, claim claimed) {
	epoch := int64(claim.owner.GetEpoch())
	c.events.Log(events.OwnershipAcquired, "epoch", epoch)
	c.setEpoch(epoch)
	work, cancel := context.WithCancelCause(ctx)
	// The appender outlives ctx, so that the release gets out.
	writing, stopWriting := context.WithCancel(context.WithoutCancel(ctx))
	appender := storelog.NewAppender(c.partition, producer, epoch, claim.sequence+1)
	var running sync.WaitGroup
	running.Go(func() {
		if err := appender.Run(writing); err != nil && writing.Err() == nil {
			cancel(err)
		}
	})
	running.Go(func() { c.renew(work, appender, claim.owner, cancel) })
	c.work(work, Term{Epoch: epoch, Appender: appender, ClaimedAt: claim.at, StepDown: func(reason string) { cancel(errors.New(reason)) }})
	<-work.Done()
	c.setEpoch(0)
	c.resting = time.Now().Add(rest)
	if ctx.Err() != nil {
		c.release(appender, claim.owner)
	} else {
		c.events.Log(events.OwnershipLost, "epoch", epoch, "reason", context.Cause(work))
	}
	stopWriting()
	running.Wait()
}

// renew appends the owner's record again and again, and watches for another owner.
func (c *Candidate) renew(ctx context.Context, appender *storelog.Appender, owner *storev1.Owner, lost context.CancelCauseFunc) {
	ticker := time.NewTicker(renewEvery)
	defer ticker.Stop()
	record, err := replica.OwnerRecord(owner)
	if err != nil {
		lost(err)
		return
	}
	var last *storelog.PendingAppend
	for {
		changed := c.replica.Changed()
		if newest := c.replica.Owner().Owner; newest.GetEpoch() > owner.GetEpoch() {
			lost(errors.Errorf("instance %s owns epoch %d", newest.GetInstance(), newest.GetEpoch()))
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
			if last == nil || closed(last.Done()) {
				last = appender.Submit(record)
			}
		}
	}
}

// release lets another instance claim at once.
func (c *Candidate) release(appender *storelog.Appender, owner *storev1.Owner) {
	record, err := replica.OwnerRecord(&storev1.Owner{Instance: owner.GetInstance(), Epoch: owner.GetEpoch(), Claim: owner.GetClaim(), Released: true})
	if err != nil {
		c.events.Log(events.OwnershipLost, "epoch", owner.GetEpoch(), "error", err)
		return
	}
	pending := appender.Submit(record)
	select {
	case <-pending.Done():
		c.events.Log(events.OwnershipReleased, "epoch", owner.GetEpoch())
	case <-time.After(callTimeout):
		c.events.Log(events.OwnershipLost, "epoch", owner.GetEpoch(), "reason", "the store did not take the release in time")
	}
}

func (c *Candidate) setEpoch(epoch int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch = epoch
}

func closed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
