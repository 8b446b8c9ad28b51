package capacity

import (
	"regexp"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

var tableMarker = regexp.MustCompile(`(?s)(<!-- table ([a-z-]+) -->\n).*?(<!-- end -->)`)

// Render returns the page with the text between each pair of table markers
// replaced by the table of that name. It fails if a marker names no table, or if
// a table has no marker.
func Render(page string, tables map[string]string) (string, error) {
	placed := make(map[string]bool)
	var unknown string
	out := tableMarker.ReplaceAllStringFunc(page, func(found string) string {
		parts := tableMarker.FindStringSubmatch(found)
		text, ok := tables[parts[2]]
		if !ok {
			unknown = parts[2]
		}
		placed[parts[2]] = true
		return parts[1] + text + parts[3]
	})
	if unknown != "" {
		return "", fault.New(fault.Invalid, "no table is named %q", unknown)
	}
	for name := range tables {
		if !placed[name] {
			return "", fault.New(fault.Invalid, "the page has no marker for table %q", name)
		}
	}
	return out, nil
}
