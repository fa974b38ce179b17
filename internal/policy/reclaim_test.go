package policy_test

import (
	"testing"

	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

// lounge returns a scheduler with two workers of 8 and a guarantee of one whole worker for account a.
func lounge() *policy.Scheduler {
	s := policy.New(policy.LoungeConfig())
	for _, name := range []string{"w1", "w2"} {
		s.AddWorker(policy.Worker{Name: name, Rack: "r1", Accelerators: 8, Cores: 32, MemoryMiB: 131072, SpeedPermille: 1000})
	}
	s.Configure(
		[]policy.Account{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}},
		nil,
		[]policy.Guarantee{{Account: "a", Shape: policy.Shape{Members: 1, Accelerators: 8}, Count: 1}},
	)
	return s
}

func whole(id, account string, class policy.Class) policy.Job {
	return policy.Job{ID: id, Account: account, Class: class, Shape: policy.Shape{Members: 1, Accelerators: 8}, ExpectedMillis: 60_000}
}

func startAll(t *testing.T, s *policy.Scheduler, nowMillis int64, want ...string) {
	t.Helper()
	got := map[string]bool{}
	for _, d := range s.Decide(nowMillis) {
		if d.Start != nil {
			got[d.Start.JobID] = true
			s.Started(d.Start.JobID, nowMillis)
		}
	}
	if len(got) != len(want) {
		t.Fatalf("started %v, want %v", got, want)
	}
	for _, id := range want {
		if !got[id] {
			t.Fatalf("started %v, want %v", got, want)
		}
	}
}

func TestReclaimFromBorrower(t *testing.T) {
	s := lounge()
	s.Submit(whole("b1", "b", policy.Ordinary))
	s.Submit(whole("b2", "b", policy.Ordinary))
	startAll(t, s, 0, "b1", "b2")
	s.Submit(whole("a1", "a", policy.Ordinary))
	decisions := s.Decide(1000)
	if len(decisions) != 1 || decisions[0].Stop == nil || decisions[0].Stop.For != "a1" {
		t.Fatalf("decisions %+v, want one stop for a1", decisions)
	}
	s.Ended(decisions[0].Stop.JobID, policy.PreemptedEnd, 0, 1500)
	startAll(t, s, 1500, "a1")
}
