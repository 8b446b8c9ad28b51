package upstreams

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

func invalidField(field, format string, args ...any) *fault.Error {
	return fault.New(fault.Invalid, format, args...).WithField(field)
}

func indexedField(list string, i int, field string) string {
	return fmt.Sprintf("%s[%d].%s", list, i, field)
}

func checkName(field, name string) error {
	if name == "" {
		return invalidField(field, "is empty")
	}
	if len(name) > maxNameBytes {
		return invalidField(field, "%d bytes are over the limit of %d", len(name), maxNameBytes)
	}
	return nil
}

// checkAddress accepts an IP address with a port. Host names are rejected
// because the platform has no name service.
func checkAddress(field, address string) error {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "is not an IP number and a port").WithField(field)
	}
	if ap.Port() == 0 {
		return invalidField(field, "port is zero")
	}
	return nil
}

type validator interface{ Validate() error }

// decodeBody reads a body of at most limit bytes, decodes its single JSON value
// and validates it.
func decodeBody(r io.Reader, limit int64, into validator) error {
	data, err := readAll(r, limit)
	if err != nil {
		return err
	}
	return decode(data, into)
}

func decode(data []byte, into validator) error {
	if err := decodeJSON(data, into); err != nil {
		return err
	}
	return into.Validate()
}

// decodeJSON decodes one JSON value and rejects trailing data.
func decodeJSON(data []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(into); err != nil {
		return jsonError(err, dec.InputOffset())
	}
	if _, err := dec.Token(); err != io.EOF {
		return invalidField(fmt.Sprintf("offset %d", dec.InputOffset()), "data follows the JSON value")
	}
	return nil
}

func jsonError(err error, offset int64) *fault.Error {
	field := fmt.Sprintf("offset %d", offset)
	switch e := err.(type) {
	case *json.UnmarshalTypeError:
		if e.Field != "" {
			field = e.Field
		}
	case *json.SyntaxError:
		field = fmt.Sprintf("offset %d", e.Offset)
	}
	return fault.Wrap(err, fault.Invalid, "decode JSON").WithField(field)
}

// readAll reads a body and rejects one of more than limit bytes.
func readAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "read body")
	}
	if int64(len(data)) > limit {
		return nil, invalidField("body", "is over the limit of %d bytes", limit)
	}
	return data, nil
}
