package load

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// ThroughputBound compares what was offered and served with what the stand-ins could
// serve at most.
type ThroughputBound struct {
	Kind, Name             string  // model or service
	Offered, Served, Limit float64 // requests per second
	TokensPerRequest       float64 // generated
	PromptTokensPerRequest float64
}

// ThroughputBounds returns the bound of each model and service that was offered and has
// capacities in the scenario.
func (p *Report) ThroughputBounds() []ThroughputBound {
	p.mu.Lock()
	defer p.mu.Unlock()
	seconds := p.measured().Seconds()
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

// modelLimit returns the requests per second that the engines can serve at
// most. Every request uses each layer once, so the layer with the least
// capacity bounds the model. The capacity of an engine is bounded by its time,
// counted with full batches, and by its slots, which a request holds on every
// engine of its chain until it ends.
func (s *Scenario) modelLimit(model string, layers int, prompt, output float64) float64 {
	held := s.shortestSeconds(model, layers, prompt, output)
	limit := math.Inf(1)
	for layer := range layers {
		byTime, slots := 0.0, 0
		for _, c := range s.Capacities {
			if c.holds(model) && c.FirstLayer <= layer && layer <= c.LastLayer {
				byTime += float64(c.Count) / c.engineSeconds(prompt, output)
				slots += c.Count * c.Slots
			}
		}
		limit = min(limit, byTime, float64(slots)/held)
	}
	return limit
}

func (c *Capacity) holds(model string) bool { return c.Service == "" && c.Model == model }

// shortestSeconds is the least time of a request alone on its chain: each
// token passes every stage before the next one begins.
func (s *Scenario) shortestSeconds(model string, layers int, prompt, output float64) float64 {
	reach := make([]float64, layers+1) // least time for the layers before the index
	for layer := range layers {
		reach[layer+1] = math.Inf(1)
	}
	for layer := range layers {
		for _, c := range s.Capacities {
			if c.holds(model) && c.FirstLayer == layer && c.LastLayer < layers {
				alone := prompt*c.PrefillPerToken.Seconds() + output*(c.Step+c.StepPerSession).Seconds()
				reach[c.LastLayer+1] = min(reach[c.LastLayer+1], reach[layer]+alone)
			}
		}
	}
	return max(reach[layers], time.Nanosecond.Seconds())
}

// engineSeconds is the time of an engine that one request takes in full
// batches.
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
