package agent

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// The number of metrics must not grow with the number of organisations, and
// names that are not in the catalogue must not become labels.
func TestMetrics_ManyOrganisationsShareOneLabel(t *testing.T) {
	fake := newFakeControl()
	n := startAgent(t, "a", fake, nil)
	for i := range 10 * maxOrganisationLabels {
		name := fmt.Sprint("o", i)
		if i%2 == 0 {
			fake.view.Organisations[name] = &wirepb.Entry{}
		}
		err := fault.New(fault.Overloaded, "full").WithOutcome(fault.NotRun)
		n.agent.metrics.recordRequest("call", wirepb.Rank_RANK_BATCH, n.agent.organisationLabel(name), err, 0)
	}
	var text bytes.Buffer
	n.agent.metrics.set.WritePrometheus(&text)
	assert.Equal(t, strings.Count(text.String(), "plantain_agent_requests_total{"), maxOrganisationLabels+1)
	assert.Assert(t, strings.Contains(text.String(), `plantain_agent_requests_total{kind="call",rank="batch",organisation="o0",outcome="not_run"} 1`))
	assert.Assert(t, !strings.Contains(text.String(), `organisation="o1"`))
}
