// Package hopbyhop finds the fields of a header that apply to one connection and are not
// forwarded (RFC 9110, section 7.6.1).
package hopbyhop

import (
	"net/http"
	"strings"
)

// Names returns the names that the Connection fields of a header list, in their canonical form.
func Names(h http.Header) []string {
	var names []string
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}
