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

const testMaxFrame = 1 << 10

// feed returns the error of reading bytes that a peer sent before it closed.
func feed(data []byte) (*wirepb.Frame, error) {
	near, far := net.Pipe()
	defer near.Close()
	go func() {
		_, _ = far.Write(data)
		_ = far.Close()
	}()
	_ = near.SetReadDeadline(time.Now().Add(10 * time.Second))
	return NewStream(near, testMaxFrame).Read()
}

func framed(body []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// Guards against memory or time spent on frames that are oversized, cut short
// or malformed, and against errors that do not say which.
func TestStream_BadFrames(t *testing.T) {
	token := &wirepb.Frame{Body: &wirepb.Frame_Token{Token: &wirepb.Token{Session: "s"}}}
	body, err := proto.Marshal(token)
	assert.NilError(t, err)
	for name, c := range map[string]struct {
		data []byte
		kind fault.Kind
	}{
		"oversized":    {binary.BigEndian.AppendUint32(nil, testMaxFrame+1), fault.Protocol},
		"cut length":   {[]byte{0, 0}, fault.Unavailable},
		"cut body":     {framed(body)[:len(body)], fault.Unavailable},
		"malformed":    {framed([]byte{0xff, 0xff}), fault.Protocol},
		"unknown body": {framed([]byte{0xf8, 0x3f, 0x01}), fault.Protocol},
	} {
		_, err := feed(c.data)
		assert.Equal(t, fault.KindOf(err), c.kind, "%s: %v", name, err)
	}
	_, err = feed(nil)
	assert.Equal(t, err, io.EOF)
	f, err := feed(framed(body))
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(f, token))
	large := &wirepb.Frame{Body: &wirepb.Frame_Call{Call: &wirepb.CallRequest{Body: make([]byte, testMaxFrame)}}}
	assert.Assert(t, fault.Is(NewStream(nil, testMaxFrame).Write(large), fault.Protocol))
}

// Guards against a panic on bytes from outside.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{0x0a, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := Decode(data)
		assert.Equal(t, frame == nil, err != nil)
	})
}
