// Package leadership elects the owner: the one instance that schedules jobs and sends orders to workers.
//
// Ownership is a record in the jobs' partition. An instance claims it by appending a record with the next epoch, on
// condition that the partition still ends at the offset up to which the instance has read. So only one of several
// concurrent claims is stored, and the new owner has read everything that earlier owners wrote. The store uses the epoch
// to reject appends of earlier owners, and workers get it as the fencing token of every order. An owner that renews too
// late loses the ownership, but the instance keeps running and may claim it again.
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
	// renewInterval is how often the owner renews its ownership.
	renewInterval = 500 * time.Millisecond
	// ownerTimeout is how long the owner may go without a renewal before another instance claims the ownership. Two
	// renewals may be lost or late.
	ownerTimeout = 1600 * time.Millisecond
	// maxClaimJitter is the maximum of the random delay that spreads the claims of instances with equally much CPU.
	maxClaimJitter = 200 * time.Millisecond
	// checkInterval is how often an instance checks whether it should claim the ownership.
	checkInterval = 100 * time.Millisecond
	// releasedCheckInterval replaces checkInterval while the ownership is released.
	releasedCheckInterval = 20 * time.Millisecond
	// storeTimeout limits all store calls of one claim, and the wait for the store to acknowledge a release.
	storeTimeout = 600 * time.Millisecond
	// claimReadTimeout is how long to wait for the replica to read a claim whose append may not have been answered. The
	// instance claims again at once if its claim is read after that.
	claimReadTimeout = 1200 * time.Millisecond
	// reclaimDelay is how long an instance that lost the ownership waits before it may claim again, so that another
	// instance can take over.
	reclaimDelay = 3500 * time.Millisecond
	// producer is the producer name of every owner's appends.
	producer = "owner"
	// firstSequenceLimit is the exclusive upper limit of an epoch's first sequence number. The number is random to tell
	// two claims of the same epoch apart.
	firstSequenceLimit = 1 << 30
)

// Term is one period of ownership by this instance.
type Term struct {
	Epoch int64
	// Appender appends records under the term's epoch.
	Appender *storelog.Appender
	// ClaimedAt is when the append of the claim returned.
	ClaimedAt time.Time
	// EarlierOwnersEnded is true if no earlier owner can act any more: the last one released the ownership, or was a former process of
	// this instance, and it had stored that those before it had ended.
	EarlierOwnersEnded bool
	// MarkSole makes renewals of the ownership say that no earlier owner can renew leases any more.
	MarkSole func()
	// StepDown ends the term at once, for a reason that the owner finds elsewhere, such as a worker that has seen a
	// higher fencing token.
	StepDown func(reason string)
	// Renew appends the owner's record once more. It succeeds only if no other instance has claimed the ownership.
	Renew func() *storelog.PendingAppend
	// Overloaded tells that this instance can't keep up with the owner's work. The term ends if a much stronger instance is known.
	Overloaded func()
}

// errYielded ends the term of an instance that is too weak.
var errYielded = errors.New("a stronger instance is known: nothing to do, it claims the ownership")

// TermFunc performs the owner's work until ctx ends.
type TermFunc func(ctx context.Context, term Term)

// Candidate claims the ownership when there is no live owner, and runs a TermFunc while it is the owner.
type Candidate struct {
	instance  string
	partition storelog.Partition
	follower  *storelog.Follower
	replica   *replica.Replica
	events    *events.Logger
	runTerm   TermFunc
	started   time.Time
	// cpu is the instance's processor in millicores; 0 if unknown.
	cpu uint32

	mu sync.Mutex
	// claimAfter is the earliest time of the next claim after a term has ended; only Run uses it.
	claimAfter time.Time
	// epoch is the epoch that this instance owns; 0 if it owns none.
	epoch int64
}

// Options describe the instance.
type Options struct {
	// Instance is the instance's name.
	Instance string
	// CPU is the processor that the instance may use, in millicores; 0 if unknown, which counts as none.
	CPU uint32
}

// New returns a Candidate for the ownership in the jobs' partition, which the follower reads into the replica jobs.
func New(
	options Options, partition storelog.Partition, follower *storelog.Follower, jobs *replica.Replica, runTerm TermFunc,
	logger *events.Logger,
) *Candidate {
	return &Candidate{
		instance: options.Instance, cpu: options.CPU, partition: partition, follower: follower, replica: jobs,
		runTerm: runTerm, events: logger, started: time.Now(),
	}
}

// Epoch returns the epoch that this instance owns; 0 if it isn't the owner.
func (c *Candidate) Epoch() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch
}

// Run claims the ownership and runs terms until ctx ends, and then releases an ownership that the instance has.
func (c *Candidate) Run(ctx context.Context) {
	for ctx.Err() == nil {
		replaced, due := c.waitUntilDue(ctx)
		if !due {
			return
		}
		claim, ok := c.claim(ctx, replaced)
		if !ok {
			continue
		}
		c.serveTerm(ctx, claim)
	}
}

// waitUntilDue returns the owner's record that this instance should replace by a claim, nil if there is none, once it
// should. It returns false when ctx ends.
func (c *Candidate) waitUntilDue(ctx context.Context) (*storev1.Owner, bool) {
	jitter := rand.N(maxClaimJitter)
	for {
		changed := c.replica.Changed()
		owner := c.replica.Owner()
		if c.claimDue(owner, time.Now(), jitter) {
			return owner.Owner, true
		}
		pause := checkInterval
		if owner.Owner.GetReleased() {
			pause = releasedCheckInterval
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, false
		case <-changed:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// claimDue reports whether this instance should replace the owner's record by a claim now. Time during which the store failed
// to answer doesn't count as the owner's silence.
func (c *Candidate) claimDue(owner replica.Ownership, now time.Time, jitter time.Duration) bool {
	if !c.replica.IsReady() || now.Before(c.claimAfter) {
		return false
	}
	_, since := c.follower.AnswerTimes()
	if since.IsZero() {
		return false
	}
	if owner.Owner == nil {
		return now.Sub(since) > jitter+shortfallDelay(c.cpu, initialCPUDelay)
	}
	weaker := weakerDelay(c.cpu, c.strongest(now))
	if owner.Owner.GetReleased() {
		return now.Sub(owner.ReceivedAt) > ageDelay(now.Sub(c.started))+weaker
	}
	if owner.Owner.GetInstance() == c.instance {
		return true
	}
	last := owner.ReceivedAt
	if since.After(last) {
		last = since
	}
	return now.Sub(last) > ownerTimeout+jitter+shortfallDelay(c.cpu, takeoverCPUDelay)+weaker
}

// appendedClaim is a claim as it was appended to the store.
type appendedClaim struct {
	owner    *storev1.Owner
	sequence int64
	at       time.Time
	// mayYield is true unless the claim replaces an ownership that another instance has just yielded.
	mayYield bool
}

// claim appends a claim and returns it with true once the replica has read it as the latest one. It returns false if the
// owner's record is no longer the one to replace, the partition has grown beyond what the instance has read, or the claim was
// not stored.
func (c *Candidate) claim(ctx context.Context, replaced *storev1.Owner) (appendedClaim, bool) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c.follower.Refresh(call)
	latest := c.replica.Owner().Owner
	if latest != replaced {
		return appendedClaim{}, false
	}
	end := c.follower.End()
	storedEnd, err := c.partition.ReadEnd(call, end)
	if err != nil || storedEnd > end {
		return appendedClaim{}, false
	}
	earlierEnded := latest.GetSole() && (latest.GetReleased() || latest.GetInstance() == c.instance)
	owner := &storev1.Owner{
		Instance: c.instance, Epoch: latest.GetEpoch() + 1, Claim: uuid.NewString(), CpuMillicores: c.cpu, Sole: earlierEnded,
	}
	record, err := replica.OwnerRecord(owner)
	if err != nil {
		c.events.Log(events.TakeoverRefused, "error", err)
		return appendedClaim{}, false
	}
	sequence := rand.Int64N(firstSequenceLimit)
	_, err = c.partition.Append(call, storelog.Batch{
		Producer: producer, Epoch: int64(owner.GetEpoch()), Sequence: sequence, ExpectedEnd: &end, Records: []storelog.Record{record},
	})
	if err != nil && !errors.Is(err, storelog.ErrNoAnswer) {
		c.events.Log(events.TakeoverRefused, "epoch", owner.GetEpoch(), "error", err)
		return appendedClaim{}, false
	}
	claim := appendedClaim{owner: owner, sequence: sequence, at: time.Now(), mayYield: !latest.GetYielded()}
	return claim, c.awaitStored(ctx, owner)
}

// awaitStored waits until the replica has read a claim with the owner's epoch or a higher one, and reports whether it is
// the owner's. It returns false after claimReadTimeout or when ctx ends.
func (c *Candidate) awaitStored(ctx context.Context, owner *storev1.Owner) bool {
	deadline := time.NewTimer(claimReadTimeout)
	defer deadline.Stop()
	for {
		changed := c.replica.Changed()
		latest := c.replica.Owner().Owner
		if latest.GetEpoch() >= owner.GetEpoch() {
			return latest.GetClaim() == owner.GetClaim()
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

// serveTerm runs one term under a stored claim until the ownership is lost or yielded, or ctx ends. An instance that is too weak
// yields the ownership at once.
func (c *Candidate) serveTerm(ctx context.Context, claim appendedClaim) {
	epoch := int64(claim.owner.GetEpoch())
	c.events.Log(events.OwnershipAcquired, "epoch", epoch, "cpu_millicores", c.cpu, "strongest_millicores", c.strongest(time.Now()))
	term, endTerm := context.WithCancelCause(ctx)
	// The appender must outlive ctx, so that it can append the release.
	appending, stopAppending := context.WithCancel(context.WithoutCancel(ctx))
	appender := storelog.NewAppender(c.partition, producer, epoch, claim.sequence+1)
	var running sync.WaitGroup
	running.Go(func() {
		if err := appender.Run(appending); err != nil && appending.Err() == nil {
			endTerm(err)
		}
	})
	renewal, err := newRenewal(claim.owner)
	switch {
	case err != nil:
		endTerm(err)
	case claim.mayYield && c.isWeak(time.Now()):
		endTerm(errYielded)
	default:
		c.setEpoch(epoch)
		running.Go(func() { c.renew(term, appender, claim.owner, renewal, endTerm) })
		c.runTerm(term, Term{
			Epoch: epoch, Appender: appender, ClaimedAt: claim.at, EarlierOwnersEnded: claim.owner.GetSole(), MarkSole: renewal.markSole,
			StepDown: func(reason string) { endTerm(errors.New(reason)) },
			Renew:    func() *storelog.PendingAppend { return appender.Submit(renewal.record()) },
			Overloaded: func() {
				if claim.mayYield && c.isWeak(time.Now()) {
					endTerm(errYielded)
				}
			},
		})
		<-term.Done()
		c.setEpoch(0)
	}
	yielded := errors.Is(context.Cause(term), errYielded)
	c.claimAfter = time.Now().Add(reclaimDelay)
	if yielded {
		c.claimAfter = time.Now().Add(maxWeakerDelay + maxAgeDelay)
	}
	if ctx.Err() != nil || yielded {
		c.release(appender, claim.owner, yielded, claim.owner.GetSole() || (renewal != nil && renewal.sole.Load()))
	} else {
		c.events.Log(events.OwnershipLost, "epoch", epoch, "reason", context.Cause(term))
	}
	stopAppending()
	running.Wait()
}

// renew appends the owner's record at every renewInterval until ctx ends, and ends the term when the replica has read a
// claim with a higher epoch.
func (c *Candidate) renew(
	ctx context.Context, appender *storelog.Appender, owner *storev1.Owner, renewal *renewal,
	endTerm context.CancelCauseFunc,
) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	var last *storelog.PendingAppend
	for {
		changed := c.replica.Changed()
		if latest := c.replica.Owner().Owner; latest.GetEpoch() > owner.GetEpoch() {
			endTerm(errors.Errorf("instance %s owns epoch %d", latest.GetInstance(), latest.GetEpoch()))
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
			if last == nil || isClosed(last.Done()) {
				last = appender.Submit(renewal.record())
			}
		}
	}
}

// release appends the release of the ownership, so that another instance needn't wait for ownerTimeout.
func (c *Candidate) release(appender *storelog.Appender, owner *storev1.Owner, yielded, sole bool) {
	record, err := replica.OwnerRecord(&storev1.Owner{
		Instance: owner.GetInstance(), Epoch: owner.GetEpoch(), Claim: owner.GetClaim(), CpuMillicores: owner.GetCpuMillicores(),
		Released: true, Yielded: yielded, Sole: sole,
	})
	if err != nil {
		c.events.Log(events.OwnershipLost, "epoch", owner.GetEpoch(), "error", err)
		return
	}
	pending := appender.Submit(record)
	select {
	case <-pending.Done():
		c.events.Log(events.OwnershipReleased, "epoch", owner.GetEpoch(), "yielded", yielded)
	case <-time.After(storeTimeout):
		c.events.Log(events.OwnershipLost, "epoch", owner.GetEpoch(), "reason", "the store did not acknowledge the release in time")
	}
}

func (c *Candidate) setEpoch(epoch int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch = epoch
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
