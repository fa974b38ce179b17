package placing

import (
	"slices"

	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

// riskKeeper is implemented by policies that know which guarantees cannot be reclaimed.
type riskKeeper interface {
	GuaranteesAtRisk() []policy.Risk
}

// noteRisks tells of the guarantees at risk when they changed.
func (l *Loop) noteRisks() {
	keeper, keeps := l.config.Policy.(riskKeeper)
	if !keeps {
		return
	}
	risks := keeper.GuaranteesAtRisk()
	if slices.Equal(risks, l.risks) {
		return
	}
	l.risks = risks
	if len(risks) == 0 {
		l.config.Observe(Event{Kind: EventGuaranteesSafe})
	}
	for i := range risks {
		l.config.Observe(Event{Kind: EventGuaranteeAtRisk, Risk: &risks[i]})
	}
}
