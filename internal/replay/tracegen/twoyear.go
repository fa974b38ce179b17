package tracegen

import (
	"fmt"
	"slices"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
)

// Expected size of the whole system in two years.
const (
	jobsPerDay       = 1700
	meanRunningTasks = 14_000
	teamCount        = 150
	accountCount     = 12
	// acceleratorLoad is the mean share of the accelerators in use.
	acceleratorLoad = 0.85
	// guaranteedAccountCount is the number of accounts with guarantees in each data centre.
	guaranteedAccountCount = 4
	// One job in urgentOneIn is urgent; one in cpuOneIn of the others uses no accelerators.
	urgentOneIn = 12
	cpuOneIn    = 2
)

// twoYearDataCentres have 720 workers in total, eight per rack, in seven data centres of three regions.
var twoYearDataCentres = []dataCentre{
	{"perth-1", racksOfEight(15)},
	{"perth-2", racksOfEight(15)},
	{"kalgoorlie", racksOfEight(13)},
	{"caxias-do-sul", racksOfEight(13)},
	{"porto-alegre", racksOfEight(12)},
	{"pelotas", racksOfEight(12)},
	{"third-region-1", racksOfEight(10)},
}

func racksOfEight(count int) []int { return slices.Repeat([]int{8}, count) }

// TwoYear returns a day of 1,700 jobs at the system's design size. The remainders of jobs from the previous days are submitted
// in the first half hour, and jobs submitted in the first two hours are excluded from the results.
func TwoYear(seed uint64) *replay.Trace {
	g := newGenerator("two-year", seed, twoYearSheet())
	const measureAfter = 2 * hour
	g.header.MeasureFromUnixMs = startMillis + measureAfter.Milliseconds()
	g.coresPerAccelerator, g.memoryPerAccelerator = 2, 6<<10
	g.declarationBias["account-03"], g.declarationBias["account-07"] = 3, 0.4
	for _, dc := range twoYearDataCentres {
		g.addWorkers(dc, 128<<10)
	}
	g.submitTwoYearJobs()
	g.failJobs(10)
	g.failWorker("perth-1-2-3", 8*hour, 11*hour)
	g.failWorker("kalgoorlie-4-1", 10*hour, 12*hour)
	g.failWorker("porto-alegre-7-8", 14*hour, 20*hour)
	g.failWorker("third-region-1-1-1", 15*hour, 16*hour)
	g.loseRack("perth-2", "perth-2-5", 13*hour, 15*hour)
	g.setWorkerCondition("pelotas-3-3", 12*hour, apiv1.TraceCondition_TRACE_CONDITION_LOST)
	g.setWorkerCondition("pelotas-3-3", 18*hour, apiv1.TraceCondition_TRACE_CONDITION_HEALTHY)
	g.cancelRecentJobs(10*hour, 6*hour, "account-02", "")
	g.cancelRecentJobs(14*hour, 8*hour, "account-05", "")
	g.cancelRecentJobs(19*hour, 8*hour, "account-09", "account-09-team-03")
	return g.trace()
}

// previousDays is the number of days before the trace whose jobs may still run when it starts.
const previousDays = 2

// submitTwoYearJobs draws the jobs of the previous days and of the day itself, scales their run times to the expected load
// and submits the jobs of the day and the remainders of the previous days' jobs.
func (g *generator) submitTwoYearJobs() {
	all := make([]drawnJob, 0, jobsPerDay*(previousDays+1))
	for dayOffset := -previousDays; dayOffset <= 0; dayOffset++ {
		for range jobsPerDay {
			next := g.drawTwoYearJob()
			next.at += time.Duration(dayOffset) * day
			all = append(all, next)
		}
	}
	scaleRuns(all)
	slices.SortStableFunc(all, func(a, b drawnJob) int { return int(a.at - b.at) })
	urgentEnds := map[urgentKey][]time.Duration{}
	for _, next := range all {
		if next.at < 0 {
			g.keepRemainder(&next)
		}
		if next.run > 0 && admitUrgent(next, urgentEnds) {
			g.submitJobs([]submission{next.submission}, next.workload)
		}
	}
}

// keepRemainder replaces the run time of a previous day's job by the part left at the start of the trace, 0 if that is less
// than a minute, and moves the submission to a random time in the first half hour.
func (g *generator) keepRemainder(next *drawnJob) {
	const submitWindow = 30 * time.Minute
	remaining := next.run + next.at
	if remaining < time.Minute {
		next.run = 0
		return
	}
	next.run = remaining
	next.at = time.Duration(g.rng.Int64N(int64(submitWindow))).Round(time.Millisecond)
}

// urgentKey identifies an account's guarantee in a data centre, which its urgent jobs share.
type urgentKey struct {
	account    string
	dataCentre string
}

// admitUrgent reports whether a job is submitted. It rejects an urgent job that would exceed half of the small shapes
// guaranteed to its account, and updates the estimated ends of the urgent jobs.
func admitUrgent(next drawnJob, urgentEnds map[urgentKey][]time.Duration) bool {
	const maxConcurrent = 3
	spec := next.job.GetSpec()
	if spec.GetWorkClass() != urgentClass {
		return true
	}
	key := urgentKey{spec.GetAccount(), spec.GetDataCentre()}
	ends := slices.DeleteFunc(urgentEnds[key], func(end time.Duration) bool { return end <= next.at })
	admitted := len(ends) < maxConcurrent
	if admitted {
		ends = append(ends, next.at+2*next.run+time.Minute)
	}
	urgentEnds[key] = ends
	return admitted
}

// drawnJob is a submission and the workload from which it was drawn.
type drawnJob struct {
	submission
	workload workload
}

// drawTwoYearJob returns an urgent job or a random job of a random team.
func (g *generator) drawTwoYearJob() drawnJob {
	if g.rng.IntN(urgentOneIn) == 0 {
		return g.drawUrgentJob()
	}
	team := g.rng.IntN(teamCount - accountCount)
	dc := teamDataCentre(team)
	w := workload{
		account: teamAccount(team), teams: []string{teamName(team)}, class: ordinaryClass, hourWeights: daytime,
		medianRun: 5 * hour, sigma: 0.7, minRun: 10 * time.Minute, maxRun: 30 * hour,
		shapes: acceleratorShapes, slack: [2]float64{2, 6},
	}
	if g.rng.IntN(cpuOneIn) == 0 {
		w.shapes = cpuShapes
	}
	if team%3 == 0 {
		w.class, w.hourWeights, w.slack = patientClass, allDay, [2]float64{}
	}
	return drawnJob{submission: g.drawJob(twoYearDataCentres[dc], w), workload: w}
}

func (g *generator) drawUrgentJob() drawnJob {
	dc := g.rng.IntN(len(twoYearDataCentres))
	account := guaranteedAccounts(dc)[g.rng.IntN(guaranteedAccountCount)]
	w := workload{
		account: accountName(account), teams: []string{urgentTeam}, class: urgentClass, hourWeights: daytime,
		medianRun: 6 * time.Minute, sigma: 0.6, minRun: 30 * time.Second, maxRun: 30 * time.Minute,
		shapes: []weightedShape{{7, shape(1, 1, onWorker)}, {3, shape(1, 2, onWorker)}},
		slack:  [2]float64{2, 5},
	}
	return drawnJob{submission: g.drawJob(twoYearDataCentres[dc], w), workload: w}
}

var (
	acceleratorShapes = []weightedShape{
		{20, shape(1, 1, onWorker)}, {12, shape(1, 4, onWorker)}, {14, shape(1, 8, onWorker)}, {14, shape(8, 1, inRack)},
		{12, shape(2, 8, inRack)}, {8, shape(4, 8, inRack)}, {8, shape(8, 4, inRack)}, {6, shape(32, 1, inDataCentre)},
		{4, shape(16, 4, inDataCentre)}, {2, shape(64, 1, inDataCentre)},
	}
	cpuShapes = []weightedShape{
		{25, shape(8, 0, inDataCentre)}, {30, shape(16, 0, inDataCentre)},
		{25, shape(32, 0, inDataCentre)}, {20, shape(64, 0, inDataCentre)},
	}
)

// scaleRuns scales the run times to the expected accelerator load and, with the jobs that use no accelerators, to the
// expected number of running tasks. It doesn't change urgent jobs.
func scaleRuns(all []drawnJob) {
	var acceleratorTime, acceleratorTaskHours, cpuTaskHours float64
	for _, next := range all {
		taskHours := float64(next.job.GetSpec().GetShape().GetMembers()) * next.run.Hours()
		switch {
		case next.job.GetSpec().GetWorkClass() == urgentClass:
		case next.job.GetSpec().GetShape().GetAccelerators() == 0:
			cpuTaskHours += taskHours
		default:
			acceleratorTaskHours += taskHours
			acceleratorTime += acceleratorHours(next.submission)
		}
	}
	accelerators := 0
	for _, dc := range twoYearDataCentres {
		accelerators += dc.acceleratorCount()
	}
	hours := day.Hours() * (previousDays + 1)
	acceleratorFactor := acceleratorLoad * float64(accelerators) * hours / acceleratorTime
	cpuFactor := (meanRunningTasks*hours - acceleratorTaskHours*acceleratorFactor) / cpuTaskHours
	for i := range all {
		spec := all[i].job.GetSpec()
		if spec.GetWorkClass() == urgentClass {
			continue
		}
		factor := acceleratorFactor
		if spec.GetShape().GetAccelerators() == 0 {
			factor = cpuFactor
		}
		all[i].run = time.Duration(factor * float64(all[i].run)).Round(time.Second)
	}
}

// urgentTeam is the team of every account that submits its urgent jobs.
const urgentTeam = "desk"

func accountName(account int) string { return fmt.Sprintf("account-%02d", account+1) }

// teamAccount, teamName and teamDataCentre distribute the teams over the accounts and over the data centres in which their
// account has guarantees.
func teamAccount(team int) string { return accountName(team % accountCount) }

func teamName(team int) string {
	return fmt.Sprintf("%s-team-%02d", teamAccount(team), team/accountCount+1)
}

func teamDataCentre(team int) int {
	var dataCentres []int
	for dc := range twoYearDataCentres {
		if slices.Contains(guaranteedAccounts(dc), team%accountCount) {
			dataCentres = append(dataCentres, dc)
		}
	}
	return dataCentres[team/accountCount%len(dataCentres)]
}

// guaranteedAccounts returns the indexes of the accounts with guarantees in a data centre.
func guaranteedAccounts(dc int) []int {
	accounts := make([]int, guaranteedAccountCount)
	for i := range accounts {
		accounts[i] = (dc*2 + i) % accountCount
	}
	return accounts
}

func twoYearSheet() *apiv1.Sheet {
	sheet := &apiv1.Sheet{}
	for account := range accountCount {
		sheet.Accounts = append(sheet.Accounts, &apiv1.ClientAccount{
			Name: accountName(account), Priority: uint32(10 + account%4*20), Weight: uint32(10 + account%3*10),
		})
		sheet.Teams = append(sheet.Teams, &apiv1.Team{Account: accountName(account), Name: urgentTeam})
	}
	for team := range teamCount - accountCount {
		sheet.Teams = append(sheet.Teams, &apiv1.Team{
			Account: teamAccount(team), Name: teamName(team), Quota: uint32(64 + team%4*32),
		})
	}
	guarantees := guaranteeList{}
	for i, dc := range twoYearDataCentres {
		for _, account := range guaranteedAccounts(i) {
			guarantees.add(dc.name, accountName(account), 1, shape(4, 8, inRack))
			guarantees.add(dc.name, accountName(account), 1, shape(8, 4, inRack))
			guarantees.add(dc.name, accountName(account), 3, shape(1, 8, onWorker))
			guarantees.add(dc.name, accountName(account), 6, shape(1, 2, onWorker))
		}
	}
	sheet.Guarantees = guarantees.list
	return sheet
}
