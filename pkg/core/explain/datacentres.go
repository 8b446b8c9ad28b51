package explain

import (
	"fmt"
	"maps"
	"slices"

	"github.com/plantainstair/plantainstair/pkg/core/path"
	"github.com/plantainstair/plantainstair/pkg/core/routing"
	"github.com/plantainstair/plantainstair/pkg/fault"
)

// CompareDataCentres returns the best path within each data centre, in the order of their
// names. engines holds the engines by data centre; a data centre without any has an entry
// as well.
func CompareDataCentres(m *routing.Model, engines map[string][]path.Engine, r path.Request) []DataCentre {
	var out []DataCentre
	for _, name := range slices.Sorted(maps.Keys(engines)) {
		out = append(out, compareDataCentre(m, name, engines[name], r))
	}
	return out
}

func compareDataCentre(m *routing.Model, name string, engines []path.Engine, r path.Request) DataCentre {
	r.SingleDataCentre = true
	d := DataCentre{Name: name, Own: name == r.DataCentre, Engines: len(engines)}
	if len(engines) == 0 {
		d.Limit = "no engine takes requests"
		return d
	}
	choice, err := path.Choose(m, engines, r)
	if err == nil {
		d.HasCapacity, d.CostMs = choice.HasCapacity, Milliseconds(choice.Cost)
		return d
	}
	d.Limit = fault.As(err).Message
	if limits := path.Limits(m, engines, r); len(limits) > 0 {
		l := limits[0]
		d.Limit = string(l.Cause)
		if l.Cause != path.SlotsFull {
			d.Limit = fmt.Sprintf("%s (layer %d)", l.Cause, l.Layer)
		}
		return d
	}
	unlimited := r
	unlimited.MaxCost = 0
	if choice, err := path.Choose(m, engines, unlimited); err == nil {
		d.CostMs = Milliseconds(choice.Cost)
		d.Limit = fmt.Sprintf("its path exceeds the %.0f ms within which the request has to end", Milliseconds(r.MaxCost))
	}
	return d
}
