package capacity

import (
	"fmt"
	"slices"
	"strings"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Series holds the values that one benchmark reports in one unit, for all sizes.
type Series struct {
	Name   string
	Param  string
	Unit   string
	Points []Point
	Line   Line
	// PerItem is set if the benchmark reports a value per item. The points are
	// totals, the value multiplied by the number of items.
	PerItem bool
	used    bool // requested by a row
}

// Key returns the unique key of the series.
func (s *Series) Key() string { return seriesKey(s.Name, s.Param, s.Unit) }

func seriesKey(name, param, unit string) string { return name + "/" + param + " " + unit }

// Measurements holds all series with their fitted lines, and the keys of requested
// series that were not measured.
type Measurements struct {
	series  map[string]*Series
	missing []string
}

// Fit groups samples into series and fits a line to each.
func Fit(samples []Sample) *Measurements {
	m := &Measurements{series: make(map[string]*Series)}
	for _, sample := range samples {
		k := seriesKey(sample.Series, sample.Param, sample.Unit)
		s := m.series[k]
		if s == nil {
			s = &Series{Name: sample.Series, Param: sample.Param, Unit: sample.Unit, PerItem: countsItems(sample)}
			m.series[k] = s
		}
		p := Point{Size: sample.Size, Value: sample.Value}
		if s.PerItem {
			p.Value *= p.Size
		}
		s.Points = append(s.Points, p)
	}
	for _, s := range m.series {
		s.Line = FitLine(s.Points)
	}
	return m
}

// countsItems reports whether the unit is per item of the size, such as "B/claim"
// with the size "claims".
func countsItems(s Sample) bool {
	_, item, ok := strings.Cut(s.Unit, "/")
	return ok && s.Param != "" && item+"s" == s.Param
}

// All returns all series, sorted by key.
func (m *Measurements) All() []*Series {
	var all []*Series
	for _, s := range m.series {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *Series) int { return strings.Compare(a.Key(), b.Key()) })
	return all
}

// Err returns an error that lists the requested series that were not measured, or
// nil if there are none.
func (m *Measurements) Err() error {
	if len(m.missing) == 0 {
		return nil
	}
	return fault.New(fault.Invalid, "not measured: %s", strings.Join(m.missing, ", "))
}

func (m *Measurements) find(name, param, unit string) *Series {
	s := m.series[seriesKey(name, param, unit)]
	if s == nil {
		m.missing = append(m.missing, seriesKey(name, param, unit))
		return &Series{Name: name, Param: param, Unit: unit}
	}
	s.used = true
	return s
}

// MeasuredValue is a value that is derived from measurements, with a description that
// includes its source.
type MeasuredValue struct {
	Value       float64
	Description string
}

// slope returns the increase per additional item.
func (m *Measurements) slope(name, param, unit string) MeasuredValue {
	s := m.find(name, param, unit)
	return MeasuredValue{Value: s.Line.Slope, Description: fmt.Sprintf("%s for each of %s [%s]", formatUnit(s.Line.Slope, unit), param, shortName(name))}
}

// atSize returns the mean of the points at a size, or the value of the fitted line
// if that size was not measured.
func (m *Measurements) atSize(name, param, unit string, size float64) MeasuredValue {
	s := m.find(name, param, unit)
	v, how := s.Line.At(size), ", from the line"
	sum, n := 0.0, 0.0
	for _, p := range s.Points {
		if p.Size == size {
			sum, n = sum+p.Value, n+1
		}
	}
	if n > 0 {
		v, how = sum/n, ""
	}
	return MeasuredValue{Value: v, Description: fmt.Sprintf("%s at %s=%s%s [%s]", formatUnit(v, unit), param, grouped(size), how, shortName(name))}
}

// withoutSize returns the mean of a series that has no sizes.
func (m *Measurements) withoutSize(name, unit string) MeasuredValue {
	v := m.find(name, "", unit).Line.Intercept
	return MeasuredValue{Value: v, Description: fmt.Sprintf("%s [%s]", formatUnit(v, unit), shortName(name))}
}

// shortName returns the package, without the prefix "pkg/", and the name of a
// benchmark.
func shortName(name string) string {
	pkg, bench, _ := strings.Cut(name, ".")
	return strings.TrimPrefix(pkg, "pkg/") + " " + bench
}
