package tracegen

import (
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
)

const (
	urgentClass   = apiv1.WorkClass_WORK_CLASS_URGENT
	ordinaryClass = apiv1.WorkClass_WORK_CLASS_ORDINARY
	patientClass  = apiv1.WorkClass_WORK_CLASS_PATIENT
)

var loungeDataCentres = []dataCentre{
	{"perth-1", []int{6, 6, 6}},
	{"perth-2", []int{6, 6, 6}},
	{"kalgoorlie", []int{6, 2}},
	{"broome", []int{6}},
}

// LoungeDay returns a day of the lounge access service: 50 workers in four data centres, at most six per rack, that run
// entitlement checks, reconciliation, settlement gangs in the evening and patient analytics.
func LoungeDay(seed uint64) *replay.Trace {
	g := newGenerator("lounge-day", seed, loungeSheet())
	g.coresPerAccelerator, g.memoryPerAccelerator = 4, 8<<10
	g.declarationBias["analytics"], g.declarationBias["partners"] = 3, 0.5
	for _, dc := range loungeDataCentres {
		g.addWorkers(dc, 128<<10)
		for _, w := range loungeWorkloads() {
			g.submitJobs(g.drawJobs(dc, w), w)
		}
	}
	g.failJobs(6)
	g.failWorker("perth-2-1-2", 9*hour, 12*hour)
	g.failWorker("kalgoorlie-1-3", 16*hour, 18*hour)
	g.loseRack("perth-1", "perth-1-3", 14*hour+20*time.Minute, 17*hour)
	g.failWorker("perth-1-1-4", 15*hour, 16*hour)
	g.cancelRecentJobs(11*hour, 3*hour, "partners", "")
	g.cancelRecentJobs(15*hour+30*time.Minute, 6*hour, "analytics", "")
	g.cancelRecentJobs(21*hour, 2*hour, "settlement", "")
	return g.trace()
}

func loungeWorkloads() []workload {
	return []workload{
		{
			account: "members", teams: []string{"desk"}, class: urgentClass,
			shapes:    []weightedShape{{7, shape(1, 1, onWorker)}, {3, shape(1, 2, onWorker)}},
			medianRun: 3 * time.Minute, sigma: 0.8, minRun: 10 * time.Second, maxRun: 15 * time.Minute,
			acceleratorShare: 0.012, hourWeights: daytime, slack: [2]float64{2, 5}, maxConcurrent: 4,
		},
		{
			account: "members", teams: []string{"kiosks", "passes"}, class: ordinaryClass,
			shapes:    []weightedShape{{4, shape(1, 1, onWorker)}, {3, shape(1, 2, onWorker)}, {3, shape(1, 4, onWorker)}},
			medianRun: 15 * time.Minute, sigma: 1, minRun: time.Minute, maxRun: 3 * hour,
			acceleratorShare: 0.13, hourWeights: daytime, slack: [2]float64{3, 10},
		},
		{
			account: "partners", teams: []string{"reconciliation"}, class: ordinaryClass,
			shapes: []weightedShape{
				{3, shape(1, 2, onWorker)}, {3, shape(1, 4, onWorker)}, {2, shape(1, 8, onWorker)}, {2, shape(2, 8, inRack)},
			},
			medianRun: 30 * time.Minute, sigma: 0.9, minRun: 2 * time.Minute, maxRun: 5 * hour,
			acceleratorShare: 0.25, hourWeights: daytime, slack: [2]float64{3, 8},
		},
		{
			account: "settlement", teams: []string{"nightly"}, class: ordinaryClass,
			shapes: []weightedShape{
				{3, shape(2, 8, inRack)}, {3, shape(4, 8, inRack)}, {2, shape(8, 4, inDataCentre)}, {1, shape(8, 8, inDataCentre)},
			},
			medianRun: 75 * time.Minute, sigma: 0.6, minRun: 15 * time.Minute, maxRun: 5 * hour,
			acceleratorShare: 0.25, hourWeights: evening, slack: [2]float64{3, 6},
		},
		{
			account: "analytics", teams: []string{"reports", "models"}, class: patientClass,
			shapes: []weightedShape{
				{4, shape(1, 1, onWorker)}, {3, shape(1, 4, onWorker)}, {2, shape(2, 8, inDataCentre)}, {1, shape(16, 1, inDataCentre)},
			},
			medianRun: 40 * time.Minute, sigma: 1.1, minRun: 2 * time.Minute, maxRun: 8 * hour,
			acceleratorShare: 0.25, hourWeights: allDay,
		},
	}
}

func loungeSheet() *apiv1.Sheet {
	guarantees := guaranteeList{}
	guarantees.add("perth-1", "members", 8, shape(1, 2, onWorker))
	guarantees.add("perth-1", "members", 2, shape(1, 8, onWorker))
	guarantees.add("perth-1", "partners", 1, shape(2, 8, inRack))
	guarantees.add("perth-1", "settlement", 1, shape(4, 8, inRack))
	guarantees.add("perth-1", "analytics", 1, shape(1, 4, onWorker))
	guarantees.add("perth-2", "members", 8, shape(1, 2, onWorker))
	guarantees.add("perth-2", "partners", 1, shape(2, 8, inRack))
	guarantees.add("perth-2", "settlement", 1, shape(4, 8, inRack))
	guarantees.add("perth-2", "analytics", 1, shape(1, 4, onWorker))
	guarantees.add("kalgoorlie", "members", 4, shape(1, 2, onWorker))
	guarantees.add("kalgoorlie", "partners", 1, shape(1, 8, onWorker))
	guarantees.add("kalgoorlie", "settlement", 1, shape(2, 8, inRack))
	guarantees.add("broome", "members", 4, shape(1, 2, onWorker))
	guarantees.add("broome", "partners", 1, shape(1, 4, onWorker))
	guarantees.add("broome", "settlement", 1, shape(2, 8, inRack))
	return &apiv1.Sheet{
		Accounts: []*apiv1.ClientAccount{
			{Name: "members", Priority: 90, Weight: 40},
			{Name: "partners", Priority: 60, Weight: 30},
			{Name: "settlement", Priority: 70, Weight: 30},
			{Name: "analytics", Priority: 10, Weight: 10},
		},
		Teams: []*apiv1.Team{
			{Account: "members", Name: "desk"},
			{Account: "members", Name: "kiosks", Quota: 64},
			{Account: "members", Name: "passes", Quota: 64},
			{Account: "partners", Name: "reconciliation", Quota: 112},
			{Account: "settlement", Name: "nightly"},
			{Account: "analytics", Name: "reports", Quota: 64},
			{Account: "analytics", Name: "models", Quota: 64},
		},
		Guarantees: guarantees.list,
	}
}

// guaranteeList collects the guarantees of a sheet.
type guaranteeList struct {
	list []*apiv1.Guarantee
}

func (l *guaranteeList) add(dataCentre, account string, count uint32, shape *apiv1.Shape) {
	guarantee := &apiv1.Guarantee{Account: account, DataCentre: dataCentre, Shape: shape, Count: count}
	l.list = append(l.list, guarantee)
}
