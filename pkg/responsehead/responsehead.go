// Package responsehead reads the heads of HTTP/1.1 responses and accepts only what RFC 9112
// allows. The reader of net/http also accepts heads that are not valid, and does not tell which
// of their lines it ignores or changes.
package responsehead

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// maxBytes bounds a head: an upstream in trouble may send bytes without end.
const maxBytes = 64 << 10

// maxStatus is the highest valid status (RFC 9110, section 15).
const maxStatus = 599

// Head is the head of a response.
type Head struct {
	Bytes  []byte // with the empty line at its end
	Status int
	// Connection has the values of the Connection fields. net/http removes them from the header
	// if one of them is "close", together with the names of fields that are not to be forwarded.
	Connection []string

	version   string
	length    string // of the body, empty if not stated
	isEncoded bool   // a transfer encoding is stated
}

// IsInterim reports whether the response is informational (1xx): another one to the same request
// follows.
func (h *Head) IsInterim() bool { return h.Status < http.StatusOK }

// Read reads the next head from r. It fails with a Protocol error if the head is not valid,
// incomplete or too long.
func Read(r *bufio.Reader) (*Head, error) {
	h := &Head{}
	line, err := h.readLine(r)
	if err != nil {
		return nil, err
	}
	if err := h.parseStatusLine(line); err != nil {
		return nil, err
	}
	for {
		line, err := h.readLine(r)
		switch {
		case err != nil:
			return nil, err
		case len(line) == 0:
			if err := h.checkFraming(); err != nil {
				return nil, err
			}
			return h, nil
		}
		if err := h.parseField(line); err != nil {
			return nil, err
		}
	}
}

// readLine appends a line to the head and returns it without its end. The end is a carriage return
// and a line feed: a line feed alone may stand in the middle of a damaged line.
func (h *Head) readLine(r *bufio.Reader) ([]byte, error) {
	start := len(h.Bytes)
	for {
		part, err := r.ReadSlice('\n')
		h.Bytes = append(h.Bytes, part...)
		switch {
		case len(h.Bytes) > maxBytes:
			return nil, fault.New(fault.Protocol, "head of the response is too long")
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF:
			return nil, fault.Wrap(io.ErrUnexpectedEOF, fault.Protocol, "read the head of a response")
		case err != nil:
			return nil, fault.Wrap(err, fault.Protocol, "read the head of a response")
		}
		line, ok := bytes.CutSuffix(h.Bytes[start:], []byte("\r\n"))
		if !ok || !isText(line) {
			return nil, fault.New(fault.Protocol, "line %.64q in the head of the response is not valid", h.Bytes[start:])
		}
		return line, nil
	}
}

// isText reports whether a line has no control bytes except tabs.
func isText(line []byte) bool {
	for _, b := range line {
		if (b < ' ' && b != '\t') || b == 0x7f {
			return false
		}
	}
	return true
}

// parseStatusLine reads a line such as "HTTP/1.1 200 OK". It accepts one without the blank that
// follows the status, which many servers omit if they state no reason.
func (h *Head) parseStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	h.version = string(version)
	if h.version != "HTTP/1.1" && h.version != "HTTP/1.0" {
		return fault.New(fault.Protocol, "response starts with %.32q", line)
	}
	code, _, _ := bytes.Cut(rest, []byte(" "))
	if len(code) != len("200") {
		return fault.New(fault.Protocol, "status %.16q of the response is not valid", code)
	}
	for _, digit := range code {
		if digit < '0' || digit > '9' {
			return fault.New(fault.Protocol, "status %q of the response is not valid", code)
		}
		h.Status = 10*h.Status + int(digit-'0')
	}
	if h.Status < http.StatusContinue || h.Status > maxStatus {
		return fault.New(fault.Protocol, "status %q of the response is not valid", code)
	}
	return nil
}

// parseField reads a line with the name of a field, a colon and its value. A blank before the
// name would continue the line above; such lines are obsolete, and joining them may change a
// field that is forwarded (RFC 9112, section 5.2). A blank after the name would hide the field
// from the reader (section 5.1).
func (h *Head) parseField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 || bytes.ContainsFunc(name, func(r rune) bool { return !isTokenChar(r) }) {
		return fault.New(fault.Protocol, "line %.64q in the head of the response has no valid field name", line)
	}
	switch {
	case strings.EqualFold(string(name), "Content-Length"):
		h.length = string(bytes.Trim(value, " \t"))
	case strings.EqualFold(string(name), "Transfer-Encoding"):
		h.isEncoded = true
	case strings.EqualFold(string(name), "Connection"):
		h.Connection = append(h.Connection, string(value))
	}
	return nil
}

// checkFraming returns an error if the head is contradictory about where its response ends. The
// values of the fields are left to net/http, which refuses different lengths and unknown
// encodings.
func (h *Head) checkFraming() error {
	hasBody := h.isEncoded || (h.length != "" && h.length != "0")
	switch {
	case h.Status == http.StatusSwitchingProtocols:
		return fault.New(fault.Protocol, "response switches to a protocol that was not asked for")
	case hasBody && (h.IsInterim() || h.Status == http.StatusNoContent):
		return fault.New(fault.Protocol, "response with status %d states a body", h.Status)
	case h.isEncoded && h.length != "":
		return fault.New(fault.Protocol, "response states a length and a transfer encoding")
	case h.isEncoded && h.version == "HTTP/1.0":
		return fault.New(fault.Protocol, "response of version 1.0 states a transfer encoding")
	}
	return nil
}

// isTokenChar reports whether a token may have this character (RFC 9110, section 5.6.2).
func isTokenChar(r rune) bool {
	return '0' <= r && r <= '9' || 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}
