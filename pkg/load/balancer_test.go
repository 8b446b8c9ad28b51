package load

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests that are lost because one entry is gone while others
// could take them.
func TestDialNextEntry(t *testing.T) {
	up, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	entries := []string{refusing, up.Addr().String()}
	conn, err := dialNextEntry(entries)(t.Context(), "tcp", entries[0])
	assert.NilError(t, err)
	assert.Equal(t, conn.RemoteAddr().String(), entries[1])
	assert.NilError(t, conn.Close())
	assert.NilError(t, up.Close())
	_, err = dialNextEntry(entries)(t.Context(), "tcp", entries[0])
	assert.Assert(t, err != nil)
}
