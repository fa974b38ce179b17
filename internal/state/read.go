package state

import (
	"cmp"
	"slices"
	"strings"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// Job returns the job of that id.
func (s *State) Job(id string) (Job, bool) {
	job := s.jobs[id]
	if job == nil {
		return Job{}, false
	}
	return *job, true
}

// Jobs returns the jobs that keep accepts, in the order of submission. A nil keep accepts all.
func (s *State) Jobs(keep func(*Job) bool) []Job {
	var jobs []Job
	for _, job := range s.jobs {
		if keep == nil || keep(job) {
			jobs = append(jobs, *job)
		}
	}
	slices.SortFunc(jobs, func(a, b Job) int {
		return cmp.Or(cmp.Compare(a.SubmittedMillis, b.SubmittedMillis), strings.Compare(a.ID, b.ID))
	})
	return jobs
}

// LiveJobs returns the jobs of a data centre that have not ended, in the order of submission.
func (s *State) LiveJobs(dataCentre string) []Job {
	return s.Jobs(func(job *Job) bool { return job.Live() && job.Spec.DataCentre == dataCentre })
}

// Owner returns the owner of a data centre; its epoch is 0 when there never was one.
func (s *State) Owner(dataCentre string) Owner {
	owner := s.owners[dataCentre]
	owner.DataCentre = dataCentre
	return owner
}

// Owners returns the owners by data centre, in order.
func (s *State) Owners() []Owner {
	return sortedValues(s.owners)
}

// Verdict returns the verdict on a worker; false means healthy.
func (s *State) Verdict(worker string) (Verdict, bool) {
	verdict, found := s.verdicts[worker]
	return verdict, found
}

// Verdicts returns the workers that are not healthy, in order.
func (s *State) Verdicts() []Verdict {
	return sortedValues(s.verdicts)
}

// Occupied returns the taken accelerators of a worker as bits.
func (s *State) Occupied(worker string) uint32 {
	return s.occupied[worker]
}

// Proto returns the job as a message. Spec and placement are shared.
func (j *Job) Proto() *apiv1.Job {
	return &apiv1.Job{
		Id:              j.ID,
		Spec:            j.Spec,
		State:           j.State,
		Run:             j.Run,
		Placement:       j.Placement,
		CheckpointPpm:   j.CheckpointPPM,
		SubmittedUnixMs: j.SubmittedMillis,
		PlacedUnixMs:    j.PlacedMillis,
		EndedUnixMs:     j.EndedMillis,
		Reason:          j.Reason,
		Failures:        j.Failures,
		Preemptions:     j.Preemptions,
		FailedWorkers:   j.FailedWorkers,
	}
}

func sortedValues[V any](values map[string]V) []V {
	list := make([]V, 0, len(values))
	for _, key := range sortedKeys(values) {
		list = append(list, values[key])
	}
	return list
}

func sortedKeys[V any](values map[string]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
