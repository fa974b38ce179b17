package gateway

import "expvar"

// Counters counts the answers by call and result.
type Counters struct {
	answers *expvar.Map
	// refusals counts the jobs refused in shortages by reason.
	refusals *expvar.Map
}

func newCounters() *Counters {
	return &Counters{answers: new(expvar.Map).Init(), refusals: new(expvar.Map).Init()}
}

func (c *Counters) count(call string, result Result) { c.answers.Add(call+"."+result.String(), 1) }

// AnswerCounts returns the number of answers by call and result, for the metrics page.
func (g *Gateway) AnswerCounts() expvar.Var { return g.counters.answers }

// String returns the result's name in log lines and metrics.
func (r Result) String() string {
	return [...]string{"ok", "no_queue", "no_job", "unauthorized", "invalid", "too_large", "not_run", "undecided", "conflict", "too_busy"}[r]
}
