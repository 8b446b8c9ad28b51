package e2e

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/local"
	"github.com/plantainstair/plantainstair/pkg/operators"
)

// BenchmarkInForce measures the time from sending a configuration change to its
// confirmation by every entry and agent. The deployment has the current
// production size: 3 control replicas, 3 entries, 40 engine servers and 3 service
// servers.
func BenchmarkInForce(b *testing.B) {
	plan := local.DefaultPlan()
	plan.Entries, plan.ServiceReplicas = 3, 3
	for i := range plan.Stages {
		plan.Stages[i].EngineCount = 20
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	d, err := local.Launch(ctx, plan, b.TempDir(), binaries)
	assert.NilError(b, err)
	defer d.Kill()
	var took []time.Duration
	watchers := 0
	for i := 0; b.Loop(); i++ {
		current, err := d.Admin().Catalogue(ctx, nil)
		assert.NilError(b, err)
		started := time.Now()
		reply, err := d.Admin().Apply(ctx, &operators.ChangeRequest{
			BaseRevision: current.Revision, Wait: true, WaitMs: 5000,
			Put: []operators.Entry{organisationEntry(fmt.Sprintf("o%d", i%10), uint32(i%100+1))},
		})
		assert.NilError(b, err)
		assert.Assert(b, reply.Confirmation.Confirmed)
		took = append(took, time.Since(started))
		watchers = reply.Confirmation.Watchers
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2])/1e6, "p50-ms")
	b.ReportMetric(float64(took[len(took)*95/100])/1e6, "p95-ms")
	b.ReportMetric(float64(took[len(took)-1])/1e6, "max-ms")
	b.ReportMetric(float64(watchers), "watchers")
}
