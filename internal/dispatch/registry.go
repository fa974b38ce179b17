package dispatch

import (
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// registryReader passes the records of the worker registry to the loop. It is a storelog.KeyReader.
type registryReader struct{ s *session }

// Apply implements storelog.Reader.
func (r registryReader) Apply(records []storelog.Record) {
	r.s.post(func() {
		for _, record := range records {
			r.s.applyRegistryRecord(record)
		}
	})
}

// KeepOnly implements storelog.KeyReader.
func (r registryReader) KeepOnly(keys map[string]bool) {
	r.s.post(func() {
		for id, ws := range r.s.workers {
			if ws.listed && !keys[id] {
				ws.listed, ws.newAddress, ws.nextEntry, r.s.dirty = false, nil, nil, true
			}
		}
	})
}

// Ready implements storelog.Reader.
func (r registryReader) Ready() {
	r.s.post(func() { r.s.registryRead = true })
}

// applyRegistryRecord applies a worker's entry in the registry.
func (s *session) applyRegistryRecord(record storelog.Record) {
	if record.Key == "" {
		return
	}
	entry, ok := s.DecodeWorker(record)
	if !ok {
		if known, listed := s.workers[record.Key]; listed && len(record.Value) == 0 {
			known.listed, known.newAddress, known.nextEntry = false, nil, nil
			s.dirty = true
		}
		return
	}
	ws := s.worker(entry.ID)
	if ws.confirmed && ws.entry.Address != entry.Address {
		s.recordNewAddress(ws, entry)
		return
	}
	if ws.confirmed && areDifferent(entry.StartedAtMs, ws.startedAtMs) {
		s.expectIncarnation(ws, entry)
		return
	}
	if !s.mayServe(ws, entry.Service) {
		return
	}
	s.applyEntry(ws, entry)
}

// applyEntry makes an entry of the registry that of a worker.
func (s *session) applyEntry(ws *workerState, entry worker.RegistryEntry) {
	s.setEntry(ws, entry)
	s.checkWorker(ws)
}

// setEntry makes an entry that of a worker, without a check of what follows for the worker.
func (s *session) setEntry(ws *workerState, entry worker.RegistryEntry) {
	if !ws.listed || ws.entry.Draining != entry.Draining || !s.knowsCapacity(ws) || ws.staleEntry {
		s.dirty = true
	}
	if entry.Draining && (!ws.entry.Draining || !ws.listed || areDifferent(entry.StartedAtMs, ws.entry.StartedAtMs)) {
		ws.leavesAt = s.now.Add(entry.Remaining)
	}
	ws.entry, ws.heardAt, ws.newAddress, ws.listed, ws.replaced = entry, s.now, nil, true, false
	ws.staleEntry, ws.nextEntry = areDifferent(entry.StartedAtMs, ws.startedAtMs), nil
}
