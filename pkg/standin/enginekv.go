package standin

import (
	"context"
	"net/http"
	"strconv"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
)

// kvState is the exported KV state of a session.
type kvState struct {
	FirstLayer uint32   `json:"first_layer"`
	Position   uint32   `json:"position"` // next position
	KV         []uint64 `json:"kv"`
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	epoch, err := parseEpoch(r)
	if err != nil {
		upstreams.WriteError(w, err)
		return
	}
	s := e.sessions.findOpen(r.PathValue("id"), epoch)
	if s == nil {
		upstreams.WriteError(w, fault.New(fault.NotFound, "no open session with epoch %d", epoch).WithField("session"))
		return
	}
	state := kvState{}
	// The batcher is the only writer of a session's state. Reading the state there
	// avoids a data race.
	err = e.batcher.submit(r.Context(), 0, func() {
		state = kvState{FirstLayer: s.firstLayer, Position: s.nextPosition, KV: append([]uint64(nil), s.kv...)}
	})
	if err != nil {
		upstreams.WriteError(w, err)
		return
	}
	writeJSON(w, state)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	epoch, err := parseEpoch(r)
	if err != nil {
		upstreams.WriteError(w, err)
		return
	}
	state := kvState{}
	if !readJSON(w, r, maxKVBodyBytes, &state) {
		return
	}
	s := &session{id: r.PathValue("id"), epoch: epoch, firstLayer: state.FirstLayer, kv: state.KV, nextPosition: state.Position}
	s.ctx, s.cancel = context.WithCancel(e.ctx)
	if err := e.sessions.open(s); err != nil {
		s.cancel()
		upstreams.WriteError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	epoch, err := strconv.ParseUint(r.Header.Get(upstreams.HeaderFencingEpoch), 10, 64)
	if err != nil {
		upstreams.WriteError(w, fault.Wrap(err, fault.Invalid, "parse fencing epoch").WithField(upstreams.HeaderFencingEpoch))
		return
	}
	order := &upstreams.Order{}
	if !readJSON(w, r, maxOrderBodyBytes, order) {
		return
	}
	e.orderMu.Lock()
	defer e.orderMu.Unlock()
	if e.opts.ChecksFencing && epoch < e.orderEpoch {
		upstreams.WriteError(w, errStaleEpoch(epoch, e.orderEpoch))
		return
	}
	e.orderEpoch = max(e.orderEpoch, epoch)
	e.records.add(func(r *Records) { r.Orders = append(r.Orders, OrderRecord{ID: order.ID, Epoch: epoch}) })
	w.WriteHeader(http.StatusNoContent)
}
