package ledger

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

const (
	// appendTimeout is how long an append may take before its answer counts as lost.
	appendTimeout = 10 * time.Second
	// firstBackoff and maxBackoff bound the pause after a failed call of the log.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
)

// runAppender is the only appender of the replica: one append is on its way at a time, and whatever
// waits meanwhile shares the next. The interval so follows the log's latency, and the budget bounds
// it from below. Nothing is sent before the state is complete.
func (r *Replica) runAppender(ctx context.Context) error {
	for {
		select {
		case <-r.proposals.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := r.appendWaiting(ctx); err != nil {
			return err
		}
	}
}

// appendWaiting sends batches, each of all that waits, until nothing is due.
func (r *Replica) appendWaiting(ctx context.Context) error {
	backoff := r.newBackoff()
	for r.proposals.due() {
		if !r.Ready() {
			if err := backoff.pause(ctx, nil); err != nil {
				return err
			}
			continue
		}
		if err := r.config.Budget.wait(ctx); err != nil {
			return err
		}
		batch := r.proposals.take()
		if len(batch) == 0 {
			continue
		}
		sent, err := r.sendBatch(ctx, batch)
		if err != nil {
			return err
		}
		if sent {
			backoff.reset()
			continue
		}
		if err := backoff.pause(ctx, nil); err != nil {
			return err
		}
	}
	return nil
}

// sendBatch appends the batch until it is certain to be in the log. It reports false when the batch
// certainly never got there and was given back. Once an answer was lost the batch stays as it is: the
// same records are sent again until an answer or the reader shows one of them, and the fold drops repeats.
func (r *Replica) sendBatch(ctx context.Context, batch []*proposal) (bool, error) {
	payload, err := r.encodeBatch(batch)
	if err != nil {
		return false, err
	}
	last := batch[len(batch)-1].record.Sequence
	backoff := r.newBackoff()
	for maybeThere := false; ; {
		err := r.appendOnce(ctx, payload)
		if err == nil {
			return true, nil
		}
		if !errors.Is(err, platform.ErrUnavailable) {
			maybeThere = true
		}
		if !maybeThere {
			r.proposals.giveBack(batch)
			return false, ctx.Err()
		}
		seen, progress := r.proposals.seen(last)
		if seen {
			return true, nil
		}
		if err := backoff.pause(ctx, progress); err != nil {
			return false, err
		}
		if seen, _ := r.proposals.seen(last); seen {
			return true, nil
		}
		if err := r.config.Budget.wait(ctx); err != nil {
			return false, err
		}
	}
}

func (r *Replica) encodeBatch(batch []*proposal) ([]byte, error) {
	records := make([]*apiv1.Record, 0, len(batch))
	for _, p := range batch {
		records = append(records, p.record)
	}
	return encodeEntry(r.config.Author, records)
}

func (r *Replica) appendOnce(ctx context.Context, payload []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := r.config.Log.Append(ctx, r.config.Stream, payload)
	return err
}

// backoff is a pause that doubles with each failure, with jitter so that replicas spread.
type backoff struct {
	next   time.Duration
	jitter func() float64
}

func (r *Replica) newBackoff() *backoff {
	return &backoff{next: firstBackoff, jitter: r.jitter}
}

func (b *backoff) reset() {
	b.next = firstBackoff
}

// pause waits; it ends early when early closes, and with ctx's error when ctx ends.
func (b *backoff) pause(ctx context.Context, early <-chan struct{}) error {
	timer := time.NewTimer(time.Duration(float64(b.next) * (0.5 + b.jitter()/2)))
	defer timer.Stop()
	b.next = min(2*b.next, maxBackoff)
	select {
	case <-timer.C:
		return nil
	case <-early:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
