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

// quietPeriod is the time without data after which a link counts as blocked.
const quietPeriod = 50 * time.Millisecond

// startEcho starts a server that echoes what it receives and returns its address.
func startEcho(t *testing.T) string {
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

func dial(t *testing.T, p *FaultProxy) net.Conn {
	conn, err := net.Dial("tcp", p.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// echoes sends one byte and reports whether it is echoed within wait.
func echoes(t *testing.T, conn net.Conn, b byte, wait time.Duration) bool {
	_, err := conn.Write([]byte{b})
	assert.NilError(t, err)
	return receives(t, conn, b, wait)
}

// receives reports whether one byte arrives within wait. The byte must be b.
func receives(t *testing.T, conn net.Conn, b byte, wait time.Duration) bool {
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(wait)))
	got := []byte{0}
	if _, err := io.ReadFull(conn, got); err != nil {
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "a blocked or slow link must not end the connection: %v", err)
		return false
	}
	assert.Equal(t, got[0], b)
	return true
}

// Guards against a block that closes connections, loses data sent before it is
// removed or does not apply to new connections, and against goroutines that outlive
// the proxy.
func TestFaultProxy_BlocksAndDelaysWithoutClosing(t *testing.T) {
	const timeout = 5 * time.Second
	target := startEcho(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	p, err := NewFaultProxy(loopbackAny, target)
	assert.NilError(t, err)
	defer p.Close()
	oldConn := dial(t, p)
	assert.Assert(t, echoes(t, oldConn, 'a', timeout))
	for _, faults := range []LinkFaults{{BlockToTarget: true, BlockFromTarget: true}, {BlockToTarget: true}, {BlockFromTarget: true}} {
		p.SetFaults(faults)
		newConn := dial(t, p)
		assert.Assert(t, !echoes(t, oldConn, 'b', quietPeriod), "%+v", faults)
		assert.Assert(t, !echoes(t, newConn, 'c', quietPeriod), "%+v", faults)
		p.SetFaults(LinkFaults{})
		assert.Assert(t, receives(t, oldConn, 'b', timeout), "%+v", faults)
		assert.Assert(t, receives(t, newConn, 'c', timeout), "%+v", faults)
	}
	p.SetFaults(LinkFaults{Delay: quietPeriod})
	sent := time.Now()
	assert.Assert(t, echoes(t, oldConn, 'd', timeout))
	assert.Assert(t, time.Since(sent) >= 2*quietPeriod)
	p.SetFaults(LinkFaults{BlockToTarget: true})
	assert.Assert(t, !echoes(t, oldConn, 'e', quietPeriod)) // the proxy is closed while it holds data
}

// Guards against a reset that reaches new connections or looks like a regular
// close, and against a stall that closes connections or affects new ones.
func TestFaultProxy_ResetAndStallAffectOnlyOpenConnections(t *testing.T) {
	const timeout = 5 * time.Second
	target := startEcho(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	p, err := NewFaultProxy(loopbackAny, target)
	assert.NilError(t, err)
	defer p.Close()
	reset := dial(t, p)
	assert.Assert(t, echoes(t, reset, 'a', timeout))
	p.ResetConnections()
	assert.NilError(t, reset.SetReadDeadline(time.Now().Add(timeout)))
	_, err = reset.Read(make([]byte, 1))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	stalled := dial(t, p)
	assert.Assert(t, echoes(t, stalled, 'b', timeout))
	p.StallConnections()
	assert.Assert(t, !echoes(t, stalled, 'c', quietPeriod))
	assert.Assert(t, echoes(t, dial(t, p), 'd', timeout))
	assert.Assert(t, !receives(t, stalled, 'c', quietPeriod))
}
