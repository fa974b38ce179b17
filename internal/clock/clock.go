// Package clock measures time that passes also while the machine is suspended.
package clock

import "time"

// Between returns the time from one reading of the clock to a later one, by the steady clock or by the time of day, whichever is
// longer. The steady clock stands still while a machine is suspended, and the time of day may be set back.
func Between(earlier, later time.Time) time.Duration {
	return max(later.Sub(earlier), later.Round(0).Sub(earlier.Round(0)))
}

// Since returns the time from an earlier reading of the clock to now; see Between.
func Since(earlier time.Time) time.Duration { return Between(earlier, time.Now()) }
