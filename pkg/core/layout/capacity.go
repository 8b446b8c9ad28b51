package layout

import (
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/routing"
)

// Capacity is the load that the engines of a data centre can serve with their current
// layers.
type Capacity struct {
	// KVCacheTokens is the KV cache capacity of the layer that has the least, in
	// tokens. It is zero if any layer has no holder.
	KVCacheTokens int
	// RequestTime is the service time of a typical request that shares its engines
	// with no other.
	RequestTime time.Duration
	// RequestsPerSecond is the rate of typical requests that fills the KV cache. It is
	// an upper bound, because requests slow down as concurrency grows.
	RequestsPerSecond float64
}

// CapacityByDataCentre returns the capacity of each data centre. Slow engines and
// engines with an unknown accelerator are not counted.
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
	kvTokens := make([]int, m.Layers)
	decode := make([]time.Duration, m.Layers) // of the fastest holder
	prefill := make([]time.Duration, m.Layers)
	hops := 0
	for _, e := range engines {
		e.HeldLayers = e.HeldLayers.within(m.Layers)
		a := m.Accelerators[e.Accelerator]
		kvLeft := m.KVCapacity(a, e.HeldLayers.Len())
		if !e.HeldLayers.Empty() {
			hops++
		}
		for l := e.HeldLayers.From; l < e.HeldLayers.To; l++ {
			kvTokens[l] += kvLeft
			if s := m.DecodeTime(a, 1); decode[l] == 0 || s < decode[l] {
				decode[l], prefill[l] = s, m.PrefillTime(a, 1)
			}
		}
	}
	result := Capacity{KVCacheTokens: kvTokens[0]}
	decodeTime, prefillTime := time.Duration(hops)*routing.LocalHopDelay, time.Duration(0)
	for l := range kvTokens {
		result.KVCacheTokens = min(result.KVCacheTokens, kvTokens[l])
		decodeTime += decode[l]
		prefillTime += prefill[l]
	}
	result.RequestTime = decodeTime*time.Duration(m.TypicalOutputTokens) + prefillTime*time.Duration(m.TypicalPromptTokens)
	if result.KVCacheTokens > 0 && result.RequestTime > 0 {
		concurrent := float64(result.KVCacheTokens) / float64(max(1, m.TypicalPromptTokens+m.TypicalOutputTokens))
		result.RequestsPerSecond = concurrent / result.RequestTime.Seconds()
	}
	return result
}
