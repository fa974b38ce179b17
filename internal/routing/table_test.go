package routing

import "testing"

// TestEndedEntriesAreBounded although one of them waits for the log, as in an outage.
func TestEndedEntriesAreBounded(t *testing.T) {
	table := newKeyTable()
	end := func() *entry {
		request := keyed("settle")
		id := keyID{account: request.Account, key: request.Key}
		e, _ := table.join(id, func() *entry { return newEntry(t.Context(), id, 1, request.Deadline) })
		return e
	}
	waiting := end()
	table.record(waiting, true)
	table.end(waiting, Answer{Outcome: NotRun})
	for range 2 * maxEndedEntries {
		table.end(end(), Answer{Outcome: Done, Payload: make([]byte, 100)})
	}
	if held := len(table.entries); held > maxEndedEntries+1 {
		t.Errorf("%d entries held, want at most %d", held, maxEndedEntries+1)
	}
	if table.get(waiting.id) != waiting {
		t.Error("the entry whose record waits for the log is forgotten")
	}
	table.record(waiting, false)
	table.end(end(), Answer{Outcome: Done, Payload: make([]byte, maxEndedBytes)})
	if table.bytes > maxEndedBytes || len(table.entries) > maxEndedEntries {
		t.Errorf("%d bytes of %d entries held", table.bytes, len(table.entries))
	}
}

// TestLeavingRacesTheDispatch: what a leaving caller is told holds, whichever comes first.
func TestLeavingRacesTheDispatch(t *testing.T) {
	for _, dispatchedFirst := range []bool{true, false} {
		table := newKeyTable()
		request := keyed("settle")
		id := keyID{account: request.Account, key: request.Key}
		e, _ := table.join(id, func() *entry { return newEntry(t.Context(), id, 1, request.Deadline) })
		table.advance(e, phaseClaimed)
		if dispatchedFirst && !table.advance(e, phaseDispatched) {
			t.Error("an entry with a caller was not dispatched")
		}
		left := table.leave(e)
		if dispatchedFirst != (left == phaseDispatched) {
			t.Errorf("dispatched first %v, the caller left in phase %d", dispatchedFirst, left)
		}
		if table.advance(e, phaseDispatched) {
			t.Error("an entry without callers was dispatched")
		}
	}
}
