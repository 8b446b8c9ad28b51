// Command plantain-standin runs a stand-in for an engine or a service in tests.
// POST /fault injects faults; GET /records returns what the stand-in executed.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/lifecycle"
	"github.com/plantainstair/plantainstair/pkg/standin"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
)

const withdrawTimeout = time.Second

type flags struct {
	listen, agent, name        string
	model, version, adapters   string
	services                   string
	first, last, layers, slots uint32
	kvTokens                   uint64
	accelerator                string
	ignoresFencing             bool
	step, perSession, prefill  time.Duration
	latency                    time.Duration
	loadLag, cacheDelay        time.Duration
	cacheLoss                  int
}

func main() {
	f := &flags{
		listen: "127.0.0.1:0", name: "standin", model: "m", version: "v1", layers: 1, slots: 8, kvTokens: 1 << 16,
		accelerator: "standin", services: "echo", step: 5 * time.Millisecond, perSession: 200 * time.Microsecond,
		prefill: 50 * time.Microsecond,
	}
	engine, service := f.engineCommand(), f.serviceCommand()
	flaggy.SetName("plantain-standin")
	flaggy.SetDescription("Stands in for an engine or a service in tests.")
	flaggy.AttachSubcommand(engine, 1)
	flaggy.AttachSubcommand(service, 1)
	flaggy.Parse()
	run := runEngine
	switch {
	case engine.Used:
	case service.Used:
		run = runService
	default:
		flaggy.ShowHelpAndExit("name a sub-command: engine or service")
	}
	if err := run(f); err != nil {
		fmt.Fprintln(os.Stderr, "plantain-standin:", err)
		os.Exit(1)
	}
}

func (f *flags) addCommonFlags(c *flaggy.Subcommand) {
	c.String(&f.listen, "l", "listen", "IP address and port to listen on.")
	c.String(&f.agent, "a", "agent", "Address of the agent's receiver; empty for none.")
	c.String(&f.name, "n", "name", "Name in the announcement.")
	c.UInt32(&f.slots, "s", "slots", "Requests that run at once.")
	c.Duration(&f.loadLag, "", "load-lag", "Age of the load figures when they are sent.")
}

func (f *flags) engineCommand() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("engine")
	c.Description = "Runs the hash-chain model."
	f.addCommonFlags(c)
	c.String(&f.model, "m", "model", "Name of the model.")
	c.String(&f.version, "", "model-version", "Version of the model.")
	c.String(&f.adapters, "", "adapters", "Adapters held, separated by commas.")
	c.UInt32(&f.first, "", "first-layer", "First layer held.")
	c.UInt32(&f.last, "", "last-layer", "Last layer held.")
	c.UInt32(&f.layers, "", "layers", "Layers of the whole model.")
	c.UInt64(&f.kvTokens, "", "kv-tokens", "Capacity of the prefix cache in tokens.")
	c.String(&f.accelerator, "", "accelerator", "Kind of the accelerator.")
	c.Bool(&f.ignoresFencing, "", "ignores-fencing", "Carry out orders with a lower fencing number.")
	c.Duration(&f.step, "", "step", "Time of a step.")
	c.Duration(&f.perSession, "", "step-per-session", "Time that each session adds to a step.")
	c.Duration(&f.prefill, "", "prefill-per-token", "Time that each prompt token adds to a step.")
	c.Duration(&f.cacheDelay, "", "cache-delay", "Delay of cache events.")
	c.Int(&f.cacheLoss, "", "cache-loss", "Every n-th report of cache events is lost; 0 for none.")
	return c
}

func (f *flags) serviceCommand() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("service")
	c.Description = "Runs a plain service with an execution log."
	f.addCommonFlags(c)
	c.String(&f.services, "", "services", "Services offered, separated by commas.")
	c.Duration(&f.latency, "", "latency", "Time of a call.")
	return c
}

func (f *flags) reportOptions() standin.ReportOptions {
	return standin.ReportOptions{AgentAddress: f.agent, LoadLag: f.loadLag, CacheReportDelay: f.cacheDelay, DropEveryNthCacheReport: f.cacheLoss}
}

func runEngine(f *flags) error {
	heldModel := upstreams.ModelShard{Model: f.model, Version: f.version, FirstLayer: f.first, LastLayer: f.last, Adapters: splitList(f.adapters)}
	engine := standin.NewEngine(standin.EngineOptions{
		Name: f.name, Models: []upstreams.ModelShard{heldModel}, ModelLayers: f.layers, Slots: f.slots, KVTokens: f.kvTokens,
		Accelerator: f.accelerator, ChecksFencing: !f.ignoresFencing, Report: f.reportOptions(),
		Timing: standin.Timing{PerStep: f.step, PerSession: f.perSession, PerPromptToken: f.prefill},
	})
	defer engine.Close()
	return f.serve(func(ln net.Listener) *standin.Server { return standin.ServeEngine(engine, ln) })
}

func runService(f *flags) error {
	service := standin.NewService(standin.ServiceOptions{
		Name: f.name, Services: splitList(f.services), Slots: f.slots, Latency: f.latency, Report: f.reportOptions(),
	})
	return f.serve(func(ln net.Listener) *standin.Server { return standin.ServeService(service, ln) })
}

// serve runs the server until a signal arrives and then withdraws the
// announcement. It does not withdraw it if an injected fault ends the server.
func (f *flags) serve(start func(net.Listener) *standin.Server) error {
	ctx, stop := lifecycle.SignalContext()
	defer stop()
	ln, err := net.Listen("tcp", f.listen)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "listen").WithField("listen")
	}
	s := start(ln)
	fmt.Println(s.Address())
	select {
	case <-ctx.Done():
	case <-s.Done():
		return nil
	}
	if f.agent != "" {
		withdrawCtx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
		defer cancel()
		_ = standin.WithdrawAnnouncement(withdrawCtx, f.agent)
	}
	s.Close()
	return nil
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}
