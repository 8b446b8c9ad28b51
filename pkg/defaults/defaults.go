// Package defaults fills in options that were left out.
package defaults

// Set replaces a value of zero or less by def.
func Set[T ~int | ~int64 | ~float64](value *T, def T) {
	if *value <= 0 {
		*value = def
	}
}
