package local

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

// silence is how long nothing must arrive to count as cut.
const silence = 50 * time.Millisecond

// echo answers each connection with what it receives.
func echo(t *testing.T) string {
	ln, err := net.Listen("tcp", loopbackAny)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return ln.Addr().String()
}

func dial(t *testing.T, r *FaultProxy) net.Conn {
	conn, err := net.Dial("tcp", r.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// answers sends one byte and reports whether it comes back in time.
func answers(t *testing.T, conn net.Conn, b byte, wait time.Duration) bool {
	_, err := conn.Write([]byte{b})
	assert.NilError(t, err)
	return receives(t, conn, b, wait)
}

func receives(t *testing.T, conn net.Conn, b byte, wait time.Duration) bool {
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(wait)))
	got := []byte{0}
	if _, err := io.ReadFull(conn, got); err != nil {
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "a cut or slow link must not end the connection: %v", err)
		return false
	}
	assert.Equal(t, got[0], b)
	return true
}

// Guards against a cut that shows as a closed connection, loses what was sent
// before it is healed, or leaves out new connections, and against goroutines
// that outlive the relay.
func TestRelay(t *testing.T) {
	const enough = 5 * time.Second
	target := echo(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	r, err := NewFaultProxy(loopbackAny, target)
	assert.NilError(t, err)
	defer r.Close()
	old := dial(t, r)
	assert.Assert(t, answers(t, old, 'a', enough))
	for _, cut := range []LinkFaults{{BlockToTarget: true, BlockFromTarget: true}, {BlockToTarget: true}, {BlockFromTarget: true}} {
		r.SetFaults(cut)
		young := dial(t, r)
		assert.Assert(t, !answers(t, old, 'b', silence), "%+v", cut)
		assert.Assert(t, !answers(t, young, 'c', silence), "%+v", cut)
		r.SetFaults(LinkFaults{})
		assert.Assert(t, receives(t, old, 'b', enough), "%+v", cut)
		assert.Assert(t, receives(t, young, 'c', enough), "%+v", cut)
	}
	r.SetFaults(LinkFaults{Delay: silence})
	sent := time.Now()
	assert.Assert(t, answers(t, old, 'd', enough))
	assert.Assert(t, time.Since(sent) >= 2*silence)
	r.SetFaults(LinkFaults{BlockToTarget: true})
	assert.Assert(t, !answers(t, old, 'e', silence)) // the relay is closed while data waits
}

// Guards against a reset that reaches new connections or looks like a regular end, and
// against a silence that ends connections or reaches new ones.
func TestRelay_ResetAndSilence(t *testing.T) {
	const enough = 5 * time.Second
	target := echo(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	r, err := NewFaultProxy(loopbackAny, target)
	assert.NilError(t, err)
	defer r.Close()
	reset := dial(t, r)
	assert.Assert(t, answers(t, reset, 'a', enough))
	r.ResetConnections()
	assert.NilError(t, reset.SetReadDeadline(time.Now().Add(enough)))
	_, err = reset.Read(make([]byte, 1))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	silenced := dial(t, r)
	assert.Assert(t, answers(t, silenced, 'b', enough))
	r.StallConnections()
	assert.Assert(t, !answers(t, silenced, 'c', silence))
	assert.Assert(t, answers(t, dial(t, r), 'd', enough))
	assert.Assert(t, !receives(t, silenced, 'c', silence))
}
