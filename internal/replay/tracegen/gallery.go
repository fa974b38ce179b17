package tracegen

import (
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
)

var gallerySites = []site{
	{"caxias-do-sul", []int{8, 8, 8}},
	{"porto-alegre", []int{8, 8}},
	{"pelotas", []int{8, 2}},
}

// Gallery makes a day of the watch face galleries: 50 workers in three data centres, eight to a rack;
// live previews and renders, large rendering gangs, patient packaging.
func Gallery(seed uint64) *replay.Trace {
	m := newMaker("gallery-day", seed, gallerySheet())
	m.coresPerAccelerator, m.memoryPerAccelerator = 4, 6<<10
	m.bias["archive"], m.bias["studio-bento"] = 2, 0.4
	for _, place := range gallerySites {
		m.buy(place, 64<<10)
		for _, wanted := range galleryKinds() {
			m.submit(m.fill(place, wanted), wanted)
		}
	}
	m.spoil(6)
	m.failing("porto-alegre-1-5", 10*hour, 13*hour)
	m.failing("pelotas-1-2", 18*hour, 20*hour)
	m.loseRack("caxias-do-sul", "caxias-do-sul-2", 13*hour+10*time.Minute, 16*hour)
	m.failing("caxias-do-sul-1-1", 14*hour, 15*hour)
	m.wave(12*hour, 4*hour, "studio-bento", "")
	m.wave(17*hour, 6*hour, "archive", "")
	m.wave(20*hour, 3*hour, "studio-aurora", "")
	return m.trace()
}

func galleryKinds() []kind {
	return []kind{
		{
			account: "designers", teams: []string{"previews"}, class: urgentClass,
			shapes: []weightedShape{{1, shape(1, 1, onWorker)}},
			median: 2 * time.Minute, sigma: 0.8, shortest: 10 * time.Second, longest: 10 * time.Minute,
			load: 0.008, hours: daytime, slack: [2]float64{2, 5}, most: 2,
		},
		{
			account: "designers", teams: []string{"storefronts", "tools"}, class: ordinaryClass,
			shapes: []weightedShape{{6, shape(1, 1, onWorker)}, {4, shape(1, 2, onWorker)}},
			median: 10 * time.Minute, sigma: 1, shortest: 30 * time.Second, longest: 2 * hour,
			load: 0.12, hours: daytime, slack: [2]float64{3, 10},
		},
		{
			account: "studio-aurora", teams: []string{"renders", "films"}, class: ordinaryClass,
			shapes: []weightedShape{
				{15, shape(1, 8, onWorker)}, {25, shape(2, 8, inRack)}, {20, shape(8, 4, inRack)},
				{30, shape(4, 8, inRack)}, {10, shape(8, 8, inRack)},
			},
			median: 60 * time.Minute, sigma: 0.7, shortest: 10 * time.Minute, longest: 5 * hour,
			load: 0.3, hours: daytime, slack: [2]float64{4, 10},
		},
		{
			account: "studio-bento", teams: []string{"renders"}, class: ordinaryClass,
			shapes: []weightedShape{{3, shape(1, 2, onWorker)}, {3, shape(1, 4, onWorker)}, {4, shape(4, 4, inRack)}},
			median: 40 * time.Minute, sigma: 0.9, shortest: 2 * time.Minute, longest: 5 * hour,
			load: 0.2, hours: evening, slack: [2]float64{4, 10},
		},
		{
			account: "archive", teams: []string{"packaging", "thumbnails"}, class: patientClass,
			shapes: []weightedShape{
				{3, shape(1, 1, onWorker)}, {3, shape(1, 8, onWorker)}, {2, shape(2, 8, anywhere)}, {1, shape(16, 4, anywhere)},
			},
			median: 50 * time.Minute, sigma: 1.1, shortest: 2 * time.Minute, longest: 8 * hour,
			load: 0.25, hours: evenly,
		},
	}
}

func gallerySheet() *apiv1.Sheet {
	g := guaranteeList{}
	g.add("caxias-do-sul", "studio-aurora", 2, shape(4, 8, inRack))
	g.add("caxias-do-sul", "studio-bento", 1, shape(4, 4, inRack))
	g.add("caxias-do-sul", "studio-bento", 4, shape(1, 2, onWorker))
	g.add("caxias-do-sul", "designers", 6, shape(1, 2, onWorker))
	g.add("caxias-do-sul", "archive", 1, shape(1, 8, onWorker))
	g.add("porto-alegre", "studio-aurora", 1, shape(4, 8, inRack))
	g.add("porto-alegre", "studio-bento", 1, shape(4, 4, inRack))
	g.add("porto-alegre", "designers", 6, shape(1, 2, onWorker))
	g.add("porto-alegre", "archive", 1, shape(1, 8, onWorker))
	g.add("pelotas", "studio-aurora", 1, shape(2, 8, inRack))
	g.add("pelotas", "studio-bento", 2, shape(1, 4, onWorker))
	g.add("pelotas", "designers", 4, shape(1, 2, onWorker))
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
		Guarantees: g.rows,
	}
}
