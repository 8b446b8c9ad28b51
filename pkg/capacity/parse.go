// Package capacity fits lines to benchmark results and extrapolates from them the
// resources that each role needs at the planned size. It renders the tables of
// docs/CAPACITY.md.
package capacity

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

const modulePath = "github.com/plantainstair/plantainstair/"

// Sample is one reported value of one sub-benchmark.
type Sample struct {
	// Series names package, benchmark and sub-benchmark without the size, for
	// example "pkg/core/state.Snapshot/take".
	Series string
	Param  string // the items that the size counts, for example "claims"; empty without a size
	Size   float64
	Unit   string
	Value  float64
}

// processorSuffix matches the GOMAXPROCS suffix of a benchmark name.
var processorSuffix = regexp.MustCompile(`-\d+$`)

// Parse parses the output of go test -bench for one or more packages. It returns
// an error if a test or package failed.
func Parse(r io.Reader) ([]Sample, error) {
	var samples []Sample
	pkg := ""
	scanner := bufio.NewScanner(r)
	for line := 1; scanner.Scan(); line++ {
		text := scanner.Text()
		fields := strings.Fields(text)
		switch {
		case len(fields) == 0:
		case fields[0] == "pkg:" && len(fields) == 2:
			pkg = strings.TrimPrefix(fields[1], modulePath)
		case fields[0] == "FAIL" || strings.HasPrefix(text, "--- FAIL"):
			return nil, fault.New(fault.Invalid, "line %d: the run failed: %s", line, text)
		case strings.HasPrefix(fields[0], "Benchmark") && len(fields) >= 4:
			found, err := parseResult(pkg, fields)
			if err != nil {
				return nil, fault.Wrap(err, fault.Invalid, "line %d", line)
			}
			samples = append(samples, found...)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "benchmark output")
	}
	return samples, nil
}

// parseResult parses a result line, which consists of a name, a number of
// iterations, and pairs of value and unit.
func parseResult(pkg string, fields []string) ([]Sample, error) {
	if _, err := strconv.Atoi(fields[1]); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "iterations of %s", fields[0])
	}
	if len(fields)%2 != 0 {
		return nil, fault.New(fault.Invalid, "value without unit in the result of %s", fields[0])
	}
	series, param, size := splitName(fields[0])
	var samples []Sample
	for i := 2; i < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "value of %s", fields[0])
		}
		samples = append(samples, Sample{Series: pkg + "." + series, Param: param, Size: size, Unit: fields[i+1], Value: value})
	}
	return samples, nil
}

// splitName removes the size, which is the last path element of the form
// "name=number", from a benchmark name and returns it separately.
func splitName(name string) (series, param string, size float64) {
	name = processorSuffix.ReplaceAllString(strings.TrimPrefix(name, "Benchmark"), "")
	parts := strings.Split(name, "/")
	for i := len(parts) - 1; i > 0; i-- {
		key, text, ok := strings.Cut(parts[i], "=")
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			continue
		}
		rest := append(append([]string{}, parts[:i]...), parts[i+1:]...)
		return strings.Join(rest, "/"), key, n
	}
	return name, "", 0
}
