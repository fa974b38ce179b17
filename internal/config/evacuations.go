package config

import (
	"maps"
	"slices"
	"sync"
)

// Evacuations holds the data centres whose workers get no tasks at the operator's request. It is safe for concurrent use.
type Evacuations struct {
	mu          sync.RWMutex
	dataCentres map[string]bool
}

// NewEvacuations returns an empty Evacuations.
func NewEvacuations() *Evacuations { return &Evacuations{dataCentres: map[string]bool{}} }

// Set records whether a data centre is to be evacuated, and reports whether that has changed.
func (e *Evacuations) Set(dataCentre string, requested bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dataCentres[dataCentre] == requested {
		return false
	}
	if requested {
		e.dataCentres[dataCentre] = true
	} else {
		delete(e.dataCentres, dataCentre)
	}
	return true
}

// Requested reports whether a data centre is to be evacuated.
func (e *Evacuations) Requested(dataCentre string) bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.dataCentres[dataCentre]
}

// All returns the data centres that are to be evacuated, sorted.
func (e *Evacuations) All() []string {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return slices.Sorted(maps.Keys(e.dataCentres))
}
