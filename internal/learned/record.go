package learned

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
)

const (
	// recordVersion is the version of the meaning of the record's fields.
	recordVersion = 1
	// maxRecordBytes limits the record. Queues and offsets that were not used for longest are left out.
	maxRecordBytes = 60 << 10
	maxQueues      = 64
	// maxOffsets limits the offsets in memory: those that a record can hold, and those that have been asked for since.
	maxOffsets = 3000
	// recordedQuantiles is the number of quantiles that represent a distribution of factors.
	recordedQuantiles = 15
)

// Record returns what has been learned, for RestoreDurations.
func (d *Durations) Record() *storev1.Durations {
	d.forget()
	record := &storev1.Durations{Version: recordVersion}
	names := make([]string, 0, len(d.queues))
	for name, q := range d.queues {
		if q.weight > 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(d.queues[b].usedAt.Compare(d.queues[a].usedAt), cmp.Compare(a, b))
	})
	type recordedOffset struct {
		queue  *storev1.QueueDurations
		offset *storev1.DurationOffset
	}
	var offsets []recordedOffset
	for _, name := range names[:min(len(names), maxQueues)] {
		q := d.queues[name]
		queue := &storev1.QueueDurations{
			Queue: name, Weight: q.weight, SumX: q.sumX, SumXx: q.sumXX, SumZ: q.sumZ, SumXz: q.sumXZ, DeclaredError: q.declaredError,
			PredictedError: q.predictedError, ErrorWeight: q.errorWeight, InUse: q.inUse, FinishedRuns: q.finished,
			Residuals: q.residuals.record(), DeclaredFactors: q.declaredFactors.record(), PredictedFactors: q.predictedFactors.record(),
		}
		record.Queues = append(record.Queues, queue)
		for key, o := range q.offsets {
			if o.weight > 0 {
				offsets = append(offsets, recordedOffset{queue, &storev1.DurationOffset{
					Account: key.account, HasShape: key.hasShape, Image: key.shape.Image, Need: &storev1.Resources{
						CpuMillicores: key.shape.CPUMillicores, MemoryMb: key.shape.MemoryMB, Accelerators: key.shape.Accelerators,
					}, Sum: o.sum, Weight: o.weight, UsedUnixMs: o.usedAt.UnixMilli(),
				}})
			}
		}
	}
	slices.SortFunc(offsets, func(a, b recordedOffset) int {
		return cmp.Or(cmp.Compare(b.offset.GetUsedUnixMs(), a.offset.GetUsedUnixMs()), cmp.Compare(b.offset.GetWeight(), a.offset.GetWeight()))
	})
	size := proto.Size(record)
	for _, recorded := range offsets {
		const overhead = 4 // of an element of a repeated field, at most
		if size += proto.Size(recorded.offset) + overhead; size > maxRecordBytes {
			break
		}
		recorded.queue.Offsets = append(recorded.queue.Offsets, recorded.offset)
	}
	return record
}

// forget drops the offsets that were not used for longest if there are too many.
func (d *Durations) forget() {
	type usedOffset struct {
		queue  *queueDurations
		key    offsetKey
		usedAt time.Time
	}
	var all []usedOffset
	for _, q := range d.queues {
		for key, o := range q.offsets {
			all = append(all, usedOffset{q, key, o.usedAt})
		}
	}
	if len(all) <= maxOffsets {
		return
	}
	slices.SortFunc(all, func(a, b usedOffset) int { return b.usedAt.Compare(a.usedAt) })
	for _, dropped := range all[maxOffsets/2:] {
		delete(dropped.queue.offsets, dropped.key)
	}
	// Series with offsets that were dropped aren't found any more; the others are created anew on demand.
	clear(d.series)
}

// RestoreDurations returns a predictor that continues with what was recorded. It fails for a record of another version and for one with
// values that can't have been recorded.
func RestoreDurations(record *storev1.Durations) (*Durations, error) {
	if record.GetVersion() != recordVersion {
		return nil, errors.Errorf("the durations are recorded in version %d, not %d: they are learned anew", record.GetVersion(), recordVersion)
	}
	d := NewDurations()
	for _, recorded := range record.GetQueues() {
		q := d.queue(recorded.GetQueue())
		q.weight, q.sumX, q.sumXX = recorded.GetWeight(), recorded.GetSumX(), recorded.GetSumXx()
		q.sumZ, q.sumXZ, q.finished, q.inUse = recorded.GetSumZ(), recorded.GetSumXz(), recorded.GetFinishedRuns(), recorded.GetInUse()
		q.declaredError, q.predictedError = recorded.GetDeclaredError(), recorded.GetPredictedError()
		q.errorWeight = recorded.GetErrorWeight()
		valid := areValid(q.weight, q.sumXX, q.declaredError, q.predictedError, q.errorWeight, math.Abs(q.sumX), math.Abs(q.sumZ), math.Abs(q.sumXZ))
		valid = q.residuals.restore(recorded.GetResiduals()) && valid
		valid = q.declaredFactors.restore(recorded.GetDeclaredFactors()) && valid
		valid = q.predictedFactors.restore(recorded.GetPredictedFactors()) && valid
		for _, o := range recorded.GetOffsets() {
			need := o.GetNeed()
			restored := q.offset(offsetKey{account: o.GetAccount(), hasShape: o.GetHasShape(), shape: Shape{
				Image: o.GetImage(), CPUMillicores: need.GetCpuMillicores(), MemoryMB: need.GetMemoryMb(), Accelerators: need.GetAccelerators(),
			}})
			restored.sum, restored.weight, restored.usedAt = o.GetSum(), o.GetWeight(), time.UnixMilli(o.GetUsedUnixMs())
			valid = valid && areValid(restored.weight, math.Abs(restored.sum))
		}
		if !valid {
			return nil, errors.Errorf("the recorded durations of queue %q are damaged: they are learned anew", recorded.GetQueue())
		}
	}
	return d, nil
}

// areValid reports whether all values are finite and not negative.
func areValid(values ...float64) bool {
	return !slices.ContainsFunc(values, func(value float64) bool { return !(value >= 0) || math.IsInf(value, 1) })
}

func (r *residuals) record() *storev1.Factors {
	if r.sketch.IsEmpty() {
		return nil
	}
	factors := &storev1.Factors{Weight: r.sketch.GetCount()}
	for i := range recordedQuantiles {
		factors.Quantiles = append(factors.Quantiles, float32(r.quantile((float64(i)+0.5)/recordedQuantiles)))
	}
	return factors
}

// restore replaces the factors by recorded ones, if there are any, and reports whether these are valid.
func (r *residuals) restore(factors *storev1.Factors) bool {
	quantiles := factors.GetQuantiles()
	if len(quantiles) == 0 {
		return factors.GetWeight() == 0
	}
	if !areValid(factors.GetWeight()) || len(quantiles) != recordedQuantiles {
		return false
	}
	*r = newFactors()
	for _, quantile := range quantiles {
		if !areValid(float64(quantile)) {
			return false
		}
		r.insert(float64(quantile), factors.GetWeight()/recordedQuantiles)
	}
	return true
}
