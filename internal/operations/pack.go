package operations

import (
	"slices"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
	"github.com/dotterelgauge/dotterelgauge/internal/policymsg"
)

// errNoWorkers means that a sheet cannot be checked.
var errNoWorkers = errors.New("no worker is in the instance list: wait for the list, or add workers, before guarantees are given")

// pack returns a copy of the sheet in which every guarantee names its data centre, or an error that names the
// account, the shape and the remedy when the guarantees do not all fit on the workers at once. A guarantee without
// a data centre gets one, or is divided among several.
func pack(fresh *apiv1.Sheet, workers []*apiv1.Worker) (*apiv1.Sheet, error) {
	checked := proto.CloneOf(fresh)
	if len(checked.Guarantees) == 0 {
		return checked, nil
	}
	sites := sitesOf(workers)
	if len(sites) == 0 {
		return nil, errNoWorkers
	}
	var fixed []policy.SitedGuarantee
	var open []policy.Guarantee
	for _, guarantee := range checked.Guarantees {
		value := policymsg.Guarantee(guarantee)
		if guarantee.DataCentre == "" {
			open = append(open, value)
			continue
		}
		if !slices.ContainsFunc(sites, func(s policy.Site) bool { return s.DataCentre == guarantee.DataCentre }) {
			return nil, errors.Errorf("data centre %s has no workers: correct the name, or leave data_centre empty", guarantee.DataCentre)
		}
		fixed = append(fixed, policy.SitedGuarantee{DataCentre: guarantee.DataCentre, Guarantee: value})
	}
	sited, err := policy.ChooseDataCentres(sites, fixed, open)
	if err != nil {
		return nil, err
	}
	checked.Guarantees = nil
	for _, guarantee := range sited {
		checked.Guarantees = append(checked.Guarantees, policymsg.GuaranteeMessage(guarantee))
	}
	return checked, nil
}

// sitesOf returns the data centres with their workers, in the order of names.
func sitesOf(workers []*apiv1.Worker) []policy.Site {
	var names []string
	for _, worker := range workers {
		names = append(names, worker.DataCentre)
	}
	slices.Sort(names)
	var sites []policy.Site
	for _, name := range slices.Compact(names) {
		sites = append(sites, policy.Site{DataCentre: name, Workers: policymsg.Workers(workers, name)})
	}
	return sites
}
