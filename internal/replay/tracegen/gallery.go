package tracegen

import (
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
)

var galleryDataCentres = []dataCentre{
	{"caxias-do-sul", []int{8, 8, 8}},
	{"porto-alegre", []int{8, 8}},
	{"pelotas", []int{8, 2}},
}

// GalleryDay returns a day of the watch face galleries: 50 workers in three data centres, at most eight per rack, that run
// live previews and renders, large rendering gangs and patient packaging.
func GalleryDay(seed uint64) *replay.Trace {
	g := newGenerator("gallery-day", seed, gallerySheet())
	g.coresPerAccelerator, g.memoryPerAccelerator = 4, 6<<10
	g.declarationBias["archive"], g.declarationBias["studio-bento"] = 2, 0.4
	for _, dc := range galleryDataCentres {
		g.addWorkers(dc, 64<<10)
		for _, w := range galleryWorkloads() {
			g.submitJobs(g.drawJobs(dc, w), w)
		}
	}
	g.failJobs(6)
	g.failWorker("porto-alegre-1-5", 10*hour, 13*hour)
	g.failWorker("pelotas-1-2", 18*hour, 20*hour)
	g.loseRack("caxias-do-sul", "caxias-do-sul-2", 13*hour+10*time.Minute, 16*hour)
	g.failWorker("caxias-do-sul-1-1", 14*hour, 15*hour)
	g.cancelRecentJobs(12*hour, 4*hour, "studio-bento", "")
	g.cancelRecentJobs(17*hour, 6*hour, "archive", "")
	g.cancelRecentJobs(20*hour, 3*hour, "studio-aurora", "")
	return g.trace()
}

func galleryWorkloads() []workload {
	return []workload{
		{
			account: "designers", teams: []string{"previews"}, class: urgentClass,
			shapes:    []weightedShape{{1, shape(1, 1, onWorker)}},
			medianRun: 2 * time.Minute, sigma: 0.8, minRun: 10 * time.Second, maxRun: 10 * time.Minute,
			acceleratorShare: 0.008, hourWeights: daytime, slack: [2]float64{2, 5}, maxConcurrent: 2,
		},
		{
			account: "designers", teams: []string{"storefronts", "tools"}, class: ordinaryClass,
			shapes:    []weightedShape{{6, shape(1, 1, onWorker)}, {4, shape(1, 2, onWorker)}},
			medianRun: 10 * time.Minute, sigma: 1, minRun: 30 * time.Second, maxRun: 2 * hour,
			acceleratorShare: 0.12, hourWeights: daytime, slack: [2]float64{3, 10},
		},
		{
			account: "studio-aurora", teams: []string{"renders", "films"}, class: ordinaryClass,
			shapes: []weightedShape{
				{15, shape(1, 8, onWorker)}, {25, shape(2, 8, inRack)}, {20, shape(8, 4, inRack)},
				{30, shape(4, 8, inRack)}, {10, shape(8, 8, inRack)},
			},
			medianRun: 60 * time.Minute, sigma: 0.7, minRun: 10 * time.Minute, maxRun: 5 * hour,
			acceleratorShare: 0.3, hourWeights: daytime, slack: [2]float64{4, 10},
		},
		{
			account: "studio-bento", teams: []string{"renders"}, class: ordinaryClass,
			shapes:    []weightedShape{{3, shape(1, 2, onWorker)}, {3, shape(1, 4, onWorker)}, {4, shape(4, 4, inRack)}},
			medianRun: 40 * time.Minute, sigma: 0.9, minRun: 2 * time.Minute, maxRun: 5 * hour,
			acceleratorShare: 0.2, hourWeights: evening, slack: [2]float64{4, 10},
		},
		{
			account: "archive", teams: []string{"packaging", "thumbnails"}, class: patientClass,
			shapes: []weightedShape{
				{3, shape(1, 1, onWorker)}, {3, shape(1, 8, onWorker)}, {2, shape(2, 8, inDataCentre)}, {1, shape(16, 4, inDataCentre)},
			},
			medianRun: 50 * time.Minute, sigma: 1.1, minRun: 2 * time.Minute, maxRun: 8 * hour,
			acceleratorShare: 0.25, hourWeights: allDay,
		},
	}
}

func gallerySheet() *apiv1.Sheet {
	guarantees := guaranteeList{}
	guarantees.add("caxias-do-sul", "studio-aurora", 2, shape(4, 8, inRack))
	guarantees.add("caxias-do-sul", "studio-bento", 1, shape(4, 4, inRack))
	guarantees.add("caxias-do-sul", "studio-bento", 4, shape(1, 2, onWorker))
	guarantees.add("caxias-do-sul", "designers", 6, shape(1, 2, onWorker))
	guarantees.add("caxias-do-sul", "archive", 1, shape(1, 8, onWorker))
	guarantees.add("porto-alegre", "studio-aurora", 1, shape(4, 8, inRack))
	guarantees.add("porto-alegre", "studio-bento", 1, shape(4, 4, inRack))
	guarantees.add("porto-alegre", "designers", 6, shape(1, 2, onWorker))
	guarantees.add("porto-alegre", "archive", 1, shape(1, 8, onWorker))
	guarantees.add("pelotas", "studio-aurora", 1, shape(2, 8, inRack))
	guarantees.add("pelotas", "studio-bento", 2, shape(1, 4, onWorker))
	guarantees.add("pelotas", "designers", 4, shape(1, 2, onWorker))
	return &apiv1.Sheet{
		Accounts: []*apiv1.ClientAccount{
			{Name: "designers", Priority: 80, Weight: 30},
			{Name: "studio-aurora", Priority: 60, Weight: 40},
			{Name: "studio-bento", Priority: 50, Weight: 25},
			{Name: "archive", Priority: 10, Weight: 10},
		},
		Teams: []*apiv1.Team{
			{Account: "designers", Name: "previews"},
			{Account: "designers", Name: "storefronts", Quota: 48},
			{Account: "designers", Name: "tools", Quota: 48},
			{Account: "studio-aurora", Name: "renders", Quota: 128},
			{Account: "studio-aurora", Name: "films", Quota: 128},
			{Account: "studio-bento", Name: "renders", Quota: 96},
			{Account: "archive", Name: "packaging", Quota: 80},
			{Account: "archive", Name: "thumbnails", Quota: 80},
		},
		Guarantees: guarantees.list,
	}
}
