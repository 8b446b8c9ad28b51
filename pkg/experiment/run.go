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

// settleTime lets the load reports and round trips of a new deployment arrive.
const settleTime = 2 * time.Second

// Injection is a fault that is injected at a time of the run.
type Injection struct {
	At time.Duration
	Fault
}

// RunResult is what one run gave.
type RunResult struct {
	Report       *load.Report
	Scenario     *load.Scenario
	Results      []*load.Result
	UsageByGroup map[string]Usage // between the warm-up and the end of the arrivals
	MachineCPU   time.Duration    // CPU time of the whole machine in the same time
	InjectedAt   time.Duration    // when the fault was injected, from the start of the run
	DetectedAt   time.Duration    // when a process first reported or answered it; zero if none did
	MeanQueued   [2]float64       // mean requests in the queues of the agents of both stages, of those that got a slot
	RepeatedKeys int              // keyed calls that the services ran more than once
}

// Runner runs scenarios against deployments.
type Runner struct {
	BinDir  string
	WorkDir string // settings, data and logs of the deployments
}

// launch starts a deployment in a folder of its own.
func (r *Runner) launch(ctx context.Context, plan local.Plan) (*local.Deployment, error) {
	dir, err := os.MkdirTemp(r.WorkDir, "deployment-")
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "create folder")
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

// Run runs a scenario against a new deployment of the plan.
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
	s, err := parseFor(d, scenario, seed)
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
	o.RepeatedKeys = countTwice(d)
	return o, err
}

// parseFor fills in the addresses of a deployment and the seed.
func parseFor(d *local.Deployment, scenario string, seed uint64) (*load.Scenario, error) {
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

func (o *RunResult) measureUsage(d *local.Deployment, start time.Time) {
	time.Sleep(time.Until(start.Add(o.Scenario.Run.WarmUp)))
	firstBefore, secondBefore := queueWait(d)
	before, busy := usage(d), machineBusy()
	time.Sleep(time.Until(start.Add(o.Scenario.Run.Duration)))
	o.UsageByGroup, o.MachineCPU = usage(d), machineBusy()-busy
	first, second := queueWait(d)
	o.MeanQueued = [2]float64{(first - firstBefore).Seconds() / o.MeasuredSeconds(), (second - secondBefore).Seconds() / o.MeasuredSeconds()}
	for name, u := range o.UsageByGroup {
		o.UsageByGroup[name] = u.since(before[name])
	}
}

// MeasuredSeconds is the measured time.
func (o *RunResult) MeasuredSeconds() float64 {
	return (o.Scenario.Run.Duration - o.Scenario.Run.WarmUp).Seconds()
}

// MeanCores is the mean number of cores that all processes used together.
func (o *RunResult) MeanCores() float64 {
	total := time.Duration(0)
	for _, u := range o.UsageByGroup {
		total += u.CPU
	}
	return total.Seconds() / o.MeasuredSeconds()
}
