package instances

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/standin/brokenresponse"
)

func assertBroken(t *testing.T, replies map[string]string) {
	t.Helper()
	for name, reply := range replies {
		t.Run(name, func(t *testing.T) {
			s := startScriptedUpstream(t, strings.TrimSuffix(reply, brokenresponse.Close)+closeMarker)
			body, err := get(t, NewPool(echoDialect{}, func() {}), s.Addr().String(), "1")
			assert.Assert(t, fault.Is(err, fault.Upstream), "body %q, error %v", body, err)
			assert.Equal(t, fault.As(err).Outcome, fault.MayHaveRun)
		})
	}
}

// Guards against an invalid status that is taken for that of a reply, or of an interim reply,
// which is skipped, so that what follows becomes the reply.
func TestPool_RefusesInvalidStatusLines(t *testing.T) {
	assertBroken(t, brokenresponse.InvalidStatusLines("Id: 1\r\n"))
}

// Guards against a line in a head that is not passed on, or that changes where the body ends or
// another field, because the reader did not find the name of a field in it.
func TestPool_RefusesInvalidFields(t *testing.T) {
	assertBroken(t, brokenresponse.InvalidFields("Id: 1\r\n"))
}

// Guards against a reply whose end is unclear or contradictory: a part of the body, or bytes after
// it, would become the reply to this call or the next.
func TestPool_RefusesInvalidFraming(t *testing.T) {
	assertBroken(t, brokenresponse.InvalidFraming("Id: 1\r\n"))
}

// Guards against a reply that ends within its head and is taken for a whole one with an empty or
// short body.
func TestPool_RefusesReplyCutInItsHead(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nContent-Length: 12\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nSignature: s\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n",
		"HTTP/1.0 200 OK\r\nId: 1\r\nSignature: s\r\n\r\n",
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
	} {
		for end := 1; end < len(head); end++ {
			s := startScriptedUpstream(t, head[:end]+closeMarker)
			body, err := get(t, NewPool(echoDialect{}, func() {}), s.Addr().String(), "1")
			assert.Assert(t, fault.Is(err, fault.Upstream), "cut after %q: body %q, error %v", head[:end], body, err)
			assert.Equal(t, fault.As(err).Outcome, fault.MayHaveRun)
		}
	}
}
