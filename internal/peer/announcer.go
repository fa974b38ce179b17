package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

const (
	// rotateInterval is how often an instance replaces its key and writes its record again. rotateJitter spreads the rotations of
	// instances that were started together.
	rotateInterval = 12 * time.Hour
	rotateJitter   = time.Hour
	// checkInterval is how often an instance checks that its record is as it should be: the deletion by a former process of the same
	// instance may be stored late.
	checkInterval = time.Minute
	// maxDeletions limits the records of others that one rotation deletes.
	maxDeletions = 16
	// readTime is how long after this instance has read its record the others may take to read it: they read at least once a
	// second while the store answers them. One that is cut off for longer can't use this instance until its next rotation ends.
	readTime = 5 * time.Second
)

// announcer keeps the instance's record in the store and replaces its key.
type announcer struct {
	options   Options
	directory Directory
	appender  *storelog.Appender
	identity  *Identity
	events    *events.Logger
	readTime  time.Duration
}

// run writes the instance's record once the replica is complete, rotates the key at intervals, and deletes the record when ctx ends.
func (a *announcer) run(ctx context.Context) {
	for !a.directory.IsReady() {
		changed := a.directory.Changed()
		if a.directory.IsReady() {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(time.Second): // the replica may become ready without a change
		}
	}
	pending := a.write()
	check, rotation := time.NewTicker(checkInterval), time.NewTimer(rotateInterval+rand.N(rotateJitter))
	defer check.Stop()
	defer rotation.Stop()
	for {
		select {
		case <-ctx.Done():
			a.appender.Submit(replica.PeerTombstone(a.options.Name))
			return
		case <-check.C:
			// A record that waits for the store needn't be written twice.
			if isClosed(pending.Done()) && !a.isWritten() {
				pending = a.write()
			}
		case <-rotation.C:
			a.deleteOld()
			if err := a.rotate(ctx); err != nil && ctx.Err() == nil {
				a.events.Log(events.PeerKeyReplaced, "error", err)
			}
			rotation.Reset(rotateInterval + rand.N(rotateJitter))
		}
	}
}

// rotate replaces the instance's key without a gap: the record names both keys, and the new one is used only after the others have
// had the time to read that.
func (a *announcer) rotate(ctx context.Context) error {
	if err := a.identity.prepareNext(); err != nil {
		return err
	}
	pending := a.write()
	for !a.isWritten() {
		changed := a.directory.Changed()
		if a.isWritten() {
			break
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-pending.Done():
			if err := pending.Err(); err != nil {
				return err
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-changed:
			}
		}
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(a.readTime):
	}
	a.identity.useNext()
	a.events.Log(events.PeerKeyReplaced)
	return nil
}

// write appends the instance's record.
func (a *announcer) write() *storelog.PendingAppend {
	record, err := replica.PeerRecord(a.record())
	if err != nil {
		// A message of bytes and valid strings can't fail to encode; without a record the others just don't use this instance.
		a.events.Log(events.PeersNotServed, "error", err)
	}
	return a.appender.Submit(record)
}

func (a *announcer) record() replica.Peer {
	return replica.Peer{
		Name: a.options.Name, Address: a.options.Address, DataCentre: a.options.DataCentre, Certificates: a.identity.Hashes(),
	}
}

// isWritten reports whether the replica holds the instance's record as it should be. The order of the certificates doesn't matter.
func (a *announcer) isWritten() bool {
	stored, known := a.directory.Peer(a.options.Name)
	wanted := a.record()
	return known && stored.Address == wanted.Address && stored.DataCentre == wanted.DataCentre &&
		len(stored.Certificates) == len(wanted.Certificates) &&
		!slices.ContainsFunc(wanted.Certificates, func(hash replica.CertificateHash) bool {
			return !slices.Contains(stored.Certificates, hash)
		})
}

// deleteOld deletes records of instances that have not written theirs for a long time.
func (a *announcer) deleteOld() {
	deleted := 0
	for _, peer := range a.directory.Peers() {
		if peer.Name != a.options.Name && time.Since(peer.ReceivedAt) > maxRecordAge && deleted < maxDeletions {
			a.appender.Submit(replica.PeerTombstone(peer.Name))
			deleted++
		}
	}
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
