package capacity

import (
	"fmt"
	"slices"
	"strings"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Series is one unit of one benchmark over its sizes.
type Series struct {
	Name   string
	Param  string
	Unit   string
	Points []Point
	Line   Line
	// PerItem tells that the benchmark reports a figure for each item, and that
	// the points are that figure times the number of items.
	PerItem bool
	used    bool
}

// Key names a series in the code of the tables.
func (s *Series) Key() string { return key(s.Name, s.Param, s.Unit) }

func key(name, param, unit string) string { return name + "/" + param + " " + unit }

// Measured holds the lines of all series, and the names asked for that are
// missing.
type Measured struct {
	series  map[string]*Series
	missing []string
}

// Fit groups samples into series and fits a line to each.
func Fit(samples []Sample) *Measured {
	m := &Measured{series: make(map[string]*Series)}
	for _, sample := range samples {
		k := key(sample.Series, sample.Param, sample.Unit)
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

// countsItems tells whether a unit such as "B/claim" divides by what the size
// counts.
func countsItems(s Sample) bool {
	_, item, ok := strings.Cut(s.Unit, "/")
	return ok && s.Param != "" && item+"s" == s.Param
}

// All returns the series by name.
func (m *Measured) All() []*Series {
	var all []*Series
	for _, s := range m.series {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *Series) int { return strings.Compare(a.Key(), b.Key()) })
	return all
}

// Err reports the series that a table asked for and that were not measured.
func (m *Measured) Err() error {
	if len(m.missing) == 0 {
		return nil
	}
	return fault.New(fault.Invalid, "not measured: %s", strings.Join(m.missing, ", "))
}

func (m *Measured) find(name, param, unit string) *Series {
	s := m.series[key(name, param, unit)]
	if s == nil {
		m.missing = append(m.missing, key(name, param, unit))
		return &Series{Name: name, Param: param, Unit: unit}
	}
	s.used = true
	return s
}

// MeasuredValue is a measured value with its source.
type MeasuredValue struct {
	Value       float64
	Description string
}

// slope returns what each further item adds.
func (m *Measured) slope(name, param, unit string) MeasuredValue {
	s := m.find(name, param, unit)
	return MeasuredValue{Value: s.Line.Slope, Description: fmt.Sprintf("%s for each of %s [%s]", formatUnit(s.Line.Slope, unit), param, shortName(name))}
}

// at returns the mean of the points at a size, or the value of the line when
// that size was not measured.
func (m *Measured) at(name, param, unit string, size float64) MeasuredValue {
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

// fixed returns the mean of a series without a size.
func (m *Measured) fixed(name, unit string) MeasuredValue {
	v := m.find(name, "", unit).Line.Intercept
	return MeasuredValue{Value: v, Description: fmt.Sprintf("%s [%s]", formatUnit(v, unit), shortName(name))}
}

// shortName names a benchmark as it stands in the package.
func shortName(name string) string {
	pkg, bench, _ := strings.Cut(name, ".")
	return strings.TrimPrefix(pkg, "pkg/") + " " + bench
}
