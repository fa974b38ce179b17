package assign_test

import (
	"strings"
	"testing"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

func TestPlanHasReasonsForUnitsThatAskForThem(t *testing.T) {
	labelled, large := step(1, 1), step(3, 8)
	labelled.RequiredLabel = "none has it"
	large.Gang = true
	near := step(1, 8)
	near.DataRack = "r0"
	cases := []struct {
		name  string
		scene *scene
		index int
		want  string
	}{
		{"free worker", newScene().workers(1, 1).waiting("a", 1, step(1, 8)), 0, "starts now on w00"},
		{"label", newScene().workers(1, 1).waiting("a", 1, labelled), 0, "no usable worker of its service"},
		{
			"too large", newScene().workers(1, 2).waiting("a", 1, step(1, 16)), 0,
			"no worker of its service has what one of its tasks needs",
		},
		{"capacity", newScene().workers(2, 2).waiting("a", 1, large), replica.GangIndex, "hold at most 2 of its 3 members"},
		{
			"full", newScene().workers(1, 1).running("b", 1, step(1, 8), 50, "w00").waiting("a", 1, step(1, 8)), 0,
			"not enough free resources for its 1 members",
		},
		{
			"rack", newScene().workers(2, 1).running("b", 1, step(1, 8), 50, "w00").waiting("a", 1, near), 0,
			"waits up to 1500 ms for room for its 1 members on rack r0; 1 members fit elsewhere",
		},
		{
			"preemption", newScene().workers(1, 1).running("b", 1, step(1, 8), 50, "w00").waiting("a", 0, step(1, 8), claimed), 0,
			"being freed on w00",
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			for i := range test.scene.snapshot.Waiting {
				test.scene.snapshot.Waiting[i].Explain = true
			}
			got := assign.MakePlan(&test.scene.snapshot).Reasons[replica.Task{Job: "a", Index: test.index}].Text
			if !strings.Contains(got, test.want) {
				t.Errorf("the explanation is %q, want it to contain %q", got, test.want)
			}
		})
	}
}
