package learned

import (
	"math"
	"slices"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	// sketchAccuracy is the relative accuracy of quantiles.
	sketchAccuracy = 0.02
	// maxFactor limits the factors in a sketch, and so its number of bins.
	maxFactor = 50.0
	// PriorSpread is the spread that is assumed without history: declared estimates are often wrong by half or more.
	PriorSpread = 0.5
	// minResidualSpread and maxResidualSpread limit the spread. Below minResidualSpread the tasks of one step differ by more than that.
	minResidualSpread, maxResidualSpread = 0.1, 1.5
	// priorResidualWeight is the weight of that assumption, in steps.
	priorResidualWeight = 3.0
)

// residuals is a sketch of the factors by which durations differ from predictions, in which old ones lose weight.
type residuals struct {
	sketch *ddsketch.DDSketch
	// cachedSpread is the result of spread; 0 if it must be computed.
	cachedSpread float64
}

// newResiduals returns residuals with the assumed spread.
func newResiduals() residuals {
	r := newFactors()
	// These are the quantiles of a normal distribution at 10, 30, 50, 70 and 90%, in standard deviations.
	for _, deviations := range []float64{-highDeviations, -0.5244, 0, 0.5244, highDeviations} {
		r.insert(math.Exp(PriorSpread*deviations), priorResidualWeight/5)
	}
	return r
}

// newFactors returns residuals without values.
func newFactors() residuals {
	sketch, err := ddsketch.LogUnboundedDenseDDSketch(sketchAccuracy)
	if err != nil {
		panic(err) // sketchAccuracy is between 0 and 1
	}
	return residuals{sketch: sketch}
}

// add adds a factor and reduces the weight of the others.
func (r *residuals) add(factor, weight float64) {
	if !r.sketch.IsEmpty() {
		_ = r.sketch.Reweight(math.Pow(queueDecay, weight)) // fails only for factors that are not positive
	}
	r.insert(factor, weight)
}

func (r *residuals) insert(factor, weight float64) {
	_ = r.sketch.AddWithCount(min(max(factor, 1/maxFactor), maxFactor), weight) // fails only for values out of the sketch's range
	r.cachedSpread = 0
}

// quantile returns a quantile of the factors; 0 if there are none.
func (r *residuals) quantile(quantile float64) float64 {
	value, err := r.sketch.GetValueAtQuantile(quantile)
	if err != nil {
		return 0
	}
	return value
}

// spread returns the standard deviation of the logarithms of the factors, as far as the middle 80% show it.
func (r *residuals) spread() float64 {
	if r.cachedSpread == 0 {
		low, high := r.quantile(1-highQuantile), r.quantile(highQuantile)
		r.cachedSpread = min(max(math.Log(high/low)/(2*highDeviations), minResidualSpread), maxResidualSpread)
	}
	return r.cachedSpread
}

// median returns the median of values, which it sorts; there must be some.
func median(values []float64) float64 {
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}
