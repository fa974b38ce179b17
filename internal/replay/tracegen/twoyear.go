package tracegen

import (
	"fmt"
	"slices"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
)

// The size of two years from now, for the whole system.
const (
	jobsADay         = 1700
	runningTasks     = 14_000
	teamCount        = 150
	accountCount     = 12
	acceleratorLoad  = 0.85
	guaranteeHolders = 4
	// urgentOneIn and cpuOneIn are how often a job is urgent, and how often one of the others takes no accelerators.
	urgentOneIn = 12
	cpuOneIn    = 2
)

// twoYearSites hold 720 workers, eight to a rack, in seven data centres of three regions.
var twoYearSites = []site{
	{"perth-1", racksOf(15)},
	{"perth-2", racksOf(15)},
	{"kalgoorlie", racksOf(13)},
	{"caxias-do-sul", racksOf(13)},
	{"porto-alegre", racksOf(12)},
	{"pelotas", racksOf(12)},
	{"third-region-1", racksOf(10)},
}

func racksOf(count int) []int { return slices.Repeat([]int{8}, count) }

// TwoYear makes a day of 1,700 jobs at the size to design for, with what was running the night before
// submitted in its first half hour and measured from its second hour on.
func TwoYear(seed uint64) *replay.Trace {
	m := newMaker("two-year", seed, twoYearSheet())
	const warmUp = 2 * hour
	m.header.MeasureFromUnixMs = startMillis + warmUp.Milliseconds()
	m.coresPerAccelerator, m.memoryPerAccelerator = 2, 6<<10
	m.bias["account-03"], m.bias["account-07"] = 3, 0.4
	for _, place := range twoYearSites {
		m.buy(place, 128<<10)
	}
	m.submitDays()
	m.spoil(10)
	m.failing("perth-1-2-3", 8*hour, 11*hour)
	m.failing("kalgoorlie-4-1", 10*hour, 12*hour)
	m.failing("porto-alegre-7-8", 14*hour, 20*hour)
	m.failing("third-region-1-1-1", 15*hour, 16*hour)
	m.loseRack("perth-2", "perth-2-5", 13*hour, 15*hour)
	m.worker("pelotas-3-3", 12*hour, apiv1.TraceCondition_TRACE_CONDITION_LOST)
	m.worker("pelotas-3-3", 18*hour, apiv1.TraceCondition_TRACE_CONDITION_HEALTHY)
	m.wave(10*hour, 6*hour, "account-02", "")
	m.wave(14*hour, 8*hour, "account-05", "")
	m.wave(19*hour, 8*hour, "account-09", "account-09-team-03")
	return m.trace()
}

// warmDays are the days before the trace whose jobs may still run when it begins.
const warmDays = 2

// submitDays draws the days before and the day itself, scales the run times to the stated load and
// keeps of the days before what still runs.
func (m *maker) submitDays() {
	all := make([]drawnJob, 0, jobsADay*(warmDays+1))
	for dayAt := -warmDays; dayAt <= 0; dayAt++ {
		for range jobsADay {
			next := m.twoYearJob()
			next.at += time.Duration(dayAt) * day
			all = append(all, next)
		}
	}
	scaleRuns(all)
	slices.SortStableFunc(all, func(a, b drawnJob) int { return int(a.at - b.at) })
	underWay := map[urgentPlace][]time.Duration{}
	for _, next := range all {
		if next.at < 0 {
			m.keepRest(&next)
		}
		if next.run > 0 && admitUrgent(next, underWay) {
			m.submit([]submission{next.submission}, next.wanted)
		}
	}
}

// keepRest turns a job of the days before into what is left of it, submitted in the first half hour.
func (m *maker) keepRest(next *drawnJob) {
	const settle = 30 * time.Minute
	left := next.run + next.at
	if left < time.Minute {
		next.run = 0
		return
	}
	next.run = left
	next.at = time.Duration(m.rng.Int64N(int64(settle))).Round(time.Millisecond)
}

// urgentPlace is where an account's urgent jobs share its guarantee.
type urgentPlace struct {
	account    string
	dataCentre string
}

// admitUrgent drops urgent jobs beyond half of the small shapes that their account is guaranteed.
func admitUrgent(next drawnJob, underWay map[urgentPlace][]time.Duration) bool {
	const most = 3
	spec := next.job.GetSpec()
	if spec.GetWorkClass() != urgentClass {
		return true
	}
	place := urgentPlace{spec.GetAccount(), spec.GetDataCentre()}
	ends := slices.DeleteFunc(underWay[place], func(end time.Duration) bool { return end <= next.at })
	admitted := len(ends) < most
	if admitted {
		ends = append(ends, next.at+2*next.run+time.Minute)
	}
	underWay[place] = ends
	return admitted
}

type drawnJob struct {
	submission
	wanted kind
}

// twoYearJob draws a job of a random team.
func (m *maker) twoYearJob() drawnJob {
	if m.rng.IntN(urgentOneIn) == 0 {
		return m.urgentJob()
	}
	team := m.rng.IntN(teamCount - accountCount)
	home := teamHome(team)
	wanted := kind{
		account: teamAccount(team), teams: []string{teamName(team)}, class: ordinaryClass, hours: daytime,
		median: 5 * hour, sigma: 0.7, shortest: 10 * time.Minute, longest: 30 * hour,
		shapes: acceleratorShapes, slack: [2]float64{2, 6},
	}
	if m.rng.IntN(cpuOneIn) == 0 {
		wanted.shapes = cpuShapes
	}
	if team%3 == 0 {
		wanted.class, wanted.hours, wanted.slack = patientClass, evenly, [2]float64{}
	}
	return drawnJob{submission: m.draw(twoYearSites[home], wanted), wanted: wanted}
}

func (m *maker) urgentJob() drawnJob {
	site := m.rng.IntN(len(twoYearSites))
	account := holdersAt(site)[m.rng.IntN(guaranteeHolders)]
	wanted := kind{
		account: accountName(account), teams: []string{deskTeam}, class: urgentClass, hours: daytime,
		median: 6 * time.Minute, sigma: 0.6, shortest: 30 * time.Second, longest: 30 * time.Minute,
		shapes: []weightedShape{{7, shape(1, 1, onWorker)}, {3, shape(1, 2, onWorker)}},
		slack:  [2]float64{2, 5},
	}
	return drawnJob{submission: m.draw(twoYearSites[site], wanted), wanted: wanted}
}

var (
	acceleratorShapes = []weightedShape{
		{20, shape(1, 1, onWorker)}, {12, shape(1, 4, onWorker)}, {14, shape(1, 8, onWorker)}, {14, shape(8, 1, inRack)},
		{12, shape(2, 8, inRack)}, {8, shape(4, 8, inRack)}, {8, shape(8, 4, inRack)}, {6, shape(32, 1, anywhere)},
		{4, shape(16, 4, anywhere)}, {2, shape(64, 1, anywhere)},
	}
	cpuShapes = []weightedShape{
		{25, shape(8, 0, anywhere)}, {30, shape(16, 0, anywhere)}, {25, shape(32, 0, anywhere)}, {20, shape(64, 0, anywhere)},
	}
)

// scaleRuns stretches the run times so that a day asks for the stated accelerator load and, with the
// other tasks, keeps the stated number of tasks running.
func scaleRuns(all []drawnJob) {
	var withTime, withTasks, withoutTasks float64
	for _, next := range all {
		tasks := float64(next.job.GetSpec().GetShape().GetMembers()) * next.run.Hours()
		switch {
		case next.job.GetSpec().GetWorkClass() == urgentClass:
		case next.job.GetSpec().GetShape().GetAccelerators() == 0:
			withoutTasks += tasks
		default:
			withTasks += tasks
			withTime += acceleratorHours(next.submission)
		}
	}
	total := 0
	for _, place := range twoYearSites {
		total += place.accelerators()
	}
	hours := day.Hours() * (warmDays + 1)
	withFactor := acceleratorLoad * float64(total) * hours / withTime
	withoutFactor := (runningTasks*hours - withTasks*withFactor) / withoutTasks
	for at := range all {
		spec := all[at].job.GetSpec()
		if spec.GetWorkClass() == urgentClass {
			continue
		}
		factor := withFactor
		if spec.GetShape().GetAccelerators() == 0 {
			factor = withoutFactor
		}
		all[at].run = time.Duration(factor * float64(all[at].run)).Round(time.Second)
	}
}

const deskTeam = "desk"

func accountName(account int) string { return fmt.Sprintf("account-%02d", account+1) }

// teamAccount, teamName and teamHome spread the teams over the accounts and the data centres that
// hold their account's guarantees.
func teamAccount(team int) string { return accountName(team % accountCount) }

func teamName(team int) string {
	return fmt.Sprintf("%s-team-%02d", teamAccount(team), team/accountCount+1)
}

func teamHome(team int) int {
	var homes []int
	for place := range twoYearSites {
		if slices.Contains(holdersAt(place), team%accountCount) {
			homes = append(homes, place)
		}
	}
	return homes[team/accountCount%len(homes)]
}

// holdersAt lists the accounts with guarantees at a data centre.
func holdersAt(place int) []int {
	holders := make([]int, guaranteeHolders)
	for at := range holders {
		holders[at] = (place*2 + at) % accountCount
	}
	return holders
}

func twoYearSheet() *apiv1.Sheet {
	sheet := &apiv1.Sheet{}
	for account := range accountCount {
		sheet.Accounts = append(sheet.Accounts, &apiv1.ClientAccount{
			Name: accountName(account), Priority: uint32(10 + account%4*20), Weight: uint32(10 + account%3*10),
		})
		sheet.Teams = append(sheet.Teams, &apiv1.Team{Account: accountName(account), Name: deskTeam})
	}
	for team := range teamCount - accountCount {
		sheet.Teams = append(sheet.Teams, &apiv1.Team{
			Account: teamAccount(team), Name: teamName(team), Quota: uint32(64 + team%4*32),
		})
	}
	g := guaranteeList{}
	for at, place := range twoYearSites {
		for _, holder := range holdersAt(at) {
			g.add(place.name, accountName(holder), 1, shape(4, 8, inRack))
			g.add(place.name, accountName(holder), 1, shape(8, 4, inRack))
			g.add(place.name, accountName(holder), 3, shape(1, 8, onWorker))
			g.add(place.name, accountName(holder), 6, shape(1, 2, onWorker))
		}
	}
	sheet.Guarantees = g.rows
	return sheet
}
