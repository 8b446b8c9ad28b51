package capacity

import (
	"fmt"
	"reflect"
	"strings"
)

// bend is the residual above which a line is marked as not straight.
const bend = 0.25

// Report works out all tables.
type Report struct {
	plan     Plan
	measured *Measured
	today    Calculator
	planned  Calculator
	over     []string // rows of the table of lines over their limits
}

// NewReport returns the tables for the planned size.
func NewReport(m *Measured) *Report {
	p := DesignPlan()
	return &Report{
		plan:     p,
		measured: m,
		today:    Calculator{Plan: p, Measured: m, Layout: p.CurrentLayout()},
		planned:  Calculator{Plan: p, Measured: m, Layout: p.ScaledLayout()},
	}
}

// Tables returns the tables by name. It fails when a series was not measured.
func (r *Report) Tables() (map[string]string, error) {
	tables := map[string]string{
		"planned":       figures(r.plan, false),
		"assumed":       figures(r.plan, true),
		"layout":        r.layouts(),
		"entry":         r.compare("entry", Calculator.EntryControlLoad),
		"entry-traffic": r.compare("entry", Calculator.EntryRequestLoad),
		"agent":         r.compare("agent", Calculator.AgentControlLoad),
		"agent-traffic": r.compare("agent", Calculator.AgentRequestLoad),
		"control":       r.compare("control", Calculator.ControlProcessLoad),
		"claims":        r.compare("claims", Calculator.ClaimLoad),
		"operators":     r.compare("operators", Calculator.OperatorLoad),
		"times":         r.compare("times", Calculator.Latencies),
		"restart":       r.compare("restart", Calculator.ProcessRestart),
		"storm-day": r.compare("a day of restarts", func(c Calculator) []Row {
			return c.DailyRestarts(r.plan.parts(r.plan.HostRestarts.Value + r.plan.HostFailures.Value))
		}),
		"storm-data-centre": r.compare("a data centre", func(c Calculator) []Row { return c.MassRestart(r.plan.dataCentre()) }),
	}
	tables["regions"] = r.compare("regions", Calculator.RegionPartition)
	tables["over"] = table([]string{"Role", "Line", "Limit", "Today", "Times the limit", "With mechanisms"}, r.over)
	tables["steps"] = r.steps()
	tables["messages"] = r.messages()
	tables["slopes"] = r.slopes()
	return tables, r.measured.Err()
}

// compare sets the rows of both layouts beside each other.
func (r *Report) compare(role string, rows func(Calculator) []Row) string {
	today, planned := rows(r.today), rows(r.planned)
	var lines []string
	for i, t := range today {
		p := planned[i]
		limit := "none"
		if t.Limit > 0 {
			limit = t.Unit.Format(t.Limit)
		}
		lines = append(lines, cells(t.Name, strings.Join(t.Measured, "; "), t.Assumed, verdict(t), verdict(p), limit))
		if over(t) || over(p) {
			r.over = append(r.over, cells(role, t.Name, limit, t.Unit.Format(t.Value), digits(t.Value/t.Limit), verdict(p)))
		}
	}
	return table([]string{"Line", "Measured", "Assumed", "Worked out: today", "Worked out: with mechanisms", "Limit"}, lines)
}

func over(r Row) bool { return r.Limit > 0 && r.Value > r.Limit }

func verdict(r Row) string {
	text := r.Unit.Format(r.Value)
	switch {
	case r.Limit == 0:
		return text
	case over(r):
		return text + " **over**"
	}
	return text + ", fits"
}

// figures lists the fields of a struct of figures, assumed or not.
func figures(plan any, assumed bool) string {
	v := reflect.ValueOf(plan)
	var lines []string
	for i := range v.NumField() {
		f, ok := v.Field(i).Interface().(Parameter)
		if !ok || (f.Reason != "") != assumed {
			continue
		}
		name := v.Type().Field(i).Tag.Get("name")
		if assumed {
			lines = append(lines, cells(name, f.Unit.Format(f.Value), f.Reason))
			continue
		}
		lines = append(lines, cells(name, f.Unit.Format(f.Value)))
	}
	if assumed {
		return table([]string{"Assumption", "Value", "Reason"}, lines)
	}
	return table([]string{"Planned", "Value"}, lines)
}

func (r *Report) layouts() string {
	today, planned := reflect.ValueOf(r.today.Layout), reflect.ValueOf(r.planned.Layout)
	var lines []string
	for i := range today.NumField() {
		a, b := today.Field(i).Interface().(Parameter), planned.Field(i).Interface().(Parameter)
		lines = append(lines, cells(today.Type().Field(i).Tag.Get("name"), a.Unit.Format(a.Value), b.Unit.Format(b.Value), b.Reason))
	}
	return table([]string{"Parameter", "Today", "With mechanisms", "Reason"}, lines)
}

// slopes lists the lines that the tables use.
func (r *Report) slopes() string {
	var lines []string
	for _, s := range r.measured.All() {
		if !s.used || s.Param == "" {
			continue
		}
		unit := s.Unit
		if s.PerItem {
			unit, _, _ = strings.Cut(unit, "/")
		}
		mark := ""
		if s.Line.Residual > bend {
			mark = " **bends**"
		}
		lines = append(lines, cells(shortName(s.Name), s.Unit, s.Param, sizes(s), formatUnit(s.Line.Intercept, unit),
			formatUnit(s.Line.Slope, unit), UnitFraction.Format(s.Line.Residual)+mark))
	}
	return table([]string{"Benchmark", "Unit", "Size", "Measured at", "Intercept", "Slope for each", "Largest residual"}, lines)
}

func sizes(s *Series) string {
	var out []string
	for _, p := range s.Points {
		out = append(out, grouped(p.Size))
	}
	return strings.Join(out, "; ")
}

func cells(texts ...string) string { return "| " + strings.Join(texts, " | ") + " |" }

func table(head []string, lines []string) string {
	rule := strings.TrimSuffix(strings.Repeat("---|", len(head)), "|")
	return fmt.Sprintf("%s\n|%s|\n%s\n", cells(head...), rule, strings.Join(lines, "\n"))
}
