package metrics_test

import (
	"testing"

	"github.com/dotterelgauge/dotterelgauge/internal/metrics"
)

// Guards against a metrics page that isn't JSON, with and without a shortage.
func TestSharesAreShownAsJSON(t *testing.T) {
	var shares metrics.Shares
	if got := shares.String(); got != "{}" {
		t.Errorf("%s without a shortage", got)
	}
	shares.Set(map[string]metrics.Share{"a": {Due: 1, Used: 2}})
	if got := shares.String(); got != `{"a":{"due":1,"used":2}}` {
		t.Errorf("the page shows %s", got)
	}
}
