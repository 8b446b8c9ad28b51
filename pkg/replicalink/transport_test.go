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

// Guards against followers that cannot elect a leader: they have nothing to say
// to each other until the leader is lost, and a stream opened long before was
// closed by the peer without notice.
func TestTransport_DeliversAfterALongSilence(t *testing.T) {
	const firstFrame = 50 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	got := make(chan uint64, 1)
	closed := make(chan struct{}, 1)
	server := link.NewServer(ln, link.Options{}, func(_ link.Identity, s *wire.Stream) {
		defer s.Close()
		_ = s.SetReadDeadline(time.Now().Add(firstFrame))
		f, err := s.Read()
		if err != nil {
			closed <- struct{}{}
			return
		}
		got <- f.GetRaft().GetTerm()
	}, nil)
	defer server.Close()
	pool := link.NewPool(link.Options{})
	defer pool.Close()
	transport := NewTransport(1, []*wirepb.Voter{{Id: 2, PeerAddress: server.Address()}}, pool, logs.Nop())
	defer transport.Close()
	select {
	case <-closed: // the peer gave up an early stream
	case <-time.After(4 * firstFrame):
	}
	transport.Send([]*wirepb.RaftMessage{{To: 2, Term: 7}})
	select {
	case term := <-got:
		assert.Equal(t, term, uint64(7))
	case <-time.After(5 * time.Second):
		t.Fatal("the message was not delivered")
	}
}
