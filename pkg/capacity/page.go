package capacity

import (
	"regexp"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

var marker = regexp.MustCompile(`(?s)(<!-- table ([a-z-]+) -->\n).*?(<!-- end -->)`)

// Render replaces what stands between the markers of a page. Every table must
// have its place, and every place its table.
func Render(page string, tables map[string]string) (string, error) {
	placed := make(map[string]bool)
	var unknown string
	out := marker.ReplaceAllStringFunc(page, func(found string) string {
		parts := marker.FindStringSubmatch(found)
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
			return "", fault.New(fault.Invalid, "the page has no place for table %q", name)
		}
	}
	return out, nil
}
