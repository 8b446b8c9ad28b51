// Package responsehead reads the heads of HTTP/1.1 responses and accepts only what RFC 9112
// allows. The reader of net/http also accepts heads that are not valid, and does not tell which
// of their lines it ignores or changes.
package responsehead

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// maxBytes bounds a head: an upstream in trouble may send bytes without end.
const maxBytes = 64 << 10

// maxStatus is the highest valid status (RFC 9110, section 15).
const maxStatus = 599

// Head is the head of a response.
type Head struct {
	// Bytes are those of the head, with the empty line at its end.
	Bytes  []byte
	Status int
}

// IsInterim reports whether another response to the same request follows.
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
	for len(line) > 0 {
		if line, err = h.readLine(r); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// readLine appends a line to the head and returns it without its end.
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
		return bytes.TrimRight(h.Bytes[start:], "\r\n"), nil
	}
}

// parseStatusLine reads a line such as "HTTP/1.1 200 OK". It accepts one without the blank that
// follows the status, which many servers omit if they state no reason.
func (h *Head) parseStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if v := string(version); v != "HTTP/1.1" && v != "HTTP/1.0" {
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
