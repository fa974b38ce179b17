package claims_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"flag"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/claims"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
)

// noon is when the tests take place, Unix milliseconds.
const noon = int64(1_790_000_000_000)

func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// keyAt returns the n-th key of a time.
func keyAt(millis int64, n uint32) []byte {
	key := make([]byte, 16)
	binary.BigEndian.PutUint64(key, uint64(millis)<<16)
	key[6] = 7 << 4
	key[8] = 0x80
	binary.BigEndian.PutUint32(key[12:], n)
	return key
}

func claimed(key []byte, account string, checksum uint64) *apiv1.Record {
	return &apiv1.Record{Body: &apiv1.Record_KeyClaimed{KeyClaimed: &apiv1.KeyClaimed{Key: key, Account: account, RequestChecksum: checksum}}}
}

func released(key []byte) *apiv1.Record {
	return &apiv1.Record{Body: &apiv1.Record_KeyReleased{KeyReleased: &apiv1.KeyReleased{Key: key, Account: "lounge"}}}
}

func done(key, answer []byte) *apiv1.Record {
	return &apiv1.Record{Body: &apiv1.Record_KeyDone{KeyDone: &apiv1.KeyDone{Key: key, Account: "lounge", Answer: answer, AnswerKept: true}}}
}

// apply applies a record at a time by the fold and its author.
func apply(t testing.TB, table *claims.Table, author string, millis int64, record *apiv1.Record) ledger.Kind {
	t.Helper()
	record.TimeUnixMs = millis
	// A prime marks the second life of an instance.
	instance, again := strings.CutSuffix(author, "'")
	by := &apiv1.Author{Instance: instance, Incarnation: 1}
	if again {
		by.Incarnation = 2
	}
	err := table.Apply(ledger.Step{Author: by, TimeMillis: millis}, record)
	var rejection *ledger.Rejection
	if err != nil && !errors.As(err, &rejection) {
		t.Fatalf("Apply: %v, want nil or a rejection", err)
	}
	if rejection == nil {
		return 0
	}
	return rejection.Kind
}

func TestClaims(t *testing.T) {
	key := keyAt(noon, 1)
	type act struct {
		author string
		record *apiv1.Record
		want   ledger.Kind
	}
	for name, acts := range map[string][]act{
		"first claim wins":                {{"a", claimed(key, "lounge", 1), 0}, {"b", claimed(key, "lounge", 1), ledger.KeyTaken}},
		"another request of the key":      {{"a", claimed(key, "lounge", 1), 0}, {"a", claimed(key, "lounge", 2), ledger.KeyMismatch}},
		"keys are apart for each account": {{"a", claimed(key, "lounge", 1), 0}, {"b", claimed(key, "gallery", 2), 0}},
		"released key is free":            {{"a", claimed(key, "lounge", 1), 0}, {"a", released(key), 0}, {"b", claimed(key, "lounge", 2), 0}},
		"only the holder releases":        {{"a", claimed(key, "lounge", 1), 0}, {"b", released(key), ledger.NotHolder}},
		"not even the holder's next life": {{"a", claimed(key, "lounge", 1), 0}, {"a'", released(key), ledger.NotHolder}},
		"only the holder ends":            {{"a", claimed(key, "lounge", 1), 0}, {"b", done(key, nil), ledger.NotHolder}},
		"done stays done":                 {{"a", claimed(key, "lounge", 1), 0}, {"a", done(key, nil), 0}, {"a", released(key), ledger.WrongState}, {"a", done(key, nil), ledger.WrongState}},
		"done key is taken":               {{"a", claimed(key, "lounge", 1), 0}, {"a", done(key, nil), 0}, {"b", claimed(key, "lounge", 1), ledger.KeyTaken}},
		"end of no key":                   {{"a", done(key, nil), ledger.Unknown}},
		"not a UUIDv7":                    {{"a", claimed(make([]byte, 16), "lounge", 1), ledger.Malformed}, {"a", claimed(key[:15], "lounge", 1), ledger.Malformed}},
		"no account":                      {{"a", claimed(key, "", 1), ledger.Malformed}},
		"key from the future":             {{"a", claimed(keyAt(noon+claims.MaxAheadMillis+1, 1), "lounge", 1), ledger.KeyExpired}},
		"key older than the window":       {{"a", claimed(keyAt(noon-claims.WindowMillis-1, 1), "lounge", 1), ledger.KeyExpired}},
		"record of another stream":        {{"a", &apiv1.Record{Body: &apiv1.Record_JobCancelled{}}, ledger.Malformed}},
	} {
		t.Run(name, func(t *testing.T) {
			table := claims.New()
			for i, act := range acts {
				if got := apply(t, table, act.author, noon, act.record); got != act.want {
					t.Errorf("record %d: kind %d, want %d", i, got, act.want)
				}
			}
		})
	}
}

func TestForgottenKeyNeverRunsAgain(t *testing.T) {
	table := claims.New()
	key := keyAt(noon, 1)
	apply(t, table, "a", noon, claimed(key, "lounge", 1))
	if got := apply(t, table, "a", noon+claims.WindowMillis+1, claimed(keyAt(noon+1, 2), "lounge", 1)); got != 0 {
		t.Fatalf("key within the window: kind %d", got)
	}
	parsed, _ := claims.ParseKey(key)
	if _, found := table.Lookup("lounge", parsed); found {
		t.Error("the key is kept beyond the window")
	}
	// The retry comes late through an instance whose clock is behind.
	if got := apply(t, table, "b", noon, claimed(key, "lounge", 1)); got != ledger.KeyExpired {
		t.Errorf("claim of a forgotten key: kind %d, want KeyExpired", got)
	}
}

func TestTableIsBounded(t *testing.T) {
	table := claims.New()
	answer := make([]byte, claims.MaxAnswerBytes)
	for i := range uint32(claims.MaxKeys + 100) {
		key := keyAt(noon+int64(i/100), i)
		if kind := apply(t, table, "a", noon, claimed(key, "lounge", 1)); kind != 0 {
			t.Fatalf("claim %d: kind %d", i, kind)
		}
		apply(t, table, "a", noon, done(key, answer))
	}
	if table.Len() > claims.MaxKeys {
		t.Errorf("%d keys, want at most %d", table.Len(), claims.MaxKeys)
	}
	if kind := apply(t, table, "a", noon, claimed(keyAt(noon, 1), "lounge", 1)); kind != ledger.KeyExpired {
		t.Errorf("claim of a key that made room: kind %d, want KeyExpired", kind)
	}
	kept := 0
	for i := range uint32(claims.MaxKeys + 100) {
		key, _ := claims.ParseKey(keyAt(noon+int64(i/100), i))
		if claim, found := table.Lookup("lounge", key); found && claim.AnswerKept {
			kept += len(claim.Answer)
		}
	}
	if kept > claims.MaxAnswersBytes || kept == 0 {
		t.Errorf("%d bytes of answers, want at most %d", kept, claims.MaxAnswersBytes)
	}
	large := keyAt(noon+60_000, 1)
	apply(t, table, "a", noon, claimed(large, "lounge", 1))
	apply(t, table, "a", noon, done(large, append(answer, 0)))
	key, _ := claims.ParseKey(large)
	if claim, _ := table.Lookup("lounge", key); !claim.Done || claim.AnswerKept {
		t.Errorf("claim %+v with a large answer, want done without the answer", claim)
	}
}

func TestSnapshotAllocations(t *testing.T) {
	const keys, most = 1000, 100
	table := claims.New()
	for i := range uint32(keys) {
		apply(t, table, "a", noon, claimed(keyAt(noon, i), "lounge", 1))
	}
	if got := testing.AllocsPerRun(10, func() { _, _ = table.Snapshot() }); got > most {
		t.Errorf("%.0f allocations for a snapshot of %d keys, want at most %d", got, keys, most)
	}
}

// TestOneHolder checks the table against a model that forgets nothing: a key has one holder until its
// release, and no holder after that unless it is claimed again.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := claims.New()
		model := map[uint32]string{}
		ended := map[uint32]bool{}
		now := noon
		for range rapid.IntRange(1, 100).Draw(rt, "records") {
			now += rapid.Int64Range(0, claims.WindowMillis/20).Draw(rt, "passed")
			n := rapid.Uint32Range(0, 5).Draw(rt, "key")
			key := keyAt(noon+int64(n)*claims.WindowMillis/5, n)
			author := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "author")
			switch rapid.IntRange(0, 3).Draw(rt, "kind") {
			case 0, 1:
				if apply(t, table, author, now, claimed(key, "lounge", 1)) != 0 {
					continue
				}
				if holder := model[n]; holder != "" {
					rt.Fatalf("key %d claimed by %s while %s holds it", n, author, holder)
				}
				model[n] = author
			case 2:
				if apply(t, table, author, now, released(key)) != 0 {
					continue
				}
				if model[n] != author || ended[n] {
					rt.Fatalf("key %d of %s released by %s", n, model[n], author)
				}
				delete(model, n)
			case 3:
				if apply(t, table, author, now, done(key, []byte("answer"))) != 0 {
					continue
				}
				if model[n] != author || ended[n] {
					rt.Fatalf("key %d of %s ended by %s", n, model[n], author)
				}
				ended[n] = true
			}
			if rapid.IntRange(0, 9).Draw(rt, "restore") == 0 {
				table = restored(rt, table)
			}
		}
	})
}

func restored(t rapid.TB, table *claims.Table) *claims.Table {
	data, err := table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	copied := claims.New()
	if err := copied.Restore(data); err != nil {
		t.Fatal(err)
	}
	if again, _ := copied.Snapshot(); !bytes.Equal(data, again) {
		t.Fatal("a restored table has another snapshot")
	}
	return copied
}

func FuzzApply(f *testing.F) {
	for _, record := range []*apiv1.Record{claimed(keyAt(noon, 1), "lounge", 1), released(keyAt(noon, 1)), done(keyAt(noon, 1), []byte("x"))} {
		data, _ := proto.Marshal(record)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		record := &apiv1.Record{}
		if proto.Unmarshal(data, record) != nil {
			return
		}
		table := claims.New()
		apply(t, table, "a", noon, claimed(keyAt(noon, 1), "lounge", 1))
		for range 2 {
			apply(t, table, "a", record.TimeUnixMs, record)
		}
		restored(t, table)
	})
}
