package list_test

import (
	"testing"
	"testing/synctest"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/list"
)

func TestListLags(t *testing.T) {
	const lag = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		l := list.New(lag)
		l.Register(&apiv1.InstanceList{Workers: []*apiv1.Worker{{Name: "w1"}, {Name: "w2"}}})
		time.Sleep(lag)
		l.Remove("w1")
		l.Register(&apiv1.InstanceList{Workers: []*apiv1.Worker{{Name: "w2", Presence: apiv1.Presence_PRESENCE_LEAVING}}})
		time.Sleep(lag - 1)
		old, _ := l.Fetch(t.Context())
		time.Sleep(time.Nanosecond)
		changed, _ := l.Fetch(t.Context())
		if len(old.GetWorkers()) != 2 || len(changed.GetWorkers()) != 1 || changed.GetVersion() <= old.GetVersion() {
			t.Errorf("before the lag %v, after it %v", old, changed)
		}
		if changed.GetWorkers()[0].GetPresence() != apiv1.Presence_PRESENCE_LEAVING {
			t.Errorf("the worker is %v", changed.GetWorkers()[0])
		}
		l.SetDown(true)
		if _, err := l.Fetch(t.Context()); err == nil {
			t.Error("the list answers during its outage")
		}
	})
}
