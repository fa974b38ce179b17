package config

import (
	"sort"
	"sync"
	"time"
)

// Wave asks for the upkeep of machines.
type Wave struct {
	Number   int64
	Machines []string
	// Duration is the time for the whole wave, from when it was written.
	Duration time.Duration
	// MaxDown is how many machines may be down for it at once.
	MaxDown int
	// FirstSeen is when this instance read it.
	FirstSeen time.Time
}

// Waves holds the operator's waves of upkeep.
type Waves struct {
	mu    sync.Mutex
	waves map[int64]Wave
}

// NewWaves returns an empty Waves.
func NewWaves() *Waves { return &Waves{waves: map[int64]Wave{}} }

// Set takes a wave in; a number that is known keeps the time when it was first seen.
func (w *Waves) Set(wave Wave) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if known, ok := w.waves[wave.Number]; ok {
		wave.FirstSeen = known.FirstSeen
	}
	w.waves[wave.Number] = wave
}

// All returns the waves by their number.
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
