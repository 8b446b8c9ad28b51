package layout

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/routing"
)

// Capacity is what the engines of a data centre can carry with a layout.
type Capacity struct {
	// KVCacheTokens is the KV cache at the tightest layer, in tokens; zero where a
	// layer has no holder.
	KVCacheTokens int
	// RequestTime is the time of a request of the usual size that shares its engines
	// with no other.
	RequestTime time.Duration
	// RequestsPerSecond is the rate of such requests at which the KV cache is full. It
	// is an upper bound: requests take longer the more of them run.
	RequestsPerSecond float64
}

// CapacityByDataCentre returns the capacity of each data centre.
func CapacityByDataCentre(m *routing.Model, engines []Engine) map[string]Capacity {
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
		room := m.KVCapacity(a, e.HeldLayers.Len())
		if !e.HeldLayers.Empty() {
			hops++
		}
		for l := max(0, e.HeldLayers.From); l < min(m.Layers, e.HeldLayers.To); l++ {
			tokens[l] += room
			if s := m.DecodeTime(a, 1); step[l] == 0 || s < step[l] {
				step[l], read[l] = s, m.PrefillTime(a, 1)
			}
		}
	}
	c := Capacity{KVCacheTokens: tokens[0]}
	token, prompt := time.Duration(hops)*routing.LocalHopDelay, time.Duration(0)
	for l := range tokens {
		c.KVCacheTokens = min(c.KVCacheTokens, tokens[l])
		token += step[l]
		prompt += read[l]
	}
	c.RequestTime = token*time.Duration(m.TypicalOutputTokens) + prompt*time.Duration(m.TypicalPromptTokens)
	if c.KVCacheTokens > 0 && c.RequestTime > 0 {
		running := float64(c.KVCacheTokens) / float64(max(1, m.TypicalPromptTokens+m.TypicalOutputTokens))
		c.RequestsPerSecond = running / c.RequestTime.Seconds()
	}
	return c
}
