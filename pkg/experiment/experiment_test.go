package experiment

import (
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/plantainstair/plantainstair/pkg/load"
)

// resultWithOutage returns a run that receives one token per millisecond, except
// between from and until.
func resultWithOutage(from, until time.Duration) *RunResult {
	result := &RunResult{Scenario: &load.Scenario{Run: load.Run{Duration: 10 * time.Second}}, InjectedAt: from}
	r := &load.Result{}
	for at := time.Duration(0); at < result.Scenario.Run.Duration; at += time.Millisecond {
		if at < from || at >= until {
			r.TokenTimes = append(r.TokenTimes, at)
		}
	}
	result.Results = []*load.Result{r}
	return result
}

// Guards against a recovery time that includes the measurement window, or that
// ends before the throughput has dropped.
func TestRecoveryTime_MatchesOutage(t *testing.T) {
	reference := resultWithOutage(0, 0)
	rapid.Check(t, func(t *rapid.T) {
		from := time.Duration(rapid.IntRange(2000, 4000).Draw(t, "from")) * time.Millisecond
		outage := time.Duration(rapid.IntRange(100, 3000).Draw(t, "outage")) * time.Millisecond
		got, ok := resultWithOutage(from, from+outage).RecoveryTime(reference)
		assert.Assert(t, ok)
		allowed := time.Duration((1 - recoveryShare) * float64(recoveryWindow))
		difference := got - max(0, outage-allowed)
		assert.Assert(t, difference.Abs() <= 2*recoveryStep, "%s after an outage of %s", got, outage)
	})
	_, ok := resultWithOutage(4*time.Second, 10*time.Second).RecoveryTime(reference)
	assert.Assert(t, !ok)
}

// Guards against a recovery time that ignores a drop that begins some time after
// the fault.
func TestRecoveryTime_IncludesDelayedLoss(t *testing.T) {
	delayed := resultWithOutage(5800*time.Millisecond, 6800*time.Millisecond)
	delayed.InjectedAt = 4 * time.Second
	got, ok := delayed.RecoveryTime(resultWithOutage(0, 0))
	assert.Assert(t, ok)
	assert.Assert(t, got >= 2700*time.Millisecond && got <= 2800*time.Millisecond, "%s", got)
}

// Guards against scenarios that do not parse, or whose ranks and capacities differ
// from those of the deployment plan.
func TestScenarios_MatchPlan(t *testing.T) {
	files, err := scenarios.ReadDir("scenarios")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	classes := make(map[string]string)
	for _, o := range CurrentSizePlan(0).Organisations {
		classes[o.Key] = o.Class
	}
	for _, f := range files {
		data, err := scenarios.ReadFile("scenarios/" + f.Name())
		assert.NilError(t, err)
		fill := strings.NewReplacer("{entries}", "127.0.0.1:1", "{seed}", "1")
		s, err := load.ParseScenario(f.Name(), []byte(fill.Replace(string(data))))
		assert.NilError(t, err)
		for _, m := range s.Mixes {
			key := strings.ReplaceAll(m.APIKeyPattern, "{n}", "0")
			assert.Equal(t, classes[key], m.Rank, "%s: %s", f.Name(), m.Name)
		}
		for _, c := range s.Capacities {
			if c.Service != "" {
				continue
			}
			assert.Equal(t, c.Slots, engineSlots)
			assert.Assert(t, c.Step == fastStep || c.Step == slowStep)
			assert.Equal(t, c.StepPerSession, stepPerSession)
			assert.Equal(t, c.PrefillPerToken, prefillPerToken)
		}
	}
}

// Guards against a wrong element or unit, and against a panic without values.
func TestQuantile_ReturnsMillisecondsOrNaN(t *testing.T) {
	assert.Assert(t, math.IsNaN(quantile(nil, 0.5)))
	d := []time.Duration{3 * time.Millisecond, time.Millisecond, 2 * time.Millisecond}
	assert.Equal(t, quantile(d, 0.5), 2.0)
	assert.Equal(t, quantile(d, 1), 3.0)
}

// Guards against a fault that counts as detected because of a log line about another
// host whose name has the name of the expected host as a prefix.
func TestReportsLoss_MatchesExactHost(t *testing.T) {
	hosts := []string{"host2"}
	assert.Assert(t, reportsLoss(`{"level":"warn","upstream":"host2"}`, "entry1.log", hosts))
	assert.Assert(t, !reportsLoss(`{"level":"warn","upstream":"host21"}`, "entry1.log", hosts))
	assert.Assert(t, reportsLoss(`{"level":"warn"}`, "host2-agent.log", hosts))
	assert.Assert(t, !reportsLoss(`{"level":"warn"}`, "host21-agent.log", hosts))
}
