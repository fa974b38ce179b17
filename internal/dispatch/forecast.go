package dispatch

import (
	"maps"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/forecast"
	"github.com/dotterelgauge/dotterelgauge/internal/metrics"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

const (
	// forecastInterval is the minimum time between two records of the forecast.
	forecastInterval = time.Second
	// sizesKnownAfter is how long an owner must have seen the workers before it is certain that no larger ones exist: those that are
	// down for upkeep are not listed.
	sizesKnownAfter = time.Minute
)

// published is the forecast that the owner has recorded.
type published struct {
	at time.Time
	// exists is true unless the latest record deletes the forecast.
	exists  bool
	pending *storelog.PendingAppend
	// largest has the largest amount of each resource that a worker of a service has had in this term.
	largest map[string]assign.Resources
	// short has the services with a shortage that was logged.
	short map[string]bool
}

// publishForecast records the forecast after a plan in a shortage, and deletes it after the shortage.
func (s *session) publishForecast(snapshot *assign.Snapshot, plan *assign.Plan) {
	p := &s.published
	if s.now.Sub(p.at) < forecastInterval {
		return
	}
	p.at = s.now
	s.reportShares(snapshot)
	if p.pending != nil && !p.pending.IsDone() && !s.term.Appender.Withdraw(p.pending) {
		return
	}
	p.largest = forecast.Largest(p.largest, snapshot)
	largest := p.largest
	if !s.registryRead || s.now.Sub(s.startedAt) < sizesKnownAfter {
		largest = nil
	}
	summary := forecast.Summarise(snapshot, plan, largest, s.model.MeanWorks())
	if summary == nil && !p.exists {
		return
	}
	record, err := replica.ForecastRecord(summary)
	if err != nil {
		s.term.StepDown(err.Error())
		return
	}
	p.exists, p.pending = summary != nil, s.term.Appender.Submit(record)
}

// reportShares logs which shortages have begun or ended, and shows the accounts' shares.
func (s *session) reportShares(snapshot *assign.Snapshot) {
	for service, short := range snapshot.Shares.Short {
		if short && !s.published.short[service] {
			s.Events.Log(events.ShortageChanged, "service", service, "short", true)
		}
	}
	for service := range s.published.short {
		if !snapshot.Shares.Short[service] {
			s.Events.Log(events.ShortageChanged, "service", service, "short", false)
		}
	}
	s.published.short = maps.Clone(snapshot.Shares.Short)
	maps.DeleteFunc(s.published.short, func(_ string, short bool) bool { return !short })
	accounts := map[string]metrics.Share{}
	for key, due := range snapshot.Shares.Due {
		share := accounts[key.Account]
		accounts[key.Account] = metrics.Share{Due: share.Due + due, Used: share.Used + snapshot.Shares.InUse[key]}
	}
	s.Stages.Shares.Set(accounts)
}
