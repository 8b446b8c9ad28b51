package responsehead

import (
	"bufio"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/standin/brokenresponse"
)

// Guards against a head that is accepted here and read differently by net/http: another status,
// another end, or a field that is left out, joined or changed.
func FuzzRead(f *testing.F) {
	for _, response := range brokenresponse.All("A: b\r\n") {
		f.Add(response)
	}
	f.Add("HTTP/1.1 200\r\nA:b \r\nA: \t c\r\nConnection: close, A\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	f.Add("HTTP/1.0 503 Service Unavailable\r\nContent-Length: 0\r\nServer-Signature: \xe9 x\r\n\r\nrest")
	f.Fuzz(func(t *testing.T, data string) {
		r := bufio.NewReader(strings.NewReader(data))
		head, err := Read(r)
		if err != nil {
			return
		}
		rest, err := io.ReadAll(r)
		assert.NilError(t, err)
		assert.Equal(t, string(head.Bytes)+string(rest), data)
		checked := bufio.NewReader(strings.NewReader(string(head.Bytes)))
		resp, err := http.ReadResponse(checked, nil)
		if err != nil {
			return // net/http refuses more values of fields
		}
		assert.Equal(t, resp.StatusCode, head.Status)
		assert.Equal(t, checked.Buffered(), 0, "net/http takes a part of the head for the body")
		for _, line := range strings.Split(strings.TrimSuffix(string(head.Bytes), "\r\n\r\n"), "\r\n")[1:] {
			name, value, _ := strings.Cut(line, ":")
			name = http.CanonicalHeaderKey(name)
			if slices.Contains([]string{"Connection", "Content-Length", "Trailer", "Transfer-Encoding"}, name) {
				continue // net/http interprets and may remove them
			}
			assert.Assert(t, slices.Contains(resp.Header[name], strings.Trim(value, " \t")), "%q is not in %v", line, resp.Header)
		}
	})
}
