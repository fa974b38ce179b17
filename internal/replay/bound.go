package replay

import "container/heap"

// Bound is what no policy can do better for the measured jobs that the trace neither cancels nor fails.
type Bound struct {
	// MeanIdealMillis is the mean completion if every job ran at once, alone on the fastest fitting workers.
	MeanIdealMillis int64 `json:"mean_ideal_ms"`
	// MeanCapacityMillis is the mean completion on one machine as fast as all accelerators of a data
	// centre together that always works at the job with the least work left: total work over capacity.
	MeanCapacityMillis int64 `json:"mean_capacity_ms"`
	// LastEndMillis is the earliest time by which all work can be done, Unix milliseconds.
	LastEndMillis int64 `json:"last_end_unix_ms"`
}

// bound leaves out the work of all other jobs, so it stays a lower bound.
func (p *plan) bound() Bound {
	var sum Bound
	jobs := int64(0)
	for _, site := range p.sites {
		part := &siteBound{site: site, measured: p.window}
		part.run()
		sum.MeanIdealMillis += part.ideal
		sum.MeanCapacityMillis += part.flow
		sum.LastEndMillis = max(sum.LastEndMillis, part.lastEnd)
		jobs += part.jobs
	}
	if jobs > 0 {
		sum.MeanIdealMillis /= jobs
		sum.MeanCapacityMillis /= jobs
	}
	return sum
}

// siteBound works out the bound of one data centre.
type siteBound struct {
	site     *site
	measured window

	jobs    int64
	ideal   int64
	flow    int64
	lastEnd int64

	left workHeap
	// rate is the work of all accelerators, in accelerator milliseconds at speed 1000 a millisecond.
	rate float64
	now  float64
}

func (b *siteBound) run() {
	const unit = 1000
	for _, worker := range b.site.workers {
		b.rate += float64(worker.Accelerators) * float64(worker.SpeedPermille) / unit
	}
	for _, due := range b.site.inputs {
		if due.submitted == nil || !due.steady || due.timeMillis < b.measured.from {
			continue
		}
		b.jobs++
		b.ideal += due.idealMillis
		b.lastEnd = max(b.lastEnd, due.timeMillis+due.idealMillis)
		b.work(float64(due.timeMillis))
		b.arrive(due)
	}
	b.work(-1)
}

func (b *siteBound) arrive(due input) {
	// Jobs without accelerators ask nothing of them: their own run time bounds them.
	if due.submitted.GetSpec().GetShape().GetAccelerators() == 0 {
		b.flow += due.idealMillis
		return
	}
	heap.Push(&b.left, remaining{work: workOf(due.submitted), submitted: float64(due.timeMillis)})
}

// work does the shortest jobs first up to the time, or to the end when it is negative.
func (b *siteBound) work(until float64) {
	for len(b.left) > 0 {
		first := &b.left[0]
		end := b.now + first.work/b.rate
		if until >= 0 && end > until {
			first.work -= (until - b.now) * b.rate
			break
		}
		b.now = end
		b.flow += int64(end - first.submitted)
		b.lastEnd = max(b.lastEnd, int64(end))
		heap.Pop(&b.left)
	}
	b.now = max(b.now, until)
}

// remaining is the work left of a job, in accelerator milliseconds.
type remaining struct {
	work      float64
	submitted float64
}

// workHeap has the least work on top; it implements heap.Interface.
type workHeap []remaining

// Len is the number of jobs.
func (h workHeap) Len() int { return len(h) }

// Less orders by the work left.
func (h workHeap) Less(i, j int) bool { return h[i].work < h[j].work }

// Swap exchanges two jobs.
func (h workHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a job.
func (h *workHeap) Push(added any) { *h = append(*h, added.(remaining)) }

// Pop takes the last job.
func (h *workHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
