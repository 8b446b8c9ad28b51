// Package config reads settings in INI format. Struct tags declare the keys of a
// settings struct and their constraints. All problems of a file are reported in
// one error.
//
// Tags of a field:
//
//	ini:"section.key"   name of the key; the part before the last dot is the section
//	default:"value"     value if the key is missing
//	required:"true"     the value must not be empty
//	min:"v" max:"v"     bounds of a number or duration, or of a string's length
//	format:"address"    IP address and port; other formats are "ip", "path" and "hex"
//	oneof:"a,b"         allowed values
//	help:"text"         description for the settings reference
package config

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Problem describes one invalid key or section.
type Problem struct {
	Section string
	Key     string
	Reason  string
}

// String returns the problem as "[section] key: reason".
func (f Problem) String() string { return fmt.Sprintf("[%s] %s: %s", f.Section, f.Key, f.Reason) }

// Error lists all problems of one settings file.
type Error struct {
	Path     string
	Problems []Problem
}

// Error returns the path, the number of problems, and each problem on its own
// line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("%s: %d faults in settings", e.Path, len(e.Problems)))
	for _, f := range e.Problems {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns an error of kind Invalid, so that fault.KindOf reports that
// kind.
func (e *Error) Unwrap() error { return fault.New(fault.Invalid, "settings are not valid") }

// Load reads the INI file at path into settings, a pointer to a struct. It
// returns an *Error if the file is readable but not valid.
func Load(path string, settings any) error {
	file, err := ini.LoadSources(iniOptions(), path)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "read settings").WithField(path)
	}
	return decode(path, file, settings)
}

// Parse does the same as Load for data in memory. name identifies the
// file in errors.
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

// Section is one section of a file read by ParseSections. Value is the struct
// that it was decoded into.
type Section struct {
	Name  string
	Value any
}

// ParseSections decodes each section into the struct to which newValue returns a
// pointer for its name, and returns the sections in file order. The section part
// of the ini tags is ignored. A section is invalid if newValue returns nil or if
// its name has occurred before.
func ParseSections(name string, data []byte, newValue func(section string) any) ([]Section, error) {
	file, err := ini.LoadSources(iniOptions(), data)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "read sections").WithField(name)
	}
	var sections []Section
	var problems []Problem
	seen := make(map[string]bool)
	for _, s := range file.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		value := newValue(s.Name())
		switch {
		case value == nil:
			problems = append(problems, Problem{Section: s.Name(), Reason: "is not a known kind of section"})
			continue
		case seen[s.Name()]:
			problems = append(problems, Problem{Section: s.Name(), Reason: "occurs more than once"})
			continue
		}
		seen[s.Name()] = true
		d := &decoder{file: file, knownKeys: make(map[string]bool), onlySection: s.Name()}
		d.decodeStruct(value)
		problems = append(problems, d.problems...)
		sections = append(sections, Section{Name: s.Name(), Value: value})
	}
	if len(problems) > 0 {
		return nil, &Error{Path: name, Problems: problems}
	}
	return sections, nil
}

// decoder collects problems while it sets the fields of a struct. A non-empty
// onlySection limits it to that section and overrides the section in the tags.
type decoder struct {
	file        *ini.File
	problems    []Problem
	knownKeys   map[string]bool
	onlySection string
}

func decode(path string, file *ini.File, settings any) error {
	v := reflect.ValueOf(settings)
	if v.Kind() != reflect.Pointer || v.Elem().Kind() != reflect.Struct {
		return fault.New(fault.Internal, "settings must be a pointer to a struct, not %T", settings)
	}
	d := &decoder{file: file, knownKeys: make(map[string]bool)}
	d.decodeStruct(settings)
	if len(d.problems) == 0 {
		return nil
	}
	sort.SliceStable(d.problems, func(i, j int) bool { return d.problems[i].String() < d.problems[j].String() })
	return &Error{Path: path, Problems: d.problems}
}

func (d *decoder) decodeStruct(settings any) {
	for _, f := range settingFields(reflect.ValueOf(settings).Elem()) {
		if d.onlySection != "" {
			f.section = d.onlySection
		}
		d.knownKeys[f.section+"."+f.key] = true
		d.decodeField(f)
	}
	d.reportUnknownKeys()
}

func (d *decoder) addProblem(section, key, format string, args ...any) {
	d.problems = append(d.problems, Problem{Section: section, Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (d *decoder) decodeField(f field) {
	values, present := d.lookup(f)
	if len(values) > 1 {
		d.addProblem(f.section, f.key, "is set %d times", len(values))
		return
	}
	text := f.tag.Get("default")
	if present {
		text = strings.TrimSpace(values[0])
	}
	if text == "" && f.tag.Get("required") == "true" {
		d.addProblem(f.section, f.key, "is required")
		return
	}
	if text == "" {
		return
	}
	if err := f.set(text); err != nil {
		d.addProblem(f.section, f.key, "%s", err.reason)
	}
}

// lookup returns the values of a key from all sections with the name of its
// section, and whether there are any.
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

func (d *decoder) reportUnknownKeys() {
	for _, s := range d.file.Sections() {
		if d.onlySection != "" && s.Name() != d.onlySection {
			continue
		}
		for _, k := range s.Keys() {
			if !d.knownKeys[s.Name()+"."+k.Name()] {
				d.addProblem(s.Name(), k.Name(), "is not a known setting")
			}
		}
	}
}
