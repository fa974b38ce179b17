// Command bench measures a site, of 8 instances and 50 workers unless told otherwise, on loopback and prints the figures. It judges nothing.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/dotterelgauge/dotterelgauge/test/site"
)

// options are the arguments.
type options struct {
	Program        string        `help:"The dotterelgauge program." default:"bin/dotterelgauge"`
	Time           time.Duration `help:"How long each measurement lasts." default:"10s"`
	Seed           uint64        `help:"Seed of the load." default:"1"`
	Instances      int           `help:"Instances." default:"8"`
	DataCentres    int           `help:"Data centres." default:"2"`
	Racks          int           `help:"Racks of each data centre." default:"5"`
	WorkersPerRack int           `help:"Workers of a rack." default:"5"`
	BasePort       int           `help:"First of about 1,000 ports; runs at the same time need their own." default:"29000"`
	Tasks          []int         `help:"Tasks of gangs that run in all data centres together while the site is measured, rising." default:"500,1000"`
	Hold           time.Duration `help:"How long the last size of gangs is measured instead; with 10m each gang is checkpointed once."`
	Keys           []int         `help:"Keys that are claimed while the site is measured, rising."`
	Load           []int         `help:"Requests a second of the loaded measurements, half of them not idempotent." default:"200"`
	ControlOnly    bool          `help:"Measure the idle site and the running gangs only."`
	Keep           bool          `help:"Keep the working directory with the logs."`
}

// Size of the measured site.
const (
	leaseTerm = 15 * time.Second
	// warmUp is how long the site runs before the first measurement.
	warmUp = 5 * time.Second
	// limit bounds the whole run.
	limit = 30 * time.Minute
)

func main() {
	var given options
	kong.Parse(&given, kong.Description("Measures a site on loopback."))
	if err := run(given); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(given options) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	under, err := site.New(ctx, site.Config{
		Program:        given.Program,
		Instances:      given.Instances,
		DataCentres:    dataCentres(given.DataCentres),
		Racks:          given.Racks,
		WorkersPerRack: given.WorkersPerRack,
		LeaseTerm:      leaseTerm,
		Retention:      time.Hour,
		Seed:           given.Seed,
		BasePort:       given.BasePort,
	})
	if err != nil {
		return err
	}
	defer under.Stop(given.Keep)
	if _, err := under.Start(); err != nil {
		return err
	}
	time.Sleep(warmUp)
	b := &bench{ctx: ctx, site: under, given: given}
	fmt.Printf("seed %d; %d instances, %d data centres, %d workers, %s each\n",
		given.Seed, given.Instances, given.DataCentres, len(under.Workers), given.Time)
	b.measureIdle()
	if err := b.measureGangs(); err != nil {
		return err
	}
	if err := b.measureKeys(); err != nil {
		return err
	}
	if given.ControlOnly {
		return nil
	}
	for _, perSecond := range given.Load {
		b.measureLoad(perSecond)
	}
	b.measureClaim()
	if err := b.measureThroughput(); err != nil {
		return err
	}
	return b.measureTakeover()
}

func dataCentres(count int) []string {
	var names []string
	for number := range count {
		names = append(names, fmt.Sprintf("perth-%d", number+1))
	}
	return names
}
