package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/dotterelgauge/dotterelgauge/api/client"
)

// requestCommand runs a short request.
type requestCommand struct {
	callersFlags
	Payload    string        `arg:"" help:"Payload of the request."`
	Class      string        `help:"urgent, ordinary or patient." enum:"urgent,ordinary,patient" default:"ordinary"`
	Idempotent bool          `help:"The request may run more than once."`
	Key        string        `help:"UUIDv7 of a request that is not idempotent; made when left out."`
	Retry      bool          `help:"The key may have been sent before."`
	Timeout    time.Duration `help:"How long to wait." default:"10s"`
}

// Run prints the answer.
func (c *requestCommand) Run(ctx context.Context) error {
	key := c.Key
	if key == "" && !c.Idempotent {
		fresh, err := uuid.NewV7()
		if err != nil {
			return errors.Wrap(err, "make a key")
		}
		key = fresh.String()
	}
	answer, err := c.client().Request(ctx, client.Request{
		Key:        key,
		Class:      c.Class,
		Idempotent: c.Idempotent,
		Retry:      c.Retry,
		Timeout:    c.Timeout,
		Payload:    []byte(c.Payload),
	})
	if err != nil {
		return errors.Wrap(err, "key "+key)
	}
	if answer.Failed {
		return errors.Errorf("key %s: the request ran and failed: %s", key, answer.Payload)
	}
	_, err = fmt.Fprintf(os.Stdout, "%s\n", answer.Payload)
	return err
}
