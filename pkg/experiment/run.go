package experiment

import (
	"context"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/load"
	"github.com/plantainstair/plantainstair/pkg/local"
)

const startTimeout = 60 * time.Second

// settleTime is the time for a new deployment to exchange load reports and to
// measure round trips before the run.
const settleTime = 2 * time.Second

// Injection is a fault that is injected at a given time after the start of the
// run.
type Injection struct {
	At time.Duration
	Fault
}

// RunResult holds the measurements of one run.
type RunResult struct {
	Report       *load.Report
	Scenario     *load.Scenario
	Results      []*load.Result
	UsageByGroup map[string]Usage // by process group, between the warm-up and the end of the arrivals
	MachineCPU   time.Duration    // CPU time of the whole machine in the same interval
	InjectedAt   time.Duration    // time of the fault, relative to the start of the run
	DetectedAt   time.Duration    // time when the fault was detected, relative to the start of the run; zero if it was not
	MeanQueued   [2]float64       // mean number of queued requests at the agents of the first and of the second stage; counts only requests that later got a slot
	RepeatedKeys int              // idempotency keys that the services executed more than once
}

// Runner starts deployments and runs scenarios against them.
type Runner struct {
	BinDir  string
	WorkDir string // parent directory for the settings, data and logs of the deployments
}

// launch starts a deployment in a new directory.
func (r *Runner) launch(ctx context.Context, plan local.Plan) (*local.Deployment, error) {
	dir, err := os.MkdirTemp(r.WorkDir, "deployment-")
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "create directory")
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d, err := local.Launch(ctx, plan, dir, r.BinDir)
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	return d, nil
}

// Run runs a scenario against a new deployment of the plan, injects the fault if
// injection is not nil, and returns the measurements.
func (r *Runner) Run(ctx context.Context, plan local.Plan, scenario string, seed uint64, injection *Injection) (*RunResult, error) {
	d, err := r.launch(ctx, plan)
	if err != nil {
		return nil, err
	}
	defer d.Kill()
	if injection != nil && injection.Prepare != nil {
		if err := injection.Prepare(d); err != nil {
			return nil, err
		}
	}
	s, err := parseScenarioFor(d, scenario, seed)
	if err != nil {
		return nil, err
	}
	o := &RunResult{Scenario: s}
	var mu sync.Mutex
	s.OnResult = func(result *load.Result) {
		mu.Lock()
		defer mu.Unlock()
		o.Results = append(o.Results, result)
	}
	var background sync.WaitGroup
	start := time.Now()
	background.Go(func() { o.measureUsage(d, start) })
	if injection != nil {
		background.Go(func() { err = o.inject(d, injection, start) })
	}
	o.Report = load.Execute(ctx, s)
	background.Wait()
	o.RepeatedKeys = countRepeatedKeys(d)
	return o, err
}

// parseScenarioFor parses a scenario after replacing the placeholders for the
// entry addresses and the seed.
func parseScenarioFor(d *local.Deployment, scenario string, seed uint64) (*load.Scenario, error) {
	fill := strings.NewReplacer("{entries}", entries(d), "{seed}", strconv.FormatUint(seed, 10))
	return load.ParseScenario("scenario", []byte(fill.Replace(scenario)))
}

func entries(d *local.Deployment) string {
	var list []string
	for _, e := range d.Entries {
		list = append(list, e.Address)
	}
	return strings.Join(list, ", ")
}

func (result *RunResult) measureUsage(d *local.Deployment, start time.Time) {
	time.Sleep(time.Until(start.Add(result.Scenario.Run.WarmUp)))
	firstBefore, secondBefore := queueWait(d)
	before, machineBefore := usageByGroup(d), machineCPUTime()
	time.Sleep(time.Until(start.Add(result.Scenario.Run.Duration)))
	result.UsageByGroup, result.MachineCPU = usageByGroup(d), machineCPUTime()-machineBefore
	first, second := queueWait(d)
	result.MeanQueued = [2]float64{(first - firstBefore).Seconds() / result.MeasuredSeconds(), (second - secondBefore).Seconds() / result.MeasuredSeconds()}
	for name, u := range result.UsageByGroup {
		result.UsageByGroup[name] = u.since(before[name])
	}
}

// MeasuredSeconds returns the duration of the run without the warm-up.
func (result *RunResult) MeasuredSeconds() float64 {
	return (result.Scenario.Run.Duration - result.Scenario.Run.WarmUp).Seconds()
}

// MeanCores returns the mean number of CPU cores that all processes used together.
func (result *RunResult) MeanCores() float64 {
	total := time.Duration(0)
	for _, u := range result.UsageByGroup {
		total += u.CPU
	}
	return total.Seconds() / result.MeasuredSeconds()
}
