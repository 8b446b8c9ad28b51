// Package config reads settings in INI format. A settings struct declares each
// key by tags, and a file is checked whole: every fault is reported at once.
//
// Tags of a field:
//
//	ini:"section.key"   name of the key; the section may itself contain dots
//	default:"value"     value when the key is missing
//	required:"true"     the key must be present and not empty
//	min:"v" max:"v"     bounds of a number or duration, or of a string's length
//	format:"address"    IP address and port; "ip", "path" and "hex" also exist
//	oneof:"a,b"         allowed values
//	help:"text"         one sentence for the settings reference
package config

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Fault is one wrong setting.
type Fault struct {
	Section string
	Key     string
	Reason  string
}

// String returns the fault as "[section] key: reason".
func (f Fault) String() string { return fmt.Sprintf("[%s] %s: %s", f.Section, f.Key, f.Reason) }

// Error lists every fault of one settings file.
type Error struct {
	Path   string
	Faults []Fault
}

// Error implements error.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("%s: %d faults in settings", e.Path, len(e.Faults)))
	for _, f := range e.Faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap lets fault.KindOf classify the error.
func (e *Error) Unwrap() error { return fault.New(fault.Invalid, "settings are not valid") }

// Load reads the INI file at path into settings, a pointer to a struct.
func Load(path string, settings any) error {
	file, err := ini.LoadSources(iniOptions(), path)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "read settings").WithField(path)
	}
	return decode(path, file, settings)
}

// Parse reads settings from memory; name stands for the file in errors.
func Parse(name string, data []byte, settings any) error {
	file, err := ini.LoadSources(iniOptions(), data)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "read settings").WithField(name)
	}
	return decode(name, file, settings)
}

func iniOptions() ini.LoadOptions {
	return ini.LoadOptions{AllowNonUniqueSections: true, AllowShadows: true, IgnoreInlineComment: true}
}

// decoder collects faults while it fills the fields of a struct.
type decoder struct {
	file   *ini.File
	faults []Fault
	known  map[string]bool
}

func decode(path string, file *ini.File, settings any) error {
	d := &decoder{file: file, known: make(map[string]bool)}
	v := reflect.ValueOf(settings)
	if v.Kind() != reflect.Pointer || v.Elem().Kind() != reflect.Struct {
		return fault.New(fault.Internal, "settings must be a pointer to a struct, not %T", settings)
	}
	for _, f := range fieldsOf(v.Elem()) {
		d.known[f.section+"."+f.key] = true
		d.fill(f)
	}
	d.refuseUnknown()
	if len(d.faults) == 0 {
		return nil
	}
	sort.SliceStable(d.faults, func(i, j int) bool { return d.faults[i].String() < d.faults[j].String() })
	return &Error{Path: path, Faults: d.faults}
}

func (d *decoder) fail(section, key, format string, args ...any) {
	d.faults = append(d.faults, Fault{Section: section, Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (d *decoder) fill(f field) {
	values, present := d.lookup(f)
	if len(values) > 1 {
		d.fail(f.section, f.key, "is set %d times", len(values))
		return
	}
	text := f.tag.Get("default")
	if present {
		text = strings.TrimSpace(values[0])
	}
	if text == "" && f.tag.Get("required") == "true" {
		d.fail(f.section, f.key, "is required")
		return
	}
	if text == "" {
		return
	}
	if err := f.set(text); err != nil {
		d.fail(f.section, f.key, "%s", err.reason)
	}
}

// lookup returns the values of a key in all sections of its name.
func (d *decoder) lookup(f field) ([]string, bool) {
	sections, err := d.file.SectionsByName(f.section)
	if err != nil {
		return nil, false
	}
	var values []string
	for _, s := range sections {
		if s.HasKey(f.key) {
			values = append(values, s.Key(f.key).ValueWithShadows()...)
		}
	}
	return values, len(values) > 0
}

func (d *decoder) refuseUnknown() {
	for _, s := range d.file.Sections() {
		for _, k := range s.Keys() {
			if !d.known[s.Name()+"."+k.Name()] {
				d.fail(s.Name(), k.Name(), "is not a known setting")
			}
		}
	}
}
