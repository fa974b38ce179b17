package conn

import (
	"context"
	"io"
	"net/http"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// maxReportBytes bounds the usage report of a probe.
const maxReportBytes = 256 << 10

// finding is what a probe found.
type finding struct {
	// answered says that the worker answered on a new connection.
	answered bool
	// busy says that the worker runs requests.
	busy bool
}

// probe asks the worker for its usage on a new connection. Probes of the same worker at once are one.
func (t *Transport) probe(address string) finding {
	found, _, _ := t.probes.Do(address, func() (any, error) {
		return t.probeOnce(address), nil
	})
	return found.(finding)
}

func (t *Transport) probeOnce(address string) finding {
	t.counters.probes.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), t.config.ProbeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/usage", http.NoBody)
	if err != nil {
		return finding{}
	}
	fresh := &http.Transport{DialContext: t.config.Dial, DisableKeepAlives: true}
	defer fresh.CloseIdleConnections()
	response, err := fresh.RoundTrip(request)
	if err != nil {
		return finding{}
	}
	defer response.Body.Close()
	report, ok := readReport(response)
	if !ok {
		return finding{}
	}
	t.counters.answered.Add(1)
	return finding{answered: true, busy: report.GetBusySlots() > 0}
}

// readReport decodes a usage report; false means that the worker's answer is none.
func readReport(response *http.Response) (*apiv1.UsageReport, bool) {
	if response.StatusCode != http.StatusOK {
		return nil, false
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return nil, false
	}
	report := &apiv1.UsageReport{}
	if err := proto.Unmarshal(body, report); err != nil {
		return nil, false
	}
	return report, true
}
