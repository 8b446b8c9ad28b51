package config

import (
	"fmt"
	"reflect"
	"strings"
)

// Reference returns the settings reference of a struct as a Markdown table.
func Reference(settings any) string {
	var b strings.Builder
	b.WriteString("| section | key | default | bounds | meaning |\n|---|---|---|---|---|\n")
	for _, f := range settingFields(reflect.ValueOf(settings).Elem()) {
		value := f.tag.Get("default")
		if f.tag.Get("required") == "true" {
			value = "required"
		}
		fmt.Fprintf(&b, "| %s | `%s` | %s | %s | %s |\n", f.section, f.key, value, f.bounds(), f.tag.Get("help"))
	}
	return b.String()
}

func (f field) bounds() string {
	var parts []string
	for _, name := range []string{"format", "oneof", "min", "max"} {
		if v := f.tag.Get(name); v != "" {
			parts = append(parts, name+" "+v)
		}
	}
	return strings.Join(parts, "; ")
}
