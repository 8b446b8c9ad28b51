package load

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// ThroughputBound compares the offered and served request rates of a model or
// service with the maximum rate of its stand-in servers.
type ThroughputBound struct {
	Kind, Name             string  // kind is "model" or "service"
	Offered, Served, Limit float64 // requests per second
	TokensPerRequest       float64 // mean number of requested output tokens
	PromptTokensPerRequest float64
}

// ThroughputBounds returns the bounds of the models and services that were
// requested, sorted by kind and name. Limit is zero for a model or service that has
// no capacity in the scenario.
func (p *Report) ThroughputBounds() []ThroughputBound {
	p.mu.Lock()
	defer p.mu.Unlock()
	seconds := p.measuredDuration().Seconds()
	var out []ThroughputBound
	for name, o := range p.models {
		if o.requests == 0 {
			continue
		}
		b := ThroughputBound{
			Kind: "model", Name: name,
			Offered:                float64(o.requests) / seconds,
			Served:                 float64(o.served) / seconds,
			TokensPerRequest:       float64(o.output) / float64(o.requests),
			PromptTokensPerRequest: float64(o.prompt) / float64(o.requests),
		}
		b.Limit = p.scenario.modelLimit(name, o.layers, b.PromptTokensPerRequest, b.TokensPerRequest)
		out = append(out, b)
	}
	for name, o := range p.services {
		out = append(out, ThroughputBound{
			Kind: "service", Name: name,
			Offered: float64(o.requests) / seconds,
			Served:  float64(o.served) / seconds,
			Limit:   p.scenario.serviceLimit(name),
		})
	}
	slices.SortFunc(out, func(a, b ThroughputBound) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// modelLimit returns the maximum number of requests per second that the engines
// can serve. Every request passes through every layer, so the layer with the least
// capacity limits the model. An engine is limited by its compute time, assuming
// full batches, and by its slots, because a request holds one slot on every
// engine of its chain until it completes.
func (s *Scenario) modelLimit(model string, layers int, prompt, output float64) float64 {
	slotSeconds := s.minRequestSeconds(model, layers, prompt, output)
	limit := math.Inf(1)
	for layer := range layers {
		engineLimit, slots := 0.0, 0
		for _, c := range s.Capacities {
			if c.servesModel(model) && c.FirstLayer <= layer && layer <= c.LastLayer {
				engineLimit += float64(c.Count) / c.engineSeconds(prompt, output)
				slots += c.Count * c.Slots
			}
		}
		limit = min(limit, engineLimit, float64(slots)/slotSeconds)
	}
	return limit
}

func (c *Capacity) servesModel(model string) bool { return c.Service == "" && c.Model == model }

// minRequestSeconds returns the minimum duration of a request that runs without
// other load, over all possible chains. Each token passes every stage before the
// next token starts.
func (s *Scenario) minRequestSeconds(model string, layers int, prompt, output float64) float64 {
	minSeconds := make([]float64, layers+1) // minimum time of all layers below the index
	for layer := range layers {
		minSeconds[layer+1] = math.Inf(1)
	}
	for layer := range layers {
		for _, c := range s.Capacities {
			if c.servesModel(model) && c.FirstLayer == layer && c.LastLayer < layers {
				alone := prompt*c.PrefillPerToken.Seconds() + output*(c.Step+c.StepPerSession).Seconds()
				minSeconds[c.LastLayer+1] = min(minSeconds[c.LastLayer+1], minSeconds[layer]+alone)
			}
		}
	}
	return max(minSeconds[layers], time.Nanosecond.Seconds())
}

// engineSeconds returns the compute time that one request takes on an engine
// whose batches are full.
func (c *Capacity) engineSeconds(prompt, output float64) float64 {
	perToken := c.Step.Seconds()/float64(c.Slots) + c.StepPerSession.Seconds()
	return max(prompt*c.PrefillPerToken.Seconds()+output*perToken, time.Nanosecond.Seconds())
}

func (s *Scenario) serviceLimit(service string) float64 {
	sum := 0.0
	for _, c := range s.Capacities {
		if c.Service == service {
			sum += float64(c.Count*c.Slots) / max(c.Latency.Seconds(), time.Nanosecond.Seconds())
		}
	}
	return sum
}
