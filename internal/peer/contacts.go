package peer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

const (
	// A peer is left out for firstPause after it was of no use, and each further time in a row twice as long, up to maxPause: it may
	// reach the store again at any time, and a question costs a handshake.
	firstPause = 300 * time.Millisecond
	maxPause   = 4 * time.Second
	// busyPause is the pause of a peer that is busy.
	busyPause = 100 * time.Millisecond
	// goodFor is how long a peer is preferred after an offer. It is below the idle timeout of a connection.
	goodFor = 3 * time.Second
	// maxRecordAge is the age at which a record that has not been written again is ignored and deleted. It is three times the
	// interval at which instances write theirs.
	maxRecordAge = 3 * rotateInterval
)

// finding is what the last contact with a peer showed.
type finding int

const (
	ready finding = iota
	// busy: the peer answered, but takes no calls now.
	busy
	// cutOff: the peer said that it doesn't reach the store.
	cutOff
	// silent: the peer didn't answer.
	silent
)

// contact is what is known of a peer from direct contact.
type contact struct {
	last finding
	at   time.Time
	// pause is how long the peer is left out; 0 if it is not.
	pause time.Duration
}

func (c contact) leftOut(now time.Time) bool { return now.Sub(c.at) < c.pause }

func (c contact) good(now time.Time) bool {
	return !c.at.IsZero() && c.last == ready && now.Sub(c.at) < goodFor
}

// contacts holds what is known of the peers. It is safe for concurrent use.
type contacts struct {
	mu     sync.Mutex
	byName map[string]contact
}

// record records what a contact with a peer showed. It returns the time for which the peer is left out, and whether that is new.
func (c *contacts) record(name string, found finding) (pause time.Duration, changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.byName[name]
	switch {
	case found == busy:
		pause = busyPause
	case found != ready:
		pause = min(max(firstPause, 2*last.pause), maxPause)
	}
	c.byName[name] = contact{last: found, at: time.Now(), pause: pause}
	return pause, found != last.last || last.at.IsZero()
}

// candidate is a peer that may be asked.
type candidate struct {
	replica.Peer
	good bool
}

// order returns the peers that may be asked, the best first: those in the data centre before the others, then those that took a
// call lately, then in random order. Those that are left out aren't among them. The second result is true if all peers were left out
// or asked in vain, and all that answered don't reach the store.
func (c *contacts) order(peers []replica.Peer, dataCentre string, skipped map[string]finding) ([]candidate, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var candidates []candidate
	cutOffs, others := 0, 0
	known := map[string]contact{}
	for _, peer := range peers {
		if now.Sub(peer.ReceivedAt) > maxRecordAge {
			continue
		}
		last := c.byName[peer.Name]
		known[peer.Name] = last
		_, skip := skipped[peer.Name]
		switch {
		case !skip && !last.leftOut(now):
			candidates = append(candidates, candidate{peer, last.good(now)})
		case last.last == cutOff:
			cutOffs++
		case last.last != silent:
			others++
		}
	}
	// Peers whose records are gone are forgotten.
	c.byName = known
	rand.Shuffle(len(candidates), func(a, b int) { candidates[a], candidates[b] = candidates[b], candidates[a] })
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			compareTrueFirst(a.DataCentre == dataCentre, b.DataCentre == dataCentre), compareTrueFirst(a.good, b.good),
		)
	})
	return candidates, len(candidates) == 0 && cutOffs > 0 && others == 0
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
