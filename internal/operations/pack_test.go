package operations

import (
	"fmt"
	"strings"
	"testing"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// rack returns workers of one rack with 8 accelerators each.
func rack(dataCentre string, count int) []*apiv1.Worker {
	var workers []*apiv1.Worker
	for n := range count {
		workers = append(workers, &apiv1.Worker{
			Name: fmt.Sprintf("%s-w%d", dataCentre, n), DataCentre: dataCentre, Rack: dataCentre + "-r1",
			Presence: apiv1.Presence_PRESENCE_LIVE, Cores: 32, MemoryMib: 1 << 16, Accelerators: 8, SpeedPermille: 1000,
		})
	}
	return workers
}

func guarantee(dataCentre string, members, count uint32) *apiv1.Guarantee {
	shape := &apiv1.Shape{Members: members, Accelerators: 8, Adjacency: apiv1.Adjacency_ADJACENCY_RACK}
	return &apiv1.Guarantee{Account: "a", DataCentre: dataCentre, Shape: shape, Count: count}
}

func TestPack(t *testing.T) {
	workers := append(rack("east", 2), rack("west", 4)...)
	tests := []struct {
		name       string
		workers    []*apiv1.Worker
		guarantees []*apiv1.Guarantee
		// want are the data centres of the result, or want a part of the error.
		want    []string
		failure string
	}{
		{name: "none", workers: nil},
		{name: "no workers", guarantees: []*apiv1.Guarantee{guarantee("", 1, 1)}, failure: "no worker is in the instance list"},
		{name: "fixed", workers: workers, guarantees: []*apiv1.Guarantee{guarantee("east", 2, 1)}, want: []string{"east"}},
		{name: "unknown data centre", workers: workers, guarantees: []*apiv1.Guarantee{guarantee("north", 1, 1)}, failure: "north has no workers"},
		{name: "open goes where room is", workers: workers, guarantees: []*apiv1.Guarantee{guarantee("east", 2, 1), guarantee("", 4, 1)}, want: []string{"east", "west"}},
		{name: "open is divided", workers: workers, guarantees: []*apiv1.Guarantee{guarantee("", 2, 3)}, want: []string{"west", "east"}},
		{name: "each alone, not together", workers: workers, guarantees: []*apiv1.Guarantee{guarantee("east", 2, 1), guarantee("east", 1, 1)}, failure: "account a"},
		{name: "too large", workers: workers, guarantees: []*apiv1.Guarantee{guarantee("", 5, 1)}, failure: "5 x 8 accelerators"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, err := pack(&apiv1.Sheet{Guarantees: test.guarantees}, test.workers)
			if test.failure != "" {
				if err == nil || !strings.Contains(err.Error(), test.failure) {
					t.Errorf("error %v, want one with %q", err, test.failure)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			var dataCentres []string
			for _, packed := range got.Guarantees {
				dataCentres = append(dataCentres, packed.DataCentre)
			}
			if fmt.Sprint(dataCentres) != fmt.Sprint(test.want) {
				t.Errorf("data centres %v, want %v", dataCentres, test.want)
			}
		})
	}
}
