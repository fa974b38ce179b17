package ledger

// maxClockStepMillis is how far one instance alone can move the fold's time, milliseconds.
const maxClockStepMillis = 60_000

// clock is the fold's time: the highest record time seen, except that a step of more than
// maxClockStepMillis needs a second instance that is as far ahead. One bad clock can so neither expire
// everything that the fold keeps by time nor stop time. At the start and after a quiet spell the time
// stays behind until two instances have written, so in a fleet of one it may stay behind for good;
// whatever the fold keeps by time is bounded by number, too. Two bad clocks, or one that runs fast in
// steps below maxClockStepMillis, do move the time.
type clock struct {
	millis int64
	// pendingInstance wrote pendingMillis, which no other instance has confirmed.
	pendingInstance string
	pendingMillis   int64
}

// advance notes the time of one record.
func (c *clock) advance(instance string, millis int64) {
	if millis <= c.millis {
		return
	}
	if millis <= c.millis+maxClockStepMillis {
		c.millis = millis
		return
	}
	if c.pendingMillis <= c.millis || c.pendingInstance == instance {
		c.pendingInstance, c.pendingMillis = instance, millis
		return
	}
	c.millis = min(millis, c.pendingMillis)
	if millis > c.pendingMillis {
		c.pendingInstance, c.pendingMillis = instance, millis
	}
}
