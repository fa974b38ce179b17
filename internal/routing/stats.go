package routing

import "sync/atomic"

// counters are the running counts of a Router.
type counters struct {
	done, notRun, unknown                                             atomic.Int64
	dispatches, retries, hedges, hedgeWins, budgetEmpty               atomic.Int64
	refusedFull, refusedOverload, refusedDeadline, queued             atomic.Int64
	workerFull, workerLeaving, workerBroken, workerDamaged            atomic.Int64
	lost, droppedAnswers, late                                        atomic.Int64
	claims, claimsUnavailable, releases, endsRecorded, recordsDropped atomic.Int64
	joined, answeredFromLog, answeredByHolder                         atomic.Int64
}

// Stats are the counts of a Router since its start and what it holds now.
type Stats struct {
	// Answers by outcome.
	Done    int64 `json:"done"`
	NotRun  int64 `json:"not_run"`
	Unknown int64 `json:"unknown"`
	// Dispatches count every request sent to a worker; Retries and Hedges are those beyond the first.
	Dispatches int64 `json:"dispatches"`
	Retries    int64 `json:"retries"`
	Hedges     int64 `json:"hedges"`
	HedgeWins  int64 `json:"hedge_wins"`
	// BudgetEmpty counts retries and hedges that the budget refused.
	BudgetEmpty int64 `json:"budget_empty"`
	// Refusals by the Router before dispatch.
	RefusedFull     int64 `json:"refused_full"`
	RefusedOverload int64 `json:"refused_overload"`
	RefusedDeadline int64 `json:"refused_deadline"`
	// Queued counts requests that had to wait.
	Queued int64 `json:"queued"`
	// Refusals by workers.
	WorkerFull    int64 `json:"worker_full"`
	WorkerLeaving int64 `json:"worker_leaving"`
	WorkerBroken  int64 `json:"worker_broken"`
	WorkerDamaged int64 `json:"worker_damaged"`
	// Lost counts dispatches without a usable answer. DroppedAnswers counts those of them whose answer was another
	// request's, short or damaged; Late the answers that came after the caller's deadline.
	Lost           int64 `json:"lost"`
	DroppedAnswers int64 `json:"dropped_answers"`
	Late           int64 `json:"late"`
	// Claims count accepted claims, ClaimsUnavailable those that the log did not decide in time.
	Claims            int64 `json:"claims"`
	ClaimsUnavailable int64 `json:"claims_unavailable"`
	Releases          int64 `json:"releases"`
	EndsRecorded      int64 `json:"ends_recorded"`
	// RecordsDropped counts releases and ends that were given up because too many waited for the log.
	RecordsDropped int64 `json:"records_dropped"`
	// Joined counts requests that met one with the same key at this instance.
	Joined           int64 `json:"joined"`
	AnsweredFromLog  int64 `json:"answered_from_log"`
	AnsweredByHolder int64 `json:"answered_by_holder"`
	// What the Router holds now.
	Waiting        int `json:"waiting"`
	InFlight       int `json:"in_flight"`
	PendingRecords int `json:"pending_records"`
	Workers        int `json:"workers"`
	OpenWorkers    int `json:"open_workers"`
	EjectedWorkers int `json:"ejected_workers"`
}

// Stats returns the counts.
func (r *Router) Stats() Stats {
	c := &r.counters
	s := Stats{
		Done: c.done.Load(), NotRun: c.notRun.Load(), Unknown: c.unknown.Load(),
		Dispatches: c.dispatches.Load(), Retries: c.retries.Load(),
		Hedges: c.hedges.Load(), HedgeWins: c.hedgeWins.Load(), BudgetEmpty: c.budgetEmpty.Load(),
		RefusedFull: c.refusedFull.Load(), RefusedOverload: c.refusedOverload.Load(),
		RefusedDeadline: c.refusedDeadline.Load(), Queued: c.queued.Load(),
		WorkerFull: c.workerFull.Load(), WorkerLeaving: c.workerLeaving.Load(),
		WorkerBroken: c.workerBroken.Load(), WorkerDamaged: c.workerDamaged.Load(),
		Lost: c.lost.Load(), DroppedAnswers: c.droppedAnswers.Load(), Late: c.late.Load(),
		Claims: c.claims.Load(), ClaimsUnavailable: c.claimsUnavailable.Load(),
		Releases: c.releases.Load(), EndsRecorded: c.endsRecorded.Load(), RecordsDropped: c.recordsDropped.Load(),
		Joined: c.joined.Load(), AnsweredFromLog: c.answeredFromLog.Load(), AnsweredByHolder: c.answeredByHolder.Load(),
	}
	s.InFlight, s.PendingRecords = r.work.counts()
	r.sched.mu.Lock()
	defer r.sched.mu.Unlock()
	s.Waiting = r.sched.queues.waiting()
	s.Workers = len(r.sched.pool.workers)
	s.OpenWorkers = len(r.sched.pool.open)
	s.EjectedWorkers = r.sched.pool.ejected
	return s
}
