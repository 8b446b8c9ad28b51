package config

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// field is one field of a settings struct with an ini tag.
type field struct {
	section string
	key     string
	tag     reflect.StructTag
	value   reflect.Value
}

// valueError describes why a value is not valid for a field.
type valueError struct{ reason string }

func newValueError(format string, args ...any) *valueError {
	return &valueError{reason: fmt.Sprintf(format, args...)}
}

var durationType = reflect.TypeFor[time.Duration]()

// settingFields returns the tagged fields of a struct and of its embedded structs.
func settingFields(v reflect.Value) []field {
	var fields []field
	for i := range v.NumField() {
		sf := v.Type().Field(i)
		if sf.Type.Kind() == reflect.Struct && sf.Tag.Get("ini") == "" {
			fields = append(fields, settingFields(v.Field(i))...)
			continue
		}
		name := sf.Tag.Get("ini")
		dot := strings.LastIndex(name, ".")
		if dot < 0 {
			continue
		}
		fields = append(fields, field{section: name[:dot], key: name[dot+1:], tag: sf.Tag, value: v.Field(i)})
	}
	return fields
}

func (f field) set(text string) *valueError {
	if allowed := f.tag.Get("oneof"); allowed != "" {
		if list := strings.Split(allowed, ","); !slices.Contains(list, text) {
			return newValueError("%q is not one of %s", text, strings.Join(list, ", "))
		}
	}
	switch {
	case f.value.Type() == durationType:
		return f.setDuration(text)
	case f.value.Kind() == reflect.Slice:
		return f.setList(text)
	}
	switch f.value.Kind() {
	case reflect.String:
		return f.setString(text)
	case reflect.Bool:
		return f.setBool(text)
	case reflect.Float64:
		return f.setFloat(text)
	case reflect.Int, reflect.Int64, reflect.Int32:
		return f.setInt(text)
	case reflect.Uint, reflect.Uint64, reflect.Uint32:
		return f.setUint(text)
	}
	return newValueError("has the unsupported type %s", f.value.Type())
}

func (f field) setString(text string) *valueError {
	if err := checkFormat(f.tag.Get("format"), text); err != nil {
		return err
	}
	if err := f.checkBounds(float64(len(text)), func(s string) (float64, bool) { return parseNumber(s) }); err != nil {
		return newValueError("length of %d bytes %s", len(text), err.reason)
	}
	f.value.SetString(text)
	return nil
}

func (f field) setList(text string) *valueError {
	var items []string
	for _, item := range strings.Split(text, ",") {
		item = strings.TrimSpace(item)
		if err := checkFormat(f.tag.Get("format"), item); err != nil {
			return err
		}
		items = append(items, item)
	}
	f.value.Set(reflect.ValueOf(items))
	return nil
}

func (f field) setBool(text string) *valueError {
	b, err := strconv.ParseBool(text)
	if err != nil {
		return newValueError("%q is not true or false", text)
	}
	f.value.SetBool(b)
	return nil
}

func (f field) setDuration(text string) *valueError {
	d, err := time.ParseDuration(text)
	if err != nil {
		return newValueError("%q is not a duration such as 500ms or 2s", text)
	}
	if err := f.checkBounds(d.Seconds(), parseSeconds); err != nil {
		return newValueError("%s %s", text, err.reason)
	}
	f.value.SetInt(int64(d))
	return nil
}

func (f field) setFloat(text string) *valueError {
	x, ok := parseNumber(text)
	if !ok {
		return newValueError("%q is not a number", text)
	}
	if err := f.checkBounds(x, parseNumber); err != nil {
		return newValueError("%s %s", text, err.reason)
	}
	f.value.SetFloat(x)
	return nil
}

func (f field) setInt(text string) *valueError {
	n, err := strconv.ParseInt(text, 10, f.value.Type().Bits())
	if err != nil {
		return newValueError("%q is not a whole number", text)
	}
	if err := f.checkBounds(float64(n), parseNumber); err != nil {
		return newValueError("%s %s", text, err.reason)
	}
	f.value.SetInt(n)
	return nil
}

func (f field) setUint(text string) *valueError {
	n, err := strconv.ParseUint(text, 10, f.value.Type().Bits())
	if err != nil {
		return newValueError("%q is not a whole number of zero or more", text)
	}
	if err := f.checkBounds(float64(n), parseNumber); err != nil {
		return newValueError("%s %s", text, err.reason)
	}
	f.value.SetUint(n)
	return nil
}

func (f field) checkBounds(x float64, parse func(string) (float64, bool)) *valueError {
	if low, ok := parse(f.tag.Get("min")); ok && x < low {
		return newValueError("is below the minimum of %s", f.tag.Get("min"))
	}
	if high, ok := parse(f.tag.Get("max")); ok && x > high {
		return newValueError("is above the maximum of %s", f.tag.Get("max"))
	}
	return nil
}

func parseNumber(s string) (float64, bool) {
	x, err := strconv.ParseFloat(s, 64)
	return x, err == nil && x == x
}

func parseSeconds(s string) (float64, bool) {
	d, err := time.ParseDuration(s)
	return d.Seconds(), err == nil
}

func checkFormat(format, text string) *valueError {
	switch format {
	case "":
		return nil
	case "address":
		if _, err := netip.ParseAddrPort(text); err != nil {
			return newValueError("%q is not an IP address and port", text)
		}
	case "ip":
		if _, err := netip.ParseAddr(text); err != nil {
			return newValueError("%q is not an IP address", text)
		}
	case "hex":
		if _, err := hex.DecodeString(text); err != nil {
			return newValueError("is not hexadecimal")
		}
	case "path":
		if strings.ContainsRune(text, 0) {
			return newValueError("contains a NUL byte")
		}
	default:
		return newValueError("has the unknown format %q", format)
	}
	return nil
}
