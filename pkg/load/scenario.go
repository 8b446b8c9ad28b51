// Package load is an open-loop load generator for tests. It sends requests at
// their scheduled times, whether or not earlier ones were answered, and compares
// answers with those expected from the stand-in servers.
package load

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/plantainstair/plantainstair/pkg/config"
	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Run holds the settings that apply to a whole run.
type Run struct {
	Duration        time.Duration `ini:"run.duration" default:"30s" min:"100ms" max:"24h" help:"Time during which requests arrive, the warm-up included."`
	WarmUp          time.Duration `ini:"run.warm_up" default:"5s" min:"0s" max:"1h" help:"Time at the start that is left out of the figures."`
	Seed            uint64        `ini:"run.seed" default:"1" help:"Seed of arrivals, lengths and prompts."`
	Entries         []string      `ini:"run.entries" required:"true" format:"address" help:"Addresses of the entries, used in turn."`
	MaxInFlight     int           `ini:"run.max_in_flight" default:"5000" min:"1" max:"100000" help:"Requests in progress at once; arrivals beyond it are counted as not sent."`
	Timeout         time.Duration `ini:"run.timeout" default:"60s" min:"10ms" max:"1h" help:"Time after which a request is given up with an unknown outcome."`
	Threads         int           `ini:"run.threads" default:"4" min:"1" max:"64" help:"Threads that run the load."`
	ConnectFailover bool          `ini:"run.next_entry" default:"false" help:"Connect to the next entry when one refuses the connection, as a load balancer does."`
	CheckEvery      int           `ini:"run.check_every" default:"1" min:"0" max:"1000000" help:"Check every n-th answer against the reference; 0 checks none."`
}

// Request kinds of a mix.
const (
	KindChat    = "chat"
	KindService = "service"
)

// Distributions of prompt and output lengths.
const (
	lengthFixed       = "fixed"
	lengthExponential = "exponential"
)

// Mix describes a stream of similar requests.
type Mix struct {
	Name                string
	Kind                string        `ini:"mix.kind" default:"chat" oneof:"chat,service" help:"Kind of the requests."`
	Rank                string        `ini:"mix.rank" default:"standard" oneof:"urgent,standard,batch" help:"Rank of the API key, under which results are listed."`
	OrganisationPattern string        `ini:"mix.organisation" required:"true" help:"Name under which results are listed; {n} stands for the number of the caller."`
	APIKeyPattern       string        `ini:"mix.key" required:"true" help:"API key; {n} stands for the number of the caller."`
	Callers             int           `ini:"mix.callers" default:"1" min:"1" max:"10000" help:"Organisations that the requests are spread over."`
	Rate                float64       `ini:"mix.rate" required:"true" min:"0" max:"1000000" help:"Requests per second of all callers."`
	Deadline            time.Duration `ini:"mix.deadline" default:"0s" min:"0s" max:"1h" help:"Plantain-Deadline-Ms; 0 sends none."`

	Model        string `ini:"mix.model" default:"" help:"Model of chat requests."`
	Layers       int    `ini:"mix.layers" default:"1" min:"1" max:"10000" help:"Layers of the model, for the reference."`
	PromptTokens int    `ini:"mix.prompt_tokens" default:"100" min:"1" max:"100000" help:"Mean prompt length."`
	SharedPrefix int    `ini:"mix.shared_prefix" default:"0" min:"0" max:"100000" help:"First tokens of the prompt that all requests of the mix share."`
	OutputTokens int    `ini:"mix.output_tokens" default:"50" min:"1" max:"100000" help:"Mean generated length."`
	Lengths      string `ini:"mix.lengths" default:"exponential" oneof:"fixed,exponential" help:"Distribution of both lengths."`

	Service            string `ini:"mix.service" default:"" help:"Service that is called."`
	Method             string `ini:"mix.method" default:"POST" oneof:"GET,POST" help:"Method of service calls."`
	Path               string `ini:"mix.path" default:"/" help:"Path of service calls."`
	BodyBytes          int    `ini:"mix.body_bytes" default:"100" min:"1" max:"100000" help:"Length of the body of service calls."`
	SendIdempotencyKey bool   `ini:"mix.keyed" default:"true" help:"Send an idempotency key with service calls."`
	Resends            int    `ini:"mix.resends" default:"0" min:"0" max:"10" help:"Sends of a keyed call again after an unknown outcome, with the same key, or of a chat after a truncated answer."`
}

// Flood multiplies the request rate of a mix during an interval.
type Flood struct {
	Name       string
	Mix        string        `ini:"flood.mix" required:"true" help:"Name of the mix."`
	From       time.Duration `ini:"flood.from" required:"true" min:"0s" max:"24h" help:"Start, from the start of the run."`
	Until      time.Duration `ini:"flood.until" required:"true" min:"0s" max:"24h" help:"End, from the start of the run."`
	Multiplier float64       `ini:"flood.multiplier" required:"true" min:"0" max:"10000" help:"Factor of the rate."`
}

// Capacity describes a group of identical stand-in servers, from which the
// throughput bound is computed.
type Capacity struct {
	Name            string
	Count           int           `ini:"capacity.count" default:"1" min:"1" max:"100000" help:"Number of stand-ins."`
	Model           string        `ini:"capacity.model" default:"" help:"Model held by an engine."`
	FirstLayer      int           `ini:"capacity.first_layer" default:"0" min:"0" max:"10000" help:"First layer held."`
	LastLayer       int           `ini:"capacity.last_layer" default:"0" min:"0" max:"10000" help:"Last layer held."`
	Slots           int           `ini:"capacity.slots" default:"1" min:"1" max:"100000" help:"Requests that run at once."`
	Step            time.Duration `ini:"capacity.step" default:"0s" min:"0s" max:"1m" help:"Time of a step of an engine."`
	StepPerSession  time.Duration `ini:"capacity.step_per_session" default:"0s" min:"0s" max:"1m" help:"Further time of a step for each session."`
	PrefillPerToken time.Duration `ini:"capacity.prefill_per_token" default:"0s" min:"0s" max:"1m" help:"Time for each prompt token."`
	Service         string        `ini:"capacity.service" default:"" help:"Service offered, in place of a model."`
	Latency         time.Duration `ini:"capacity.latency" default:"0s" min:"0s" max:"1h" help:"Time of one call of a service."`
}

// Scenario describes a run and the load that it generates.
type Scenario struct {
	Run        Run
	Mixes      []*Mix
	Floods     []*Flood
	Capacities []*Capacity
	// OnResult is called with every result of a request that was sent, from
	// several goroutines. It may be nil.
	OnResult func(*Result)
}

// LoadScenario reads and validates a scenario file. Its sections are [run],
// [mix.NAME], [flood.NAME] and [capacity.NAME].
func LoadScenario(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "read scenario").WithField(path)
	}
	return ParseScenario(path, data)
}

// ParseScenario parses and validates a scenario. Errors refer to it by name.
func ParseScenario(name string, data []byte) (*Scenario, error) {
	sections, err := config.ParseSections(name, data, newSection)
	if err != nil {
		return nil, err
	}
	s := &Scenario{}
	runs := 0
	for _, section := range sections {
		_, ownName, _ := strings.Cut(section.Name, ".")
		switch v := section.Value.(type) {
		case *Run:
			s.Run = *v
			runs++
		case *Mix:
			v.Name = ownName
			s.Mixes = append(s.Mixes, v)
		case *Flood:
			v.Name = ownName
			s.Floods = append(s.Floods, v)
		case *Capacity:
			v.Name = ownName
			s.Capacities = append(s.Capacities, v)
		}
	}
	if runs == 0 {
		return nil, invalid("run", "section is missing")
	}
	return s, s.check()
}

func newSection(section string) any {
	kind, name, _ := strings.Cut(section, ".")
	if section == "run" {
		return &Run{}
	}
	if name == "" {
		return nil
	}
	switch kind {
	case "mix":
		return &Mix{}
	case "flood":
		return &Flood{}
	case "capacity":
		return &Capacity{}
	}
	return nil
}

func (s *Scenario) check() error {
	if len(s.Mixes) == 0 {
		return invalid("mix", "scenario has no mix")
	}
	if s.Run.WarmUp >= s.Run.Duration {
		return invalid("run.warm_up", "warm-up is not shorter than the run")
	}
	for _, m := range s.Mixes {
		if err := m.check(); err != nil {
			return err
		}
	}
	for _, f := range s.Floods {
		if s.mix(f.Mix) == nil {
			return invalid("flood."+f.Name+".mix", "mix "+strconv.Quote(f.Mix)+" does not exist")
		}
		if f.Until <= f.From {
			return invalid("flood."+f.Name+".until", "end is not after the start")
		}
	}
	return nil
}

func (m *Mix) check() error {
	if m.Kind == KindChat && m.Model == "" {
		return invalid("mix."+m.Name+".model", "chat requests need a model")
	}
	if m.Kind == KindService && m.Service == "" {
		return invalid("mix."+m.Name+".service", "service calls need a service")
	}
	if m.SharedPrefix > m.PromptTokens {
		return invalid("mix."+m.Name+".shared_prefix", "shared prefix is longer than the prompt")
	}
	return nil
}

func (s *Scenario) mix(name string) *Mix {
	for _, m := range s.Mixes {
		if m.Name == name {
			return m
		}
	}
	return nil
}

func invalid(field, message string) error {
	return fault.New(fault.Invalid, "%s", message).WithField(field)
}
