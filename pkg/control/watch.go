package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// watch is one watch stream to one replica. It is used by a single goroutine.
type watch struct {
	client       *Client
	addr         string
	stream       *wire.Stream
	sequence     uint64
	pendingPings map[uint64]time.Time // send times of unanswered pings, by sequence number
	// retained holds the hosts of upstreams that only an earlier watched
	// replica listed.
	retained      map[string]struct{}
	retainedUntil time.Time
	// partial is an event whose last part has not arrived yet.
	partial *wirepb.WatchEvent
}

func newWatch(c *Client, addr string) *watch {
	return &watch{client: c, addr: addr, pendingPings: make(map[uint64]time.Time), retained: make(map[string]struct{})}
}

func (w *watch) run(ctx context.Context) error {
	stream, err := w.client.pool.Open(ctx, w.addr)
	if err != nil {
		return err
	}
	defer stream.Close()
	w.stream = stream
	if err := w.request(); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	frames, failed := readFrames(stream, silenceTimeout, stop)
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-failed:
			// A session that has become silent must not be reused.
			w.client.pool.CloseSession(w.addr)
			return err
		case f := <-frames:
			if err := w.handle(f); err != nil {
				return err
			}
		case <-ticker.C:
			w.dropRetainedUpstreams()
			if err := w.ping(); err != nil {
				return err
			}
		}
	}
}

func (w *watch) request() error {
	req := &wirepb.WatchRequest{Role: w.client.opts.Role, Host: w.client.opts.Host, Upstreams: w.client.opts.WatchUpstreams}
	if v := w.client.View(); v != nil {
		req.Revision = v.Revision
	}
	return w.stream.Write(&wirepb.Frame{Body: &wirepb.Frame_Watch{Watch: req}})
}

func (w *watch) ping() error {
	v := w.client.View()
	if v == nil {
		return nil
	}
	w.sequence++
	w.pendingPings[w.sequence] = w.client.opts.Now()
	ping := &wirepb.Ping{Sequence: w.sequence, AppliedRevision: v.Revision}
	return w.stream.Write(&wirepb.Frame{Body: &wirepb.Frame_Ping{Ping: ping}})
}

func (w *watch) handle(f *wirepb.Frame) error {
	switch {
	case f.GetWatchEvent() != nil:
		return w.apply(f.GetWatchEvent())
	case f.GetCurrent() != nil:
		return w.handleCurrent(f.GetCurrent())
	case f.GetError() != nil:
		return fault.FromWire(f.GetError())
	}
	return fault.New(fault.Protocol, "unexpected message on the watch stream")
}

// mergeParts merges the parts of an event and returns it once it is complete,
// nil before. A view built from some of the parts would lack entries.
func (w *watch) mergeParts(part *wirepb.WatchEvent) (*wirepb.WatchEvent, error) {
	if w.partial == nil {
		w.partial = part
	} else {
		if part.Revision != w.partial.Revision {
			return nil, fault.New(fault.Protocol, "part of revision %d within an event of revision %d", part.Revision, w.partial.Revision)
		}
		full, upstreamsFull := w.partial.Full || part.Full, w.partial.UpstreamsFull || part.UpstreamsFull
		proto.Merge(w.partial, part)
		w.partial.Full, w.partial.UpstreamsFull = full, upstreamsFull
	}
	if part.More {
		return nil, nil
	}
	ev := w.partial
	w.partial = nil
	return ev, nil
}

func (w *watch) apply(part *wirepb.WatchEvent) error {
	ev, err := w.mergeParts(part)
	if err != nil || ev == nil {
		return err
	}
	known := w.client.View()
	first := known == nil
	if first {
		known = emptyView()
	}
	v, err := known.withEvent(ev)
	if err != nil {
		return err
	}
	if ev.UpstreamsFull {
		v = w.retainUpstreams(v, known)
	}
	for _, u := range ev.Upstreams {
		delete(w.retained, u.Host)
	}
	w.client.publish(v)
	if v.Revision > known.Revision || first {
		w.client.opts.Log.Debug("revision applied", logs.Uint("revision", v.Revision))
		return w.ping()
	}
	return nil
}

// retainUpstreams keeps upstreams of the earlier view until agents have had
// time to register with the replica that is watched now.
func (w *watch) retainUpstreams(v, known *View) *View {
	v, hosts := v.withRetainedUpstreams(known.Upstreams)
	for _, host := range hosts {
		w.retained[host] = struct{}{}
	}
	w.retainedUntil = w.client.opts.Now().Add(upstreamRetention)
	return v
}

func (w *watch) dropRetainedUpstreams() {
	if len(w.retained) == 0 || w.client.opts.Now().Before(w.retainedUntil) {
		return
	}
	w.client.publish(w.client.View().withoutUpstreams(w.retained))
	clear(w.retained)
}

// handleCurrent records that the view was current when the ping was sent, and
// updates the number of live entries.
func (w *watch) handleCurrent(cur *wirepb.Current) error {
	sent, ok := w.pendingPings[cur.Sequence]
	if !ok {
		return fault.New(fault.Protocol, "answer to ping %d, which was not sent", cur.Sequence)
	}
	delete(w.pendingPings, cur.Sequence)
	v := w.client.View()
	if v.Revision < cur.Revision {
		return nil // the event with this revision has not arrived yet
	}
	if sent.After(w.client.Confirmed()) {
		w.client.confirmed.Store(&sent)
	}
	if cur.LiveEntries > 0 && int(cur.LiveEntries) != v.LiveEntryProcesses {
		n := *v
		n.LiveEntryProcesses = int(cur.LiveEntries)
		w.client.publish(&n)
	}
	return nil
}
