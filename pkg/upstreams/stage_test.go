package upstreams_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
)

// trackingListener records accepted connections so that a test can close them.
type trackingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
	}
	return c, err
}

func (l *trackingListener) closeConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

// Guards against a step that waits for its timeout after the connection to the
// engine is lost: the step must fail at once.
func TestStage_LostConnectionEndsStep(t *testing.T) {
	ln := &trackingListener{Listener: listen(t)}
	stepped := make(chan struct{})
	h2 := &http.Protocols{}
	h2.SetUnencryptedHTTP2(true)
	server := &http.Server{Protocols: h2, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lines := upstreams.NewLineReader(r.Body, 1<<16)
		var open upstreams.StageOpen
		_ = lines.ReadJSON(&open)
		_, _ = io.WriteString(w, "{\"ready\":true}\n")
		w.(http.Flusher).Flush()
		var step upstreams.StageStep
		_ = lines.ReadJSON(&step)
		close(stepped)
		<-r.Context().Done()
	})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	client := newClient(t, upstreams.Options{LineTimeout: time.Hour})
	stage, err := client.OpenStage(context.Background(), ln.Addr().String(), &upstreams.StageOpen{Session: "s", Epoch: 1}, time.Hour)
	assert.NilError(t, err)
	defer stage.Close()
	go func() { <-stepped; ln.closeConnections() }()
	failed := make(chan error, 1)
	go func() {
		_, err := stage.Step(&upstreams.StageStep{Epoch: 1, Tokens: []uint32{1}}, time.Hour)
		failed <- err
	}()
	select {
	case err := <-failed:
		assert.Assert(t, err != nil)
	case <-time.After(10 * time.Second):
		t.Fatal("the step did not notice that the connection was lost")
	}
}

// Guards against a lost connection that is reported as a cancellation by the
// caller: the failure would not be attributed to the stage, and the chain would be
// repaired incorrectly.
func TestOpenStage_LostConnectionIsNotCancellation(t *testing.T) {
	ln := &trackingListener{Listener: listen(t)}
	h2 := &http.Protocols{}
	h2.SetUnencryptedHTTP2(true)
	server := &http.Server{Protocols: h2, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		ln.closeConnections()
		<-r.Context().Done()
	})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	client := newClient(t, upstreams.Options{LineTimeout: time.Hour})
	_, err := client.OpenStage(context.Background(), ln.Addr().String(), &upstreams.StageOpen{Session: "s", Epoch: 1}, time.Hour)
	assert.Assert(t, fault.Is(err, fault.Upstream), "%v", err)
}
