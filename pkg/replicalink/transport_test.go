package replicalink

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/link"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Guards against a lost first message, without which followers can't elect a leader: if
// the stream is opened before there is a message, the peer closes it after its read
// timeout, and the write to it fails without an error.
func TestTransport_DeliversFirstMessageAfterReadTimeoutOfPeer(t *testing.T) {
	const firstFrameTimeout = 50 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	receivedTerm := make(chan uint64, 1)
	closed := make(chan struct{}, 1)
	server := link.NewServer(ln, link.Options{}, func(_ link.Identity, s *wire.Stream) {
		defer s.Close()
		_ = s.SetReadDeadline(time.Now().Add(firstFrameTimeout))
		f, err := s.Read()
		if err != nil {
			closed <- struct{}{}
			return
		}
		receivedTerm <- f.GetRaft().GetTerm()
	}, nil)
	defer server.Close()
	pool := link.NewPool(link.Options{})
	defer pool.Close()
	transport := NewTransport(1, []*wirepb.Voter{{Id: 2, PeerAddress: server.Address()}}, pool, logs.Nop())
	defer transport.Close()
	select {
	case <-closed: // the peer closed a stream opened early
	case <-time.After(4 * firstFrameTimeout):
	}
	transport.Send([]*wirepb.RaftMessage{{To: 2, Term: 7}})
	select {
	case term := <-receivedTerm:
		assert.Equal(t, term, uint64(7))
	case <-time.After(5 * time.Second):
		t.Fatal("the message was not delivered")
	}
}
