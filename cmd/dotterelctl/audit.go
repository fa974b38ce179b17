package main

import (
	"context"
	"fmt"
	"os"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/audit"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
)

// auditExportCommand writes the trail as a trace.
type auditExportCommand struct {
	operatorsFlags
	File string `arg:"" help:"Trace to write; replay reads it."`
	From int64  `help:"Offset to start from."`
	Name string `help:"Name of the trace." default:"exported"`
}

// Run writes the trace.
func (c *auditExportCommand) Run(ctx context.Context) error {
	connection := c.client()
	status, err := connection.Status(ctx)
	if err != nil {
		return err
	}
	var records []*apiv1.AuditRecord
	unknown := 0
	err = eachRecord(ctx, connection, c.From, false, func(record *apiv1.AuditRecord) error {
		records = append(records, record)
		if !record.OutcomeKnown {
			unknown++
		}
		return nil
	})
	if err != nil {
		return err
	}
	file, err := os.Create(c.File)
	if err != nil {
		return errors.Wrap(err, "create the trace")
	}
	err = replay.Write(file, audit.Trace(c.Name, records, status.Workers))
	if err := errors.Join(err, file.Close()); err != nil {
		return err
	}
	fmt.Printf("%d records written", len(records))
	if unknown > 0 {
		fmt.Printf("; the instance did not fold %d of them itself and took them as accepted", unknown)
	}
	fmt.Println()
	return nil
}
