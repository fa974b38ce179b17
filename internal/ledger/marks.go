package ledger

import (
	"cmp"
	"slices"
	"strings"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

const (
	// maxMarks bounds the authors whose sequences are remembered.
	maxMarks = 1024
	// markKeepMillis is how long a mark outlives the author's last record, milliseconds of the fold's time.
	// An append that is delivered later than this is no longer known as a repeat.
	markKeepMillis = 60 * 60 * 1000
	// pruneEvery is how many new authors come between two prunings.
	pruneEvery = 16
)

// authorKey is an author as a map key.
type authorKey struct {
	instance    string
	incarnation uint64
}

func keyOf(author *apiv1.Author) authorKey {
	return authorKey{instance: author.GetInstance(), incarnation: author.GetIncarnation()}
}

func (a authorKey) compare(b authorKey) int {
	return cmp.Or(strings.Compare(a.instance, b.instance), cmp.Compare(a.incarnation, b.incarnation))
}

type mark struct {
	sequence uint64
	millis   int64
}

// marks remember the highest sequence of each author, so that repeats are dropped.
type marks struct {
	byAuthor map[authorKey]mark
}

func newMarks() *marks {
	return &marks{byAuthor: make(map[authorKey]mark)}
}

// sequence returns the highest sequence seen of the author, 0 for none.
func (m *marks) sequence(author authorKey) uint64 {
	return m.byAuthor[author].sequence
}

// note sets the author's mark and reports false for a repeat.
func (m *marks) note(author authorKey, sequence uint64, nowMillis int64) bool {
	known, found := m.byAuthor[author]
	if sequence <= known.sequence {
		return false
	}
	m.byAuthor[author] = mark{sequence: sequence, millis: nowMillis}
	if !found && len(m.byAuthor)%pruneEvery == 0 {
		m.prune(nowMillis)
	}
	return true
}

// prune drops marks that are too old, and the oldest beyond maxMarks.
func (m *marks) prune(nowMillis int64) {
	for author, known := range m.byAuthor {
		if known.millis < nowMillis-markKeepMillis {
			delete(m.byAuthor, author)
		}
	}
	excess := len(m.byAuthor) - maxMarks
	if excess <= 0 {
		return
	}
	authors := m.authors()
	slices.SortStableFunc(authors, func(a, b authorKey) int {
		return cmp.Compare(m.byAuthor[a].millis, m.byAuthor[b].millis)
	})
	for _, author := range authors[:excess] {
		delete(m.byAuthor, author)
	}
}

// authors returns the authors in order.
func (m *marks) authors() []authorKey {
	authors := make([]authorKey, 0, len(m.byAuthor))
	for author := range m.byAuthor {
		authors = append(authors, author)
	}
	slices.SortFunc(authors, authorKey.compare)
	return authors
}

// export returns the marks in the order of the authors.
func (m *marks) export() []*apiv1.AuthorMark {
	list := make([]*apiv1.AuthorMark, 0, len(m.byAuthor))
	for _, author := range m.authors() {
		known := m.byAuthor[author]
		list = append(list, &apiv1.AuthorMark{
			Author:     &apiv1.Author{Instance: author.instance, Incarnation: author.incarnation},
			Sequence:   known.sequence,
			TimeUnixMs: known.millis,
		})
	}
	return list
}

func importMarks(list []*apiv1.AuthorMark) *marks {
	m := newMarks()
	for _, known := range list {
		m.byAuthor[keyOf(known.Author)] = mark{sequence: known.Sequence, millis: known.TimeUnixMs}
	}
	return m
}
