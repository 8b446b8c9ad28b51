package wire

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const testMaxFrameBytes = 1 << 10

// readFrom returns the result of reading one frame from a peer that sends data
// and closes the connection.
func readFrom(data []byte) (*wirepb.Frame, error) {
	near, far := net.Pipe()
	defer near.Close()
	go func() {
		_, _ = far.Write(data)
		_ = far.Close()
	}()
	_ = near.SetReadDeadline(time.Now().Add(10 * time.Second))
	return NewStream(near, testMaxFrameBytes).Read()
}

// withLength prepends the length prefix of a frame to body.
func withLength(body []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// Guards against oversized, truncated or malformed frames that are accepted or
// reported with the wrong kind of error.
func TestStream_ReportsInvalidFrames(t *testing.T) {
	token := &wirepb.Frame{Body: &wirepb.Frame_Token{Token: &wirepb.Token{Session: "s"}}}
	body, err := proto.Marshal(token)
	assert.NilError(t, err)
	for name, c := range map[string]struct {
		data []byte
		kind fault.Kind
	}{
		"oversized":        {binary.BigEndian.AppendUint32(nil, testMaxFrameBytes+1), fault.Protocol},
		"truncated length": {[]byte{0, 0}, fault.Unavailable},
		"truncated body":   {withLength(body)[:len(body)], fault.Unavailable},
		"malformed":        {withLength([]byte{0xff, 0xff}), fault.Protocol},
		"unknown body":     {withLength([]byte{0xf8, 0x3f, 0x01}), fault.Protocol},
	} {
		_, err := readFrom(c.data)
		assert.Equal(t, fault.KindOf(err), c.kind, "%s: %v", name, err)
	}
	_, err = readFrom(nil)
	assert.Equal(t, err, io.EOF)
	f, err := readFrom(withLength(body))
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(f, token))
	large := &wirepb.Frame{Body: &wirepb.Frame_Call{Call: &wirepb.CallRequest{Body: make([]byte, testMaxFrameBytes)}}}
	assert.Assert(t, fault.Is(NewStream(nil, testMaxFrameBytes).Write(large), fault.Protocol))
}

// Guards against a panic on untrusted input.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{0x0a, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := Decode(data)
		assert.Equal(t, frame == nil, err != nil)
	})
}
