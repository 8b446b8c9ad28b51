package capacity

import (
	"fmt"
	"reflect"
	"strings"
)

// nonlinearResidual is the residual above which a fit is marked as not linear.
const nonlinearResidual = 0.25

// Report generates the tables of the capacity page.
type Report struct {
	plan          Plan
	measured      *Measurements
	current       Calculator
	scaled        Calculator
	rowsOverLimit []string // rows of the table of exceeded limits
}

// NewReport returns a report for the planned size.
func NewReport(m *Measurements) *Report {
	p := DesignPlan()
	return &Report{
		plan:     p,
		measured: m,
		current:  Calculator{Plan: p, Measured: m, Layout: p.CurrentLayout()},
		scaled:   Calculator{Plan: p, Measured: m, Layout: p.ScaledLayout()},
	}
}

// Tables returns the tables by name. It returns an error if a required series was
// not measured.
func (r *Report) Tables() (map[string]string, error) {
	tables := map[string]string{
		"planned":       parameterTable(r.plan, false),
		"assumed":       parameterTable(r.plan, true),
		"layout":        r.layoutTable(),
		"entry":         r.compareLayouts("entry", Calculator.EntryControlLoad),
		"entry-traffic": r.compareLayouts("entry", Calculator.EntryRequestLoad),
		"agent":         r.compareLayouts("agent", Calculator.AgentControlLoad),
		"agent-traffic": r.compareLayouts("agent", Calculator.AgentRequestLoad),
		"control":       r.compareLayouts("control", Calculator.ControlProcessLoad),
		"claims":        r.compareLayouts("claims", Calculator.ClaimLoad),
		"operators":     r.compareLayouts("operators", Calculator.OperatorLoad),
		"times":         r.compareLayouts("times", Calculator.Latencies),
		"restart":       r.compareLayouts("restart", Calculator.ProcessRestart),
		"storm-day": r.compareLayouts("a day of restarts", func(c Calculator) []Row {
			return c.DailyRestarts(r.plan.proportionalRestarts(r.plan.HostRestarts.Value + r.plan.HostFailures.Value))
		}),
		"storm-data-centre": r.compareLayouts("a data centre", func(c Calculator) []Row { return c.MassRestart(r.plan.dataCentreRestarts()) }),
	}
	tables["regions"] = r.compareLayouts("regions", Calculator.RegionPartition)
	tables["over"] = table([]string{"Role", "Line", "Limit", "Today", "Times the limit", "With mechanisms"}, r.rowsOverLimit)
	tables["steps"] = r.stepTable()
	tables["messages"] = r.messageTable()
	tables["slopes"] = r.slopeTable()
	return tables, r.measured.Err()
}

// compareLayouts returns a table with the rows of both layouts side by side. It adds
// exceeded limits to rowsOverLimit.
func (r *Report) compareLayouts(role string, rows func(Calculator) []Row) string {
	currentRows, scaledRows := rows(r.current), rows(r.scaled)
	var lines []string
	for i, t := range currentRows {
		p := scaledRows[i]
		limit := "none"
		if t.Limit > 0 {
			limit = t.Unit.Format(t.Limit)
		}
		lines = append(lines, tableRow(t.Name, strings.Join(t.Measured, "; "), t.Assumed, formatWithLimit(t), formatWithLimit(p), limit))
		if exceedsLimit(t) || exceedsLimit(p) {
			r.rowsOverLimit = append(r.rowsOverLimit, tableRow(role, t.Name, limit, t.Unit.Format(t.Value), digits(t.Value/t.Limit), formatWithLimit(p)))
		}
	}
	return table([]string{"Line", "Measured", "Assumed", "Worked out: today", "Worked out: with mechanisms", "Limit"}, lines)
}

func exceedsLimit(r Row) bool { return r.Limit > 0 && r.Value > r.Limit }

func formatWithLimit(r Row) string {
	text := r.Unit.Format(r.Value)
	switch {
	case r.Limit == 0:
		return text
	case exceedsLimit(r):
		return text + " **over**"
	}
	return text + ", fits"
}

// parameterTable returns a table of the parameters in a struct, either the assumed
// or the planned ones.
func parameterTable(plan any, assumed bool) string {
	v := reflect.ValueOf(plan)
	var lines []string
	for i := range v.NumField() {
		f, ok := v.Field(i).Interface().(Parameter)
		if !ok || (f.Reason != "") != assumed {
			continue
		}
		name := v.Type().Field(i).Tag.Get("name")
		if assumed {
			lines = append(lines, tableRow(name, f.Unit.Format(f.Value), f.Reason))
			continue
		}
		lines = append(lines, tableRow(name, f.Unit.Format(f.Value)))
	}
	if assumed {
		return table([]string{"Assumption", "Value", "Reason"}, lines)
	}
	return table([]string{"Planned", "Value"}, lines)
}

func (r *Report) layoutTable() string {
	currentLayout, scaledLayout := reflect.ValueOf(r.current.Layout), reflect.ValueOf(r.scaled.Layout)
	var lines []string
	for i := range currentLayout.NumField() {
		a, b := currentLayout.Field(i).Interface().(Parameter), scaledLayout.Field(i).Interface().(Parameter)
		lines = append(lines, tableRow(currentLayout.Type().Field(i).Tag.Get("name"), a.Unit.Format(a.Value), b.Unit.Format(b.Value), b.Reason))
	}
	return table([]string{"Parameter", "Today", "With mechanisms", "Reason"}, lines)
}

// slopeTable returns a table of the fitted lines that other tables use.
func (r *Report) slopeTable() string {
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
		if s.Line.Residual > nonlinearResidual {
			mark = " **bends**"
		}
		lines = append(lines, tableRow(shortName(s.Name), s.Unit, s.Param, sizes(s), formatUnit(s.Line.Intercept, unit),
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

func tableRow(texts ...string) string { return "| " + strings.Join(texts, " | ") + " |" }

func table(head []string, lines []string) string {
	rule := strings.TrimSuffix(strings.Repeat("---|", len(head)), "|")
	return fmt.Sprintf("%s\n|%s|\n%s\n", tableRow(head...), rule, strings.Join(lines, "\n"))
}
