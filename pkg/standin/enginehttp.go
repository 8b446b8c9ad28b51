package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
)

const (
	maxGenerateBodyBytes = 8 << 20
	maxOrderBodyBytes    = 64 << 10
	maxKVBodyBytes       = 64 << 20
	// prefillChunkTokens is the largest number of a session's prompt tokens in one
	// step.
	prefillChunkTokens = 256
)

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func readJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit)).Decode(v)
	if err != nil {
		upstreams.WriteError(w, fault.Wrap(err, fault.Invalid, "decode body").WithField("body"))
	}
	return err == nil
}

// lineWriter writes NDJSON lines and flushes each of them.
type lineWriter struct {
	w   http.ResponseWriter
	rc  *http.ResponseController
	buf []byte
}

func newLineWriter(w http.ResponseWriter) *lineWriter {
	w.Header().Set("Content-Type", "application/x-ndjson")
	return &lineWriter{w: w, rc: http.NewResponseController(w)}
}

func (l *lineWriter) write(v any) error {
	line, err := upstreams.AppendLine(l.buf[:0], v)
	if err != nil {
		return err
	}
	l.buf = line
	if _, err := l.w.Write(line); err != nil {
		return fault.Wrap(err, fault.Unavailable, "write line")
	}
	if err := l.rc.Flush(); err != nil {
		return fault.Wrap(err, fault.Unavailable, "flush line")
	}
	return nil
}

func protocolError(err error) *upstreams.Error {
	f := fault.As(err)
	return &upstreams.Error{Kind: string(f.Kind), Message: f.Error(), Field: f.Field, Position: f.Position}
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	req := &upstreams.GenerateRequest{}
	if !readJSON(w, r, maxGenerateBodyBytes, req) {
		return
	}
	if err := e.checkGenerate(req); err != nil {
		upstreams.WriteError(w, err)
		return
	}
	s := &session{
		id: req.Session, epoch: req.Epoch, kv: make([]uint64, e.opts.ModelLayers),
		prefixes: upstreams.PrefixHashes(req.Model, req.Version, req.Adapter, req.Prompt),
	}
	release, err := e.openSession(r.Context(), s, req.Rank)
	if err != nil {
		upstreams.WriteError(w, err)
		return
	}
	defer release()
	lines := newLineWriter(w)
	if err := e.generate(s, req, lines); err != nil {
		if e.injector.hasCrashed() {
			panic(http.ErrAbortHandler)
		}
		_ = lines.write(&upstreams.GenerateLine{Error: protocolError(err)})
	}
}

func (e *Engine) checkGenerate(req *upstreams.GenerateRequest) error {
	if len(req.Prompt) == 0 {
		return fault.New(fault.Invalid, "is empty").WithField("prompt")
	}
	if req.Position != uint32(len(req.Emitted)) {
		return errOutOfOrder(req.Position, uint32(len(req.Emitted)))
	}
	return e.checkHeld(req.Model, req.Version, req.Adapter, 0, e.opts.ModelLayers-1)
}

func (e *Engine) generate(s *session, req *upstreams.GenerateRequest, lines *lineWriter) error {
	sequence := append(append([]uint32(nil), req.Prompt...), req.Emitted...)
	start := min(s.maxStartPosition(), uint32(len(sequence)-1)/upstreams.PrefixBlockTokens*upstreams.PrefixBlockTokens)
	hidden, err := e.prefill(s, sequence, start)
	if err != nil {
		return err
	}
	for i := uint32(0); i < req.MaxTokens; i++ {
		token := sample(hidden, req.Seed)
		last := i+1 == req.MaxTokens
		if err := lines.write(&upstreams.GenerateLine{Position: req.Position + i, Token: token, Last: last}); err != nil {
			return err
		}
		if last {
			break
		}
		out, err := e.step(s, s.epoch, s.nextPosition, []uint64{uint64(token)})
		if err != nil {
			return err
		}
		hidden = out[0]
	}
	return lines.write(&upstreams.GenerateLine{Done: true, FinishReason: "length", CachedTokens: start})
}

func (e *Engine) prefill(s *session, sequence []uint32, start uint32) (uint64, error) {
	hidden := uint64(0)
	for at := int(start); at < len(sequence); at += prefillChunkTokens {
		chunk := sequence[at:min(at+prefillChunkTokens, len(sequence))]
		out, err := e.step(s, s.epoch, uint32(at), embed(chunk))
		if err != nil {
			return 0, err
		}
		hidden = out[len(out)-1]
	}
	return hidden, nil
}

func (e *Engine) serveStage(w http.ResponseWriter, r *http.Request) {
	in := upstreams.NewLineReader(r.Body, 0)
	open := &upstreams.StageOpen{}
	if err := in.ReadJSON(open); err != nil {
		upstreams.WriteError(w, err)
		return
	}
	if err := e.checkHeld(open.Model, open.Version, open.Adapter, open.FirstLayer, open.LastLayer); err != nil {
		upstreams.WriteError(w, err)
		return
	}
	s := &session{
		id: open.Session, epoch: open.Epoch, firstLayer: open.FirstLayer,
		kv: make([]uint64, open.LastLayer-open.FirstLayer+1), prefixes: open.Prefixes,
	}
	release, err := e.openSession(r.Context(), s, open.Rank)
	if err != nil {
		upstreams.WriteError(w, err)
		return
	}
	defer release()
	out := newLineWriter(w)
	// Cancelling the session interrupts the read of its next step.
	interrupted := make(chan struct{})
	stop := context.AfterFunc(s.ctx, func() {
		defer close(interrupted)
		_ = out.rc.SetReadDeadline(time.Unix(1, 0))
	})
	defer func() {
		if !stop() {
			<-interrupted
		}
	}()
	if out.write(&upstreams.StageLine{Ready: true, CachedTokens: s.maxStartPosition()}) != nil {
		return
	}
	e.stageLoop(s, open, in, out)
}

func (e *Engine) stageLoop(s *session, open *upstreams.StageOpen, in *upstreams.LineReader, out *lineWriter) {
	for {
		step := &upstreams.StageStep{}
		err := in.ReadJSON(step)
		if err == io.EOF {
			return
		}
		line := &upstreams.StageLine{}
		if err == nil {
			line, err = e.stageStep(s, open, step)
		}
		if e.injector.hasCrashed() {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			_ = out.write(&upstreams.StageLine{Error: protocolError(err)})
			return
		}
		if out.write(line) != nil {
			return
		}
	}
}

func (e *Engine) stageStep(s *session, open *upstreams.StageOpen, step *upstreams.StageStep) (*upstreams.StageLine, error) {
	input := embed(step.Tokens)
	if open.FirstLayer > 0 {
		hidden, err := decodeHidden(step.Hidden)
		if err != nil {
			return nil, err
		}
		input = hidden
	}
	if len(input) == 0 {
		return nil, fault.New(fault.Invalid, "step has no positions").WithField("position")
	}
	hidden, err := e.step(s, step.Epoch, step.Position, input)
	if err != nil {
		return nil, err
	}
	line := &upstreams.StageLine{Position: step.Position + uint32(len(input))}
	if open.Last {
		line.Token = sample(hidden[len(hidden)-1], open.Seed)
	} else {
		line.Hidden = encodeHidden(hidden)
	}
	return line, nil
}

// parseEpoch returns the epoch in the query of a request.
func parseEpoch(r *http.Request) (uint64, error) {
	epoch, err := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 64)
	if err != nil {
		return 0, fault.Wrap(err, fault.Invalid, "parse epoch").WithField("epoch")
	}
	return epoch, nil
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	epoch, err := parseEpoch(r)
	if err != nil {
		upstreams.WriteError(w, err)
		return
	}
	if e.sessions.cancelEpoch(r.PathValue("id"), epoch) {
		e.records.add(func(r *Records) { r.Cancelled++ })
	}
	w.WriteHeader(http.StatusNoContent)
}
