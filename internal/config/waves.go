package config

import (
	"sort"
	"sync"
	"time"
)

// Wave is the operator's request for the upkeep of machines.
type Wave struct {
	Number   int64
	Machines []string
	// Duration is the time in which the whole wave is to be completed, from when the operator wrote it.
	Duration time.Duration
	// MaxDown is the maximum number of machines that may be down for the wave at once.
	MaxDown int
	// FirstSeen is when this instance first read the wave.
	FirstSeen time.Time
}

// Waves holds the operator's waves of upkeep by number. It is safe for concurrent use.
type Waves struct {
	mu    sync.Mutex
	waves map[int64]Wave
}

// NewWaves returns an empty Waves.
func NewWaves() *Waves { return &Waves{waves: map[int64]Wave{}} }

// Set adds a wave, or replaces the one with the same number but keeps its FirstSeen.
func (w *Waves) Set(wave Wave) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if known, ok := w.waves[wave.Number]; ok {
		wave.FirstSeen = known.FirstSeen
	}
	w.waves[wave.Number] = wave
}

// All returns the waves in the order of their numbers.
func (w *Waves) All() []Wave {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make([]Wave, 0, len(w.waves))
	for _, wave := range w.waves {
		all = append(all, wave)
	}
	sort.Slice(all, func(a, b int) bool { return all[a].Number < all[b].Number })
	return all
}
