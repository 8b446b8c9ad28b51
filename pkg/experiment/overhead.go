package experiment

import (
	"context"
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/load"
	"github.com/plantainstair/plantainstair/pkg/local"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
)

const (
	overheadRequests = 100
	overheadWarmUp   = 10
	overheadPrompt   = 30
	overheadTokens   = 30
	// overheadLoad is the scenario under which CPU time is measured.
	overheadLoad = `[run]
duration = 10s
warm_up = 2s
seed = {seed}
entries = {entries}
[mix.chat]
organisation = association
key = association-key
rate = 40
model = cartridge
layers = 4
prompt_tokens = 30
output_tokens = 40
lengths = fixed
`
)

// compareOverhead compares requests through the router with requests sent directly to
// the stand-ins. The two kinds alternate, so that both run under the same
// conditions of the machine.
func (o *Options) compareOverhead(ctx context.Context) error {
	for _, chain := range []bool{false, true} {
		if err := o.measureOverhead(ctx, chain); err != nil {
			return err
		}
	}
	return nil
}

// measureOverhead measures a whole-model engine or, if chain is set, a chain of two
// stages.
func (o *Options) measureOverhead(ctx context.Context, chain bool) error {
	d, err := o.Runner.launch(ctx, OverheadPlan(chain))
	if err != nil {
		return err
	}
	defer d.Kill()
	through, direct := &chatSample{}, &chatSample{}
	client := upstreams.NewClient(upstreams.Options{})
	defer client.Close()
	probe := load.NewProbe(d.Entries[0].Address, "association-key")
	for i := range overheadWarmUp + overheadRequests {
		session := fmt.Sprintf("direct-%d", i)
		a, err := probe.Chat(ctx, d.Plan.Model, overheadPrompt, overheadTokens, uint64(i))
		if err != nil {
			return err
		}
		b, err := directTokens(ctx, client, d, session, uint64(i))
		if err != nil {
			return err
		}
		if i >= overheadWarmUp {
			through.addResult(&load.Result{Arrival: &load.Arrival{}, TokenTimes: a})
			direct.addResult(&load.Result{Arrival: &load.Arrival{}, TokenTimes: b})
		}
	}
	o.writeOverhead(chain, through, direct)
	return o.writeUsage(ctx, d)
}

func (o *Options) writeOverhead(chain bool, through, direct *chatSample) {
	name := "whole-model engine"
	if chain {
		name = "chain of two stages"
	}
	fmt.Fprintf(o.Out, "\n%s, %d requests of %d tokens each way\n", name, overheadRequests, overheadTokens)
	t := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "figure (ms)\tdirect\trouter\tadded\t")
	for _, q := range []float64{0.50, 0.95} {
		a, b := quantile(direct.firstTokenTimes, q), quantile(through.firstTokenTimes, q)
		fmt.Fprintf(t, "first token p%.0f\t%.3f\t%.3f\t%.3f\t\n", 100*q, a, b, b-a)
	}
	for _, q := range []float64{0.50, 0.95} {
		a, b := quantile(direct.interTokenTimes, q), quantile(through.interTokenTimes, q)
		fmt.Fprintf(t, "gap p%.0f\t%.3f\t%.3f\t%.3f\t\n", 100*q, a, b, b-a)
	}
	_ = t.Flush()
}

// writeUsage measures and prints the CPU time and memory of each process at rest
// and under load.
func (o *Options) writeUsage(ctx context.Context, d *local.Deployment) error {
	const rest = 3 * time.Second
	before := usageByProcess(d)
	time.Sleep(rest)
	idle := usageByProcess(d)
	s, err := parseScenarioFor(d, overheadLoad, o.Seed)
	if err != nil {
		return err
	}
	start := usageByProcess(d)
	report := load.Execute(ctx, s)
	end := usageByProcess(d)
	tokens := 0
	for _, g := range report.Groups("mix") {
		tokens += g.ReceivedTokens
	}
	// The number of received tokens excludes the warm-up, but the CPU time includes it.
	scale := s.Run.Duration.Seconds() / (s.Run.Duration - s.Run.WarmUp).Seconds()
	thousands := float64(tokens) * scale / 1000
	fmt.Fprintf(o.Out, "under load: %.0f tokens/s\n", thousands*1000/s.Run.Duration.Seconds())
	t := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "process\tCPU at rest (ms/s)\tCPU under load (ms/s)\tCPU over rest (ms per 1,000 tokens)\tresident (MB)\t")
	for _, p := range d.Processes() {
		n := p.Name
		atRest := milliseconds(idle[n].since(before[n]).CPU) / rest.Seconds()
		loaded := milliseconds(end[n].since(start[n]).CPU)
		over := (loaded - atRest*s.Run.Duration.Seconds()) / thousands
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t\n", n, atRest, loaded/s.Run.Duration.Seconds(), over, float64(end[n].ResidentBytes)/1e6)
	}
	return t.Flush()
}

func usageByProcess(d *local.Deployment) map[string]Usage {
	out := make(map[string]Usage)
	for _, p := range d.Processes() {
		out[p.Name] = processUsage(p.PID())
	}
	return out
}

// directTokens runs a generation of overheadTokens on the stand-ins in the same way
// as the agents do. It returns the time of each token since the start.
func directTokens(ctx context.Context, c *upstreams.Client, d *local.Deployment, session string, seed uint64) ([]time.Duration, error) {
	prompt := make([]uint32, overheadPrompt+1)
	for i := range prompt {
		prompt[i] = uint32(seed)*1000 + uint32(i)
	}
	if len(d.Upstreams) > 1 {
		return directChain(ctx, c, d, d.Upstreams, session, seed, prompt, overheadTokens)
	}
	var times []time.Duration
	start := time.Now()
	_, err := c.Generate(ctx, d.Upstreams[0].StandinAddress, &upstreams.GenerateRequest{
		Session: session, Epoch: 1, Model: d.Plan.Model, Version: d.Plan.Version,
		Prompt: prompt, MaxTokens: overheadTokens, Seed: seed,
	}, time.Second, func(*upstreams.GenerateLine) error {
		times = append(times, time.Since(start))
		return nil
	})
	return times, err
}

// directChain runs a generation of count tokens on the stand-ins of a chain and
// returns the time of each token since the start.
func directChain(ctx context.Context, c *upstreams.Client, d *local.Deployment, chain []*local.Upstream, session string, seed uint64, prompt []uint32, count int) ([]time.Duration, error) {
	start := time.Now()
	var stages []*upstreams.Stage
	for i, u := range chain {
		st := d.Plan.Stages[u.StageIndex]
		s, err := c.OpenStage(ctx, u.StandinAddress, &upstreams.StageOpen{
			Session: session, Epoch: 1, Model: d.Plan.Model, Version: d.Plan.Version,
			FirstLayer: st.FirstLayer, LastLayer: st.LastLayer, Seed: seed, Last: i == len(chain)-1,
		}, time.Second)
		if err != nil {
			return nil, err
		}
		defer s.Close()
		stages = append(stages, s)
	}
	var times []time.Duration
	position, tokens := uint32(0), prompt
	for range count {
		token, err := stepChain(stages, position, tokens)
		if err != nil {
			return nil, err
		}
		times = append(times, time.Since(start))
		position += uint32(len(tokens))
		tokens = []uint32{token}
	}
	return times, nil
}

func stepChain(stages []*upstreams.Stage, position uint32, tokens []uint32) (uint32, error) {
	step := &upstreams.StageStep{Epoch: 1, Position: position, Tokens: tokens}
	for i, s := range stages {
		line, err := s.Step(step, time.Second)
		if err != nil {
			return 0, err
		}
		if i == len(stages)-1 {
			return line.Token, nil
		}
		step = &upstreams.StageStep{Epoch: 1, Position: position, Hidden: slices.Clone(line.Hidden)}
	}
	return 0, fault.New(fault.Internal, "chain has no stages")
}
