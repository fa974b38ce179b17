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
// account, the shape and the remedy when the guarantees do not all fit on the workers at once. A guarantee
// without a data centre goes to the first one, in the order of names, in which it fits beside the others.
func pack(fresh *apiv1.Sheet, workers []*apiv1.Worker) (*apiv1.Sheet, error) {
	checked := proto.CloneOf(fresh)
	if len(checked.Guarantees) == 0 {
		return checked, nil
	}
	names := dataCentres(workers)
	if len(names) == 0 {
		return nil, errNoWorkers
	}
	packed := make(map[string][]policy.Guarantee)
	for _, guarantee := range checked.Guarantees {
		if guarantee.DataCentre != "" {
			packed[guarantee.DataCentre] = append(packed[guarantee.DataCentre], policymsg.Guarantee(guarantee))
		}
	}
	for name, guarantees := range packed {
		if !slices.Contains(names, name) {
			return nil, errors.Errorf("data centre %s has no workers: correct the name, or leave data_centre empty", name)
		}
		if _, err := policy.PackGuarantees(policymsg.Workers(workers, name), guarantees); err != nil {
			return nil, errors.Wrap(err, "data centre "+name)
		}
	}
	for _, guarantee := range checked.Guarantees {
		if guarantee.DataCentre != "" {
			continue
		}
		if err := settle(guarantee, names, packed, workers); err != nil {
			return nil, err
		}
	}
	return checked, nil
}

// settle names the data centre of one guarantee and adds it to what is packed there.
func settle(guarantee *apiv1.Guarantee, names []string, packed map[string][]policy.Guarantee, workers []*apiv1.Worker) error {
	var refusal error
	for _, name := range names {
		together := append(slices.Clone(packed[name]), policymsg.Guarantee(guarantee))
		_, err := policy.PackGuarantees(policymsg.Workers(workers, name), together)
		if err == nil {
			packed[name] = together
			guarantee.DataCentre = name
			return nil
		}
		refusal = err
	}
	return errors.Wrap(refusal, "no data centre holds it")
}

// dataCentres returns the data centres that have workers, in the order of names.
func dataCentres(workers []*apiv1.Worker) []string {
	var names []string
	for _, worker := range workers {
		if !slices.Contains(names, worker.DataCentre) {
			names = append(names, worker.DataCentre)
		}
	}
	slices.Sort(names)
	return names
}
