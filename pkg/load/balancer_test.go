package load

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests that fail because one entry refuses connections while
// another accepts them.
func TestDialNextEntry_SkipsRefusingEntry(t *testing.T) {
	up, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	entries := []string{refusingAddress, up.Addr().String()}
	conn, err := dialNextEntry(entries)(t.Context(), "tcp", entries[0])
	assert.NilError(t, err)
	assert.Equal(t, conn.RemoteAddr().String(), entries[1])
	assert.NilError(t, conn.Close())
	assert.NilError(t, up.Close())
	_, err = dialNextEntry(entries)(t.Context(), "tcp", entries[0])
	assert.Assert(t, err != nil)
}
