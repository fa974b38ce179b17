package main

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/dotterelgauge/dotterelgauge/api/client"
)

const (
	// keyCallers ask at once, so that many claims share an append.
	keyCallers = 128
	// keyBytes is the payload of each request and of its answer.
	keyBytes = 16
)

// measureKeys measures the site while it keeps the keys of that many requests and does nothing else.
func (b *bench) measureKeys() error {
	claimed := 0
	for _, keys := range b.given.Keys {
		started := time.Now()
		failed, err := b.claimKeys(keys - claimed)
		if err != nil {
			return err
		}
		fmt.Printf("\n%d keys claimed in %s, %d of the requests failed\n", keys-claimed, time.Since(started).Round(time.Millisecond), failed)
		claimed = max(claimed, keys)
		time.Sleep(settle)
		b.measure(fmt.Sprintf("idle with %d keys", claimed), func() { time.Sleep(b.given.Time) })
	}
	return nil
}

// claimKeys asks that many non-idempotent requests through all instances and returns how many failed.
func (b *bench) claimKeys(count int) (int, error) {
	results := make([]error, max(count, 0))
	var calls errgroup.Group
	calls.SetLimit(keyCallers)
	for n := range results {
		key, err := uuid.NewV7()
		if err != nil {
			return 0, errors.Wrap(err, "make a key")
		}
		calls.Go(func() error {
			request := client.Request{Key: key.String(), Class: "ordinary", Payload: make([]byte, keyBytes)}
			_, results[n] = b.caller(n).Request(b.ctx, request)
			return nil
		})
	}
	_ = calls.Wait()
	failed := 0
	for _, result := range results {
		if result != nil {
			failed++
		}
	}
	return failed, nil
}
