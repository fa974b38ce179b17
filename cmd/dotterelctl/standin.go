package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/logservice"
)

// defaultInstanceWeight is the weight of an instance that names none.
const defaultInstanceWeight = 100

// standinCommand runs the platform's stand-ins.
type standinCommand struct {
	BasePort       int           `help:"Port of the log service; the list and the workers get the ports after it." default:"28000"`
	DataCentres    []string      `help:"Data centres, separated by commas." default:"perth-1,perth-2"`
	Workers        int           `help:"Workers of each data centre." default:"6"`
	WorkersPerRack int           `help:"Workers of a rack." default:"6"`
	Speeds         []uint32      `help:"Speeds given to the workers in turn, permille." default:"1000"`
	Retention      time.Duration `help:"How long the log keeps entries." default:"1h"`
	ListLag        time.Duration `help:"How old the instance list is." default:"2s"`
	UsageLag       time.Duration `help:"How old usage reports are." default:"1s"`
	Instance       []string      `help:"Instance of the list: NAME,DATA_CENTRE,PEER_ADDRESS or with a weight after it. May be repeated." sep:"none"`
}

// Run serves until it is interrupted.
func (c *standinCommand) Run(ctx context.Context) error {
	instances, err := parseInstances(c.Instance)
	if err != nil {
		return err
	}
	log := logservice.New(logservice.Options{Retention: c.Retention})
	options := standin.Options{
		Log:       log.Handler(),
		BasePort:  c.BasePort,
		UsageLag:  c.UsageLag,
		ListLag:   c.ListLag,
		Instances: instances,
		Ready: func(addresses standin.Addresses) {
			fmt.Printf("log %s, instance list %s, %d workers\n", addresses.Log, addresses.InstanceList, len(addresses.Workers))
		},
	}
	for _, name := range c.DataCentres {
		options.Sites = append(options.Sites, standin.Site{
			DataCentre:     name,
			Racks:          (c.Workers + c.WorkersPerRack - 1) / c.WorkersPerRack,
			WorkersPerRack: min(c.Workers, c.WorkersPerRack),
			Speeds:         c.Speeds,
		})
	}
	return standin.Run(ctx, options)
}

// parseInstances reads NAME,DATA_CENTRE,PEER_ADDRESS[,WEIGHT].
func parseInstances(texts []string) ([]*apiv1.Instance, error) {
	var instances []*apiv1.Instance
	for _, text := range texts {
		parts := strings.Split(text, ",")
		if len(parts) < 3 || len(parts) > 4 {
			return nil, errors.Errorf("instance %q: write NAME,DATA_CENTRE,PEER_ADDRESS or NAME,DATA_CENTRE,PEER_ADDRESS,WEIGHT", text)
		}
		weight := uint64(defaultInstanceWeight)
		if len(parts) == 4 {
			parsed, err := strconv.ParseUint(parts[3], 10, 32)
			if err != nil {
				return nil, errors.Errorf("instance %q: the weight is a whole number", text)
			}
			weight = parsed
		}
		instances = append(instances, &apiv1.Instance{
			Name:        parts[0],
			DataCentre:  parts[1],
			PeerAddress: parts[2],
			Presence:    apiv1.Presence_PRESENCE_LIVE,
			Weight:      uint32(weight), //nolint:gosec // Parsed as 32 bits.
		})
	}
	return instances, nil
}
