package dispatch

// storing is a record on its way to the store. A worker may discard its report of a finished task only once everything that
// follows from it is stored, so each report that a pending record covers waits for it.
type storing struct {
	stored  bool
	waiting []func()
}

// then calls action once the record is stored. A nil record is one that an earlier owner stored; a nil action does nothing.
func (r *storing) then(action func()) {
	switch {
	case action == nil:
	case r == nil || r.stored:
		action()
	default:
		r.waiting = append(r.waiting, action)
	}
}

// complete calls the actions that wait for the record, which is stored now.
func (r *storing) complete() {
	r.stored = true
	for _, action := range r.waiting {
		action()
	}
	r.waiting = nil
}
