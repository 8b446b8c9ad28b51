package link

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

func key(id string) Key { return Key{ID: id, Secret: []byte("0123456789abcdef-" + id)} }

func startEchoServer(t testing.TB, keys *Keyring) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(ln, Options{Identity: Identity{Role: "agent", Host: "h1"}, Keys: keys}, func(_ Identity, st *wire.Stream) {
		defer st.Close()
		for {
			f, err := st.Read()
			if err != nil || st.Write(f) != nil {
				return
			}
		}
	}, nil)
	t.Cleanup(func() { _ = s.Close() })
	return s.Address()
}

// Guards against frames that are lost or altered when the connection changes
// from the handshake to yamux.
func TestSession_DeliversFramesUnchanged(t *testing.T) {
	addr := startEchoServer(t, &Keyring{Current: key("a")})
	p := NewPool(Options{Identity: Identity{Role: "entry", Host: "h2"}, Keys: &Keyring{Current: key("a")}})
	defer p.Close()
	for i := range 10 {
		st, err := p.Open(context.Background(), addr)
		assert.NilError(t, err)
		want := &wirepb.Frame{Body: &wirepb.Frame_Token{Token: &wirepb.Token{Position: uint32(i), Session: "s"}}}
		assert.NilError(t, st.Write(want))
		got, err := st.Read()
		assert.NilError(t, err)
		assert.Equal(t, got.GetToken().Position, uint32(i))
		assert.NilError(t, st.Close())
	}
}

// Guards against a key rotation that rejects peers which still use the previous
// key.
func TestHandshake_AcceptsCurrentAndPreviousKey(t *testing.T) {
	addr := startEchoServer(t, &Keyring{Current: key("new"), Accepted: []Key{key("old")}})
	for _, id := range []string{"new", "old"} {
		s, err := Dial(context.Background(), addr, Options{Keys: &Keyring{Current: key(id)}})
		assert.NilError(t, err)
		assert.Equal(t, s.Peer().Host, "h1")
		assert.NilError(t, s.Close())
	}
}

// Guards against sessions with a peer that has another key, or none.
func TestHandshake_RejectsUnknownWrongOrMissingKey(t *testing.T) {
	addr := startEchoServer(t, &Keyring{Current: key("a")})
	forged := &Keyring{Current: Key{ID: "a", Secret: []byte("another secret of 16+")}}
	for name, keys := range map[string]*Keyring{"unknown id": {Current: key("b")}, "wrong secret": forged, "no key": nil} {
		_, err := Dial(context.Background(), addr, Options{Keys: keys})
		assert.Assert(t, fault.Is(err, fault.Unauthenticated), "%s: %v", name, err)
	}
	plain := startEchoServer(t, nil)
	_, err := Dial(context.Background(), plain, Options{Keys: &Keyring{Current: key("a")}})
	assert.Assert(t, fault.Is(err, fault.Unauthenticated), "server without key: %v", err)
}
