package path

import (
	"fmt"
	"slices"
	"strings"

	"github.com/plantainstair/plantainstair/pkg/core/routing"
)

// Cause is what keeps a data centre from serving a request.
type Cause string

// Causes, in the order in which they are checked.
const (
	LayerMissing Cause = "no engine holds the layer"
	KVFull       Cause = "no engine that holds the layer has KV cache left"
	SlotsFull    Cause = "no first engine has a slot left"
)

// Limit tells why a data centre has no path with capacity for a request.
type Limit struct {
	DataCentre string
	Cause      Cause
	Layer      int // first layer concerned, zero for SlotsFull
}

func (l Limit) String() string {
	if l.Cause == SlotsFull {
		return fmt.Sprintf("%s: %s", l.DataCentre, l.Cause)
	}
	return fmt.Sprintf("%s: %s (layer %d)", l.DataCentre, l.Cause, l.Layer)
}

// Limits returns the limit of each data centre that has no path with capacity for the
// request, in the order of their names.
func Limits(m *routing.Model, engines []Engine, r Request) []Limit {
	var out []Limit
	for name, group := range groupByDataCentre(engines) {
		if l, limited := limitOf(m, group, r); limited {
			l.DataCentre = name
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b Limit) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return out
}

func limitOf(m *routing.Model, engines []Engine, r Request) (Limit, bool) {
	for layer := range m.Layers {
		held := slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return layer < e.From || layer >= e.To })
		switch {
		case len(held) == 0:
			return Limit{Cause: LayerMissing, Layer: layer}, true
		case !slices.ContainsFunc(held, func(e Engine) bool { return e.hasKVCapacityFor(r) }):
			return Limit{Cause: KVFull, Layer: layer}, true
		}
	}
	if !slices.ContainsFunc(engines, func(e Engine) bool { return e.hasKVCapacityFor(r) && r.canBeFirst(e) }) {
		return Limit{Cause: SlotsFull}, true
	}
	return Limit{}, false
}
