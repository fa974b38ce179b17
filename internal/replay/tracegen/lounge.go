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

var loungeSites = []site{
	{"perth-1", []int{6, 6, 6}},
	{"perth-2", []int{6, 6, 6}},
	{"kalgoorlie", []int{6, 2}},
	{"broome", []int{6}},
}

// Lounge makes a day of the lounge access service: 50 workers in four data centres, six to a rack;
// entitlement checks, reconciliation, settlement gangs in the evening, patient analytics.
func Lounge(seed uint64) *replay.Trace {
	m := newMaker("lounge-day", seed, loungeSheet())
	m.coresPerAccelerator, m.memoryPerAccelerator = 4, 8<<10
	m.bias["analytics"], m.bias["partners"] = 3, 0.5
	for _, place := range loungeSites {
		m.buy(place, 128<<10)
		for _, wanted := range loungeKinds() {
			m.submit(m.fill(place, wanted), wanted)
		}
	}
	m.spoil(6)
	m.failing("perth-2-1-2", 9*hour, 12*hour)
	m.failing("kalgoorlie-1-3", 16*hour, 18*hour)
	m.loseRack("perth-1", "perth-1-3", 14*hour+20*time.Minute, 17*hour)
	m.failing("perth-1-1-4", 15*hour, 16*hour)
	m.wave(11*hour, 3*hour, "partners", "")
	m.wave(15*hour+30*time.Minute, 6*hour, "analytics", "")
	m.wave(21*hour, 2*hour, "settlement", "")
	return m.trace()
}

func loungeKinds() []kind {
	return []kind{
		{
			account: "members", teams: []string{"desk"}, class: urgentClass,
			shapes: []weightedShape{{7, shape(1, 1, onWorker)}, {3, shape(1, 2, onWorker)}},
			median: 3 * time.Minute, sigma: 0.8, shortest: 10 * time.Second, longest: 15 * time.Minute,
			load: 0.012, hours: daytime, slack: [2]float64{2, 5}, most: 4,
		},
		{
			account: "members", teams: []string{"kiosks", "passes"}, class: ordinaryClass,
			shapes: []weightedShape{{4, shape(1, 1, onWorker)}, {3, shape(1, 2, onWorker)}, {3, shape(1, 4, onWorker)}},
			median: 15 * time.Minute, sigma: 1, shortest: time.Minute, longest: 3 * hour,
			load: 0.13, hours: daytime, slack: [2]float64{3, 10},
		},
		{
			account: "partners", teams: []string{"reconciliation"}, class: ordinaryClass,
			shapes: []weightedShape{
				{3, shape(1, 2, onWorker)}, {3, shape(1, 4, onWorker)}, {2, shape(1, 8, onWorker)}, {2, shape(2, 8, inRack)},
			},
			median: 30 * time.Minute, sigma: 0.9, shortest: 2 * time.Minute, longest: 5 * hour,
			load: 0.25, hours: daytime, slack: [2]float64{3, 8},
		},
		{
			account: "settlement", teams: []string{"nightly"}, class: ordinaryClass,
			shapes: []weightedShape{
				{3, shape(2, 8, inRack)}, {3, shape(4, 8, inRack)}, {2, shape(8, 4, anywhere)}, {1, shape(8, 8, anywhere)},
			},
			median: 75 * time.Minute, sigma: 0.6, shortest: 15 * time.Minute, longest: 5 * hour,
			load: 0.25, hours: evening, slack: [2]float64{3, 6},
		},
		{
			account: "analytics", teams: []string{"reports", "models"}, class: patientClass,
			shapes: []weightedShape{
				{4, shape(1, 1, onWorker)}, {3, shape(1, 4, onWorker)}, {2, shape(2, 8, anywhere)}, {1, shape(16, 1, anywhere)},
			},
			median: 40 * time.Minute, sigma: 1.1, shortest: 2 * time.Minute, longest: 8 * hour,
			load: 0.25, hours: evenly,
		},
	}
}

func loungeSheet() *apiv1.Sheet {
	g := guaranteeList{}
	g.add("perth-1", "members", 8, shape(1, 2, onWorker))
	g.add("perth-1", "members", 2, shape(1, 8, onWorker))
	g.add("perth-1", "partners", 1, shape(2, 8, inRack))
	g.add("perth-1", "settlement", 1, shape(4, 8, inRack))
	g.add("perth-1", "analytics", 1, shape(1, 4, onWorker))
	g.add("perth-2", "members", 8, shape(1, 2, onWorker))
	g.add("perth-2", "partners", 1, shape(2, 8, inRack))
	g.add("perth-2", "settlement", 1, shape(4, 8, inRack))
	g.add("perth-2", "analytics", 1, shape(1, 4, onWorker))
	g.add("kalgoorlie", "members", 4, shape(1, 2, onWorker))
	g.add("kalgoorlie", "partners", 1, shape(1, 8, onWorker))
	g.add("kalgoorlie", "settlement", 1, shape(2, 8, inRack))
	g.add("broome", "members", 4, shape(1, 2, onWorker))
	g.add("broome", "partners", 1, shape(1, 4, onWorker))
	g.add("broome", "settlement", 1, shape(2, 8, inRack))
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
		Guarantees: g.rows,
	}
}

// guaranteeList gathers the guarantees of a sheet.
type guaranteeList struct {
	rows []*apiv1.Guarantee
}

func (g *guaranteeList) add(dataCentre, account string, count uint32, wanted *apiv1.Shape) {
	row := &apiv1.Guarantee{Account: account, DataCentre: dataCentre, Shape: wanted, Count: count}
	g.rows = append(g.rows, row)
}
