package layout

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/routing"
)

// Capacity is what the engines of a data centre can carry with a layout.
type Capacity struct {
	// Tokens is the KV cache at the tightest layer, in tokens; zero where a
	// layer has no holder.
	Tokens int
	// Stream is the time of a request of the usual size that shares its engines
	// with no other.
	Stream time.Duration
	// PerSecond is the rate of such requests at which the KV cache is full. It
	// is an upper bound: requests take longer the more of them run.
	PerSecond float64
}

// Capacities returns the capacity of each data centre.
func Capacities(m *routing.Model, engines []Engine) map[string]Capacity {
	groups := make(map[string][]Engine)
	for _, e := range engines {
		if m.Accelerators[e.Accelerator] != nil && !e.Slow {
			groups[e.DataCentre] = append(groups[e.DataCentre], e)
		}
	}
	out := make(map[string]Capacity, len(groups))
	for name, group := range groups {
		out[name] = capacity(m, group)
	}
	return out
}

func capacity(m *routing.Model, engines []Engine) Capacity {
	tokens := make([]int, m.Layers)
	step := make([]time.Duration, m.Layers) // of the fastest holder
	read := make([]time.Duration, m.Layers)
	hops := 0
	for _, e := range engines {
		a := m.Accelerators[e.Accelerator]
		room := m.KVTokens(a, e.Held.Len())
		if !e.Held.Empty() {
			hops++
		}
		for l := max(0, e.Held.From); l < min(m.Layers, e.Held.To); l++ {
			tokens[l] += room
			if s := m.StepTime(a, 1); step[l] == 0 || s < step[l] {
				step[l], read[l] = s, m.ReadTime(a, 1)
			}
		}
	}
	c := Capacity{Tokens: tokens[0]}
	token, prompt := time.Duration(hops)*routing.LocalHop, time.Duration(0)
	for l := range tokens {
		c.Tokens = min(c.Tokens, tokens[l])
		token += step[l]
		prompt += read[l]
	}
	c.Stream = token*time.Duration(m.UsualAnswer) + prompt*time.Duration(m.UsualPrompt)
	if c.Tokens > 0 && c.Stream > 0 {
		running := float64(c.Tokens) / float64(max(1, m.UsualPrompt+m.UsualAnswer))
		c.PerSecond = running / c.Stream.Seconds()
	}
	return c
}
