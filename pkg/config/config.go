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

// Problem is one wrong setting.
type Problem struct {
	Section string
	Key     string
	Reason  string
}

// String returns the fault as "[section] key: reason".
func (f Problem) String() string { return fmt.Sprintf("[%s] %s: %s", f.Section, f.Key, f.Reason) }

// Error lists every fault of one settings file.
type Error struct {
	Path     string
	Problems []Problem
}

// Error implements error.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("%s: %d faults in settings", e.Path, len(e.Problems)))
	for _, f := range e.Problems {
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

// Section is one named section of a file in which each section describes one
// item, decoded into Value.
type Section struct {
	Name  string
	Value any
}

// ParseSections decodes each section into the struct that newValue returns for
// its name. The section part of the tags is ignored. A nil value refuses the
// section, and so does a name that occurs twice.
func ParseSections(name string, data []byte, newValue func(section string) any) ([]Section, error) {
	file, err := ini.LoadSources(iniOptions(), data)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "read sections").WithField(name)
	}
	var sections []Section
	var faults []Problem
	seen := make(map[string]bool)
	for _, s := range file.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		value := newValue(s.Name())
		switch {
		case value == nil:
			faults = append(faults, Problem{Section: s.Name(), Reason: "is not a known kind of section"})
			continue
		case seen[s.Name()]:
			faults = append(faults, Problem{Section: s.Name(), Reason: "occurs more than once"})
			continue
		}
		seen[s.Name()] = true
		d := &decoder{file: file, known: make(map[string]bool), only: s.Name()}
		d.run(value)
		faults = append(faults, d.faults...)
		sections = append(sections, Section{Name: s.Name(), Value: value})
	}
	if len(faults) > 0 {
		return nil, &Error{Path: name, Problems: faults}
	}
	return sections, nil
}

// decoder collects faults while it fills the fields of a struct. A non-empty
// only limits it to one section, whatever section the tags name.
type decoder struct {
	file   *ini.File
	faults []Problem
	known  map[string]bool
	only   string
}

func decode(path string, file *ini.File, settings any) error {
	v := reflect.ValueOf(settings)
	if v.Kind() != reflect.Pointer || v.Elem().Kind() != reflect.Struct {
		return fault.New(fault.Internal, "settings must be a pointer to a struct, not %T", settings)
	}
	d := &decoder{file: file, known: make(map[string]bool)}
	d.run(settings)
	if len(d.faults) == 0 {
		return nil
	}
	sort.SliceStable(d.faults, func(i, j int) bool { return d.faults[i].String() < d.faults[j].String() })
	return &Error{Path: path, Problems: d.faults}
}

func (d *decoder) run(settings any) {
	for _, f := range fieldsOf(reflect.ValueOf(settings).Elem()) {
		if d.only != "" {
			f.section = d.only
		}
		d.known[f.section+"."+f.key] = true
		d.fill(f)
	}
	d.refuseUnknown()
}

func (d *decoder) fail(section, key, format string, args ...any) {
	d.faults = append(d.faults, Problem{Section: section, Key: key, Reason: fmt.Sprintf(format, args...)})
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
		if d.only != "" && s.Name() != d.only {
			continue
		}
		for _, k := range s.Keys() {
			if !d.known[s.Name()+"."+k.Name()] {
				d.fail(s.Name(), k.Name(), "is not a known setting")
			}
		}
	}
}
