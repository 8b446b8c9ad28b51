package capacity

import (
	"math"
	"strconv"
	"strings"
)

// Unit is the unit of a value in the tables.
type Unit string

// Units of the tables.
const (
	UnitCount          Unit = ""
	UnitPerSecond      Unit = "/s"
	UnitPerDay         Unit = "/day"
	UnitBytes          Unit = "B"
	UnitBytesPerSecond Unit = "B/s"
	UnitSeconds        Unit = "s"
	UnitCorePercent    Unit = "% of a core"
	UnitCores          Unit = "cores"
	UnitTokens         Unit = "tokens"
	UnitFraction       Unit = "part"
)

// Format formats a value with its unit. Values are rounded to three significant
// digits. Numbers of 1000 and more that take no unit prefix are written with all
// integer digits.
func (u Unit) Format(v float64) string {
	switch u {
	case UnitBytes, UnitBytesPerSecond:
		return scaled(v, 1000, []string{"", "k", "M", "G", "T"}, string(u))
	case UnitSeconds:
		return formatSeconds(v)
	case UnitCorePercent:
		return digits(v) + "% of a core"
	case UnitFraction:
		return digits(100*v) + "%"
	case UnitCores:
		if v == 1 {
			return "1 core"
		}
	case UnitCount:
		return grouped(v)
	case UnitPerSecond, UnitPerDay:
		return grouped(v) + string(u)
	}
	return grouped(v) + " " + string(u)
}

// formatUnit formats a value that has the unit of a benchmark.
func formatUnit(v float64, unit string) string {
	head, rest, ok := strings.Cut(unit, "/")
	kind := strings.TrimPrefix(head, "start-")
	switch {
	case strings.HasSuffix(kind, "ns-each-s"):
		return formatSeconds(v*1e-9) + " CPU each s"
	case strings.HasSuffix(kind, "ns"):
		text := formatSeconds(v * 1e-9)
		if strings.HasPrefix(kind, "cpu") {
			text += " CPU"
		}
		return text
	case strings.HasSuffix(kind, "-ms"):
		return formatSeconds(v * 1e-3)
	case strings.HasSuffix(kind, "B") || kind == "bytes":
		return UnitBytes.Format(v)
	case ok:
		return grouped(v) + " " + head + "/" + rest
	}
	return grouped(v) + " " + unit
}

func formatSeconds(v float64) string {
	size := math.Abs(v)
	switch {
	case size == 0:
		return "0 s"
	case size < 1e-6:
		return digits(v*1e9) + " ns"
	case size < 1e-3:
		return digits(v*1e6) + " µs"
	case size < 1:
		return digits(v*1e3) + " ms"
	}
	return grouped(v) + " s"
}

func scaled(v, step float64, prefixes []string, unit string) string {
	i := 0
	for math.Abs(v) >= step && i < len(prefixes)-1 {
		v /= step
		i++
	}
	return digits(v) + " " + prefixes[i] + unit
}

// digits formats a number with three significant digits and no exponent.
func digits(v float64) string {
	if v == 0 {
		return "0"
	}
	decimals := max(0, 2-int(math.Floor(math.Log10(math.Abs(v)))))
	text := strconv.FormatFloat(v, 'f', min(decimals, 6), 64)
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return text
}

// grouped formats a number, with thousands separators from 1000 on.
func grouped(v float64) string {
	if math.Abs(v) < 1000 {
		return digits(v)
	}
	text := strconv.FormatFloat(v, 'f', 0, 64)
	for i := len(text) - 3; i > 0 && text[i-1] != '-'; i -= 3 {
		text = text[:i] + "," + text[i:]
	}
	return text
}
