// Package experiment measures a deployment of real processes on the loopback
// interface, and compares it with the same deployment in which a baseline
// replaces the scheduling and routing decisions.
package experiment

import (
	"fmt"
	"time"

	"github.com/plantainstair/plantainstair/pkg/local"
)

// Timings of the stand-ins. They keep the CPU use of the machine under 4 cores
// and the time between tokens of a fully loaded chain under the target of 36 ms.
const (
	fastStep        = 9 * time.Millisecond
	slowStep        = 11 * time.Millisecond
	stepPerSession  = 500 * time.Microsecond
	prefillPerToken = 50 * time.Microsecond
	serviceLatency  = 20 * time.Millisecond

	engineSlots = 3
	layers      = 4
)

// CurrentSizePlan returns a deployment of the current production size: 40 engine
// servers in chains of two stages, half of them slower, 3 service servers and 10
// organisations.
func CurrentSizePlan(urgentReserve int) local.Plan {
	p := local.DefaultPlan()
	p.AgentSettings = []string{"[queue]", fmt.Sprintf("urgent_reserve = %d", urgentReserve)}
	p.Entries = 3
	p.Slots = engineSlots
	p.Layers = layers
	p.Stages = []local.Stage{
		stage(0, 1, "fast", fastStep), stage(0, 1, "slow", slowStep),
		stage(2, 3, "fast", fastStep), stage(2, 3, "slow", slowStep),
	}
	p.EngineArgs = []string{"--step-per-session", stepPerSession.String(), "--prefill-per-token", prefillPerToken.String()}
	p.ServiceReplicas = 3
	p.ServiceArgs = []string{"--slots", "16", "--latency", serviceLatency.String()}
	p.Organisations = organisations()
	return p
}

func stage(first, last uint32, accelerator string, step time.Duration) local.Stage {
	const engines = 10
	return local.Stage{FirstLayer: first, LastLayer: last, EngineCount: engines, Accelerator: accelerator, Args: []string{"--step", step.String()}}
}

// WithProxies returns the plan with a proxy in front of each agent of a later
// stage, so that the link to the agent can be cut or slowed. It modifies the stages
// of p.
func WithProxies(p local.Plan) local.Plan {
	for i := range p.Stages {
		p.Stages[i].Proxied = p.Stages[i].FirstLayer > 0
	}
	return p
}

// organisations returns 3 urgent, 3 standard and 4 batch organisations. In the
// scenarios, the first standard and the first batch organisation are large.
func organisations() []local.Organisation {
	var out []local.Organisation
	for i := range 10 {
		class := []string{"urgent", "standard", "batch"}[(i+2)%3]
		name := fmt.Sprintf("%s-%d", class, i/3)
		out = append(out, local.Organisation{Name: name, Key: name + "-key", Class: class})
	}
	return out
}

// BaselinePlan returns the plan with the decisions of the router replaced by a
// baseline: upstreams are chosen round robin, and requests are passed on in order
// of arrival without a queue in the agents. Requests wait for a slot in the
// engine instead, so the timeout for opening a stage is raised.
func BaselinePlan(p local.Plan) local.Plan {
	p.EntrySettings = append(p.EntrySettings, "[baseline]", "round_robin = true")
	p.AgentSettings = append(p.AgentSettings, "[baseline]", "no_queue = true", "[engine]", "open_timeout = 1m")
	return p
}

// OverheadPlan returns a deployment with one engine that serves the whole model or,
// if chain is set, with one engine for each half of its layers.
func OverheadPlan(chain bool) local.Plan {
	p := local.DefaultPlan()
	p.Entries = 1
	p.DataCentres = 1
	p.Layers = layers
	p.Slots = 32
	p.Services, p.ServiceReplicas = nil, 0
	p.Stages = []local.Stage{{FirstLayer: 0, LastLayer: layers - 1, EngineCount: 1, Accelerator: "a"}}
	if chain {
		p.Stages = []local.Stage{
			{FirstLayer: 0, LastLayer: 1, EngineCount: 1, Accelerator: "a"},
			{FirstLayer: 2, LastLayer: layers - 1, EngineCount: 1, Accelerator: "a"},
		}
	}
	p.EngineArgs = []string{"--step", "2ms", "--step-per-session", "0s", "--prefill-per-token", "0s", "--kv-tokens", "0"}
	return p
}
