package experiment

import (
	"context"
	"embed"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/load"
)

//go:embed scenarios/*.ini
var scenarios embed.FS

// Names of the experiments that do more than compare the router and the baseline
// under one scenario.
const (
	nameOverhead = "overhead"
	nameSmall    = "small"
	nameRecovery = "recovery"
	nameBound    = "bound"
)

// Names lists the names of all experiments.
var Names = []string{nameOverhead, "rest", nameBound, "steady", "saturated", "flood-batch", "flood-urgent", "flood-urgent-deadline", nameSmall, nameRecovery}

// Options selects an experiment and holds its settings.
type Options struct {
	Name  string
	Fault string // the only fault that the recovery experiment injects; empty for all
	Seed  uint64
	// UrgentReserve is the setting queue.urgent_reserve of the agents.
	UrgentReserve int
	// RouterOnly skips the runs against the baseline.
	RouterOnly bool
	Runner     *Runner
	Out        io.Writer
}

// Run runs an experiment and writes its results to Options.Out.
func Run(ctx context.Context, o Options) error {
	if !slices.Contains(Names, o.Name) {
		return fault.New(fault.Invalid, "experiment %q does not exist; there are %s", o.Name, strings.Join(Names, ", "))
	}
	switch o.Name {
	case nameOverhead:
		return o.compareOverhead(ctx)
	case nameBound:
		return o.measureBound(ctx)
	case nameSmall:
		return o.compareSmallOrganisation(ctx)
	case nameRecovery:
		return o.compareRecovery(ctx)
	}
	router, baseline, err := o.runBoth(ctx, o.Name, nil)
	if err != nil {
		return err
	}
	o.writeRows(ComparisonRows(router, baseline))
	return nil
}

// runBoth runs a scenario against the router and the baseline. If RouterOnly is
// set, both results are that of the router.
func (o *Options) runBoth(ctx context.Context, scenario string, injection *Injection) (router, baseline *RunResult, err error) {
	data, err := scenarios.ReadFile("scenarios/" + scenario + ".ini")
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.Internal, "read scenario")
	}
	plan := CurrentSizePlan(o.UrgentReserve)
	if scenario == nameRecovery {
		plan = WithProxies(plan)
	}
	if router, err = o.Runner.Run(ctx, plan, string(data), o.Seed, injection); err != nil {
		return nil, nil, err
	}
	if o.RouterOnly {
		return router, router, nil
	}
	baseline, err = o.Runner.Run(ctx, BaselinePlan(plan), string(data), o.Seed, injection)
	return router, baseline, err
}

// compareSmallOrganisation measures the service that a small organisation receives
// without other load, and that which it receives beside a large organisation.
func (o *Options) compareSmallOrganisation(ctx context.Context) error {
	var rows []Row
	for _, scenario := range []string{"small-alone", "small-beside-large"} {
		router, baseline, err := o.runBoth(ctx, scenario, nil)
		if err != nil {
			return err
		}
		own := func(r *load.Result) bool { return r.Arrival.Mix.Name == "small" }
		a, b := router.selectChat(own).figures(scenario), baseline.selectChat(own).figures(scenario)
		for i := range a {
			rows = append(rows, Row{a[i].name, a[i].value, b[i].value})
		}
		rows = append(rows, Row{scenario + " all received (tokens/s)", receivedTokensPerSecond(router), receivedTokensPerSecond(baseline)})
		rows = append(rows, Row{scenario + " cores of all", router.MeanCores(), baseline.MeanCores()})
	}
	o.writeRows(rows)
	return nil
}

func receivedTokensPerSecond(result *RunResult) float64 {
	return result.selectChat(func(*load.Result) bool { return true }).receivedRate
}

// faultAt is the time of the fault relative to the start of the recovery scenario.
const faultAt = 8 * time.Second

// compareRecovery compares runs in which a fault is injected with runs without faults.
func (o *Options) compareRecovery(ctx context.Context) error {
	router, baseline, err := o.runBoth(ctx, nameRecovery, nil)
	if err != nil {
		return err
	}
	for _, name := range FaultNames {
		if o.Fault != "" && o.Fault != name {
			continue
		}
		fmt.Fprintf(o.Out, "\n%s\n", name)
		a, b, err := o.runBoth(ctx, nameRecovery, &Injection{At: faultAt, Fault: Faults[name]})
		if err != nil {
			return err
		}
		o.writeRows(recoveryRows(a, b, router, baseline))
	}
	return nil
}

func recoveryRows(router, baseline, routerReference, baselineReference *RunResult) []Row {
	a, b := router.recoveryFigures(routerReference), baseline.recoveryFigures(baselineReference)
	var rows []Row
	for i := range a {
		rows = append(rows, Row{a[i].name, a[i].value, b[i].value})
	}
	return rows
}

func (result *RunResult) recoveryFigures(reference *RunResult) []figure {
	detected, recovered := math.NaN(), math.NaN()
	if result.DetectedAt > 0 {
		detected = milliseconds(result.DetectedAt - result.InjectedAt)
	}
	if d, ok := result.RecoveryTime(reference); ok {
		recovered = milliseconds(d)
	}
	out := []figure{
		{"detected after (ms)", detected},
		{"throughput back at 90% after (ms)", recovered},
		{"end of the last 500 ms below 90%, after (ms)", milliseconds(result.LastBelowTarget(reference))},
		{"lowest share in 500 ms (%)", 100 * result.LowestThroughputShare(reference)},
		{"longest gap of an answer (ms)", milliseconds(result.LongestTokenGap())},
		{"longest gap without fault (ms)", milliseconds(reference.LongestTokenGap())},
		{"requests", float64(len(result.Results))},
	}
	for outcome := load.Answered; outcome <= load.NotSent; outcome++ {
		out = append(out, figure{"outcome " + outcome.String(), float64(result.CountOutcome(outcome))})
	}
	out = append(out, figure{"truncated answers asked for again", float64(result.chatResends())})
	out = append(out, figure{"keys run twice", float64(result.RepeatedKeys)})
	out = append(out, figure{"cores of all", result.MeanCores()})
	return append(out, figure{"cores of other work on the machine", result.MachineCPU.Seconds()/result.MeasuredSeconds() - result.MeanCores()})
}
