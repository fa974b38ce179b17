package replay

import (
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
	"github.com/dotterelgauge/dotterelgauge/internal/policymsg"
)

// configuration is a sheet as the policy of one data centre sees it.
type configuration struct {
	accounts   []policy.Account
	teams      []policy.Team
	guarantees []policy.Guarantee
}

func configurationOf(sheet *apiv1.Sheet, dataCentre string) configuration {
	return configuration{
		accounts:   policymsg.Accounts(sheet),
		teams:      policymsg.Teams(sheet),
		guarantees: policymsg.Guarantees(sheet, dataCentre),
	}
}

func jobOf(submitted *apiv1.TraceJob, nowMillis int64) policy.Job {
	return policymsg.Job(submitted.GetId(), submitted.GetSpec(), nowMillis)
}
