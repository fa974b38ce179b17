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
	// maxRecordBytes limits the record to some 500 keys, because the owner's loop stands still while it is made. Queues and offsets that were not used for longest are left out.
	maxRecordBytes = 24 << 10
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
	var offsets []usedOffset
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
				offsets = append(offsets, usedOffset{key, o, queue})
			}
		}
	}
	slices.SortFunc(offsets, func(a, b usedOffset) int {
		return cmp.Or(b.offset.usedAt.Compare(a.offset.usedAt), cmp.Compare(b.offset.weight, a.offset.weight))
	})
	size := proto.Size(record)
	for _, used := range offsets {
		const overhead = 4 // of an element of a repeated field, at most
		recorded := used.record()
		if size += proto.Size(recorded) + overhead; size > maxRecordBytes {
			break
		}
		used.queue.Offsets = append(used.queue.Offsets, recorded)
	}
	return record
}

// usedOffset is an offset to be recorded with its queue.
type usedOffset struct {
	key    offsetKey
	offset *offset
	queue  *storev1.QueueDurations
}

func (u usedOffset) record() *storev1.DurationOffset {
	return &storev1.DurationOffset{
		Account: u.key.account, HasShape: u.key.hasShape, Image: u.key.shape.Image, Need: &storev1.Resources{
			CpuMillicores: u.key.shape.CPUMillicores, MemoryMb: u.key.shape.MemoryMB, Accelerators: u.key.shape.Accelerators,
		}, Sum: u.offset.sum, Weight: u.offset.weight, UsedUnixMs: u.offset.usedAt.UnixMilli(),
	}
}

// forget drops the offsets that were not used for longest if there are too many.
func (d *Durations) forget() {
	type keptOffset struct {
		queue  *queueDurations
		key    offsetKey
		usedAt time.Time
	}
	var all []keptOffset
	for _, q := range d.queues {
		for key, o := range q.offsets {
			all = append(all, keptOffset{q, key, o.usedAt})
		}
	}
	if len(all) <= maxOffsets {
		return
	}
	slices.SortFunc(all, func(a, b keptOffset) int { return b.usedAt.Compare(a.usedAt) })
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
