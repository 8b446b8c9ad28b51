// Package defaults sets options that are not set to their default values.
package defaults

// Set sets *value to def if it is zero or negative.
func Set[T ~int | ~int64 | ~float64](value *T, def T) {
	if *value <= 0 {
		*value = def
	}
}
