package logservice

import "time"

// Faults are the failures that the service shows. The zero value is a sound service.
type Faults struct {
	// Outage makes every call fail without effect.
	Outage bool `json:"outage"`
	// AppendDelayMillis is how long an append takes, milliseconds.
	AppendDelayMillis int64 `json:"append_delay_ms"`
	// LostAfterPermille is the share of appends that take effect and whose answer is lost.
	LostAfterPermille int `json:"lost_after_permille"`
	// LostBeforePermille is the share of appends that are lost with their answer, without effect.
	LostBeforePermille int `json:"lost_before_permille"`
}

// fate is what the faults do to one append.
type fate int

const (
	fateAnswered fate = iota
	fateRefused
	fateLostBefore
	fateLostAfter
)

// SetFaults replaces the faults. Reads that wait notice an outage at once.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.wake()
}

// Faults returns the faults in force.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// drawFate decides what happens to an append that arrives now, and how long it takes.
func (s *Service) drawFate() (fate, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.AppendCalls++
	delay := time.Duration(s.faults.AppendDelayMillis) * time.Millisecond
	if s.faults.Outage {
		return fateRefused, 0
	}
	const whole = 1000
	draw := s.random.IntN(whole)
	switch {
	case draw < s.faults.LostBeforePermille:
		return fateLostBefore, delay
	case draw < s.faults.LostBeforePermille+s.faults.LostAfterPermille:
		return fateLostAfter, delay
	default:
		return fateAnswered, delay
	}
}
