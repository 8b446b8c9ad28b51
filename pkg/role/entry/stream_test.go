package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"

	openai "github.com/sashabaranov/go-openai"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/standin"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Guards against streamed and whole answers that an OpenAI client cannot read.
func TestChat_OpenAIClientReadsStreamedAndWholeAnswers(t *testing.T) {
	s := newTestSystem(t, startAgents(t, 3, always(healthy)), nil, "")
	text, err := s.stream(context.Background(), 20, 7)
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	assert.Equal(t, text, expected(20, 7))
	answer, err := s.client.CreateChatCompletion(context.Background(), chatRequest(20, 7))
	assert.NilError(t, err)
	assert.Equal(t, answer.Choices[0].Message.Content, expected(20, 7))
	assert.Equal(t, answer.Choices[0].FinishReason, openai.FinishReasonLength)
	assert.Equal(t, answer.Usage.TotalTokens, 25)
	models, err := s.client.ListModels(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, models.Models[0].ID, "m")
}

// failures returns behaviours that end an attempt too early or incorrectly.
func failures(after uint32) map[string]behaviour {
	wrong := func(change func(t *wirepb.Token)) behaviour {
		return func(a *fakeAgent, s *wire.Stream, f *wirepb.Frame) {
			req := f.GetGenerate()
			end := uint32(len(req.Emitted)) + after
			if !a.generate(s, req, end) || end >= endOf(req) {
				return
			}
			bad := token(req, end, 1)
			change(bad)
			_ = sendToken(s, bad)
			_, _ = s.Read()
		}
	}
	return map[string]behaviour{
		"stage failed":  failingAfter(after, fault.New(fault.Upstream, "engine died").WithStage(0).WithOutcome(fault.MayHaveRun)),
		"refused":       failingAfter(after, fault.New(fault.Overloaded, "queue is full").WithOutcome(fault.NotRun)),
		"head lost":     closingAfter(after),
		"preempted":     failingAfter(after, fault.New(fault.Preempted, "slot is needed").WithOutcome(fault.MayHaveRun)),
		"duplicate":     wrong(func(t *wirepb.Token) { t.Position-- }),
		"gap":           wrong(func(t *wirepb.Token) { t.Position++ }),
		"older epoch":   wrong(func(t *wirepb.Token) { t.Epoch-- }),
		"other session": wrong(func(t *wirepb.Token) { t.Session = "another" }),
		"early end": func(a *fakeAgent, s *wire.Stream, f *wirepb.Frame) {
			req := f.GetGenerate()
			if a.generate(s, req, uint32(len(req.Emitted))+after) {
				_ = s.Write(&wirepb.Frame{Body: &wirepb.Frame_GenerateDone{GenerateDone: &wirepb.GenerateDone{FinishReason: finishStop, CompletionTokens: uint32(len(req.Emitted)) + after}}})
			}
		},
	}
}

// Guards against missing, repeated or changed tokens after any sequence of
// failures at any position of the answer.
func TestChat_FailedAttemptsLeaveTextUnchanged(t *testing.T) {
	var names []string
	for name := range failures(0) {
		names = append(names, name)
	}
	slices.Sort(names)
	rapid.Check(t, func(rt *rapid.T) {
		var list []behaviour
		for range rapid.IntRange(1, 4).Draw(rt, "failures") {
			after := rapid.Uint32Range(0, 6).Draw(rt, "after")
			list = append(list, failures(after)[rapid.SampledFrom(names).Draw(rt, "kind")])
		}
		var cleanup []func()
		tb := &rapidTB{TB: t, cleanup: &cleanup}
		defer tb.run()
		s := newTestSystem(tb, startAgents(tb, 6, inSequence(list...)), nil, "")
		text, err := s.stream(context.Background(), 24, 3)
		assert.Assert(rt, errors.Is(err, io.EOF), "%v", err)
		assert.Equal(rt, text, expected(24, 3))
	})
}

// Guards against a preempted stream that loses or repeats tokens, excludes a
// healthy host, or uses up repairs or the retry budget. Only one host holds the
// model, so excluding it would end the stream.
func TestChat_PreemptionUsesNoRepairsOrRetries(t *testing.T) {
	const times = 4
	var list []behaviour
	var mu sync.Mutex
	var counts []uint32
	for after := range uint32(times) {
		list = append(list, func(a *fakeAgent, s *wire.Stream, f *wirepb.Frame) {
			mu.Lock()
			counts = append(counts, f.GetGenerate().Preemptions)
			mu.Unlock()
			failingAfter(after, fault.New(fault.Preempted, "slot is needed").WithOutcome(fault.MayHaveRun))(a, s, f)
		})
	}
	s := newTestSystem(t, startAgents(t, 1, inSequence(list...)), nil, "[streams]\nmax_repairs=0")
	text, err := s.stream(context.Background(), 24, 3)
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	assert.Equal(t, text, expected(24, 3))
	assert.DeepEqual(t, counts, []uint32{0, 1, 2, 3})
	assert.Equal(t, s.entry.metrics.preemptions.Get(), uint64(times))
	assert.Equal(t, s.entry.metrics.retries.Get()+s.entry.metrics.repairs.Get(), uint64(0))
}

// rapidTB runs the cleanup functions at the end of one generated case.
type rapidTB struct {
	testing.TB
	cleanup *[]func()
}

func (t *rapidTB) Cleanup(f func()) { *t.cleanup = append(*t.cleanup, f) }

func (t *rapidTB) run() {
	for _, f := range slices.Backward(*t.cleanup) {
		f()
	}
}

// Guards against a stream that hangs on a frozen head. The reports of the agent
// stop while its connection stays open, and it must be ejected within a second.
func TestChat_FrozenHeadIsEjectedAndReplaced(t *testing.T) {
	agents := startAgents(t, 3, inSequence(stallingAt(5)))
	s := newTestSystem(t, agents, nil, "")
	st, err := s.client.CreateChatCompletionStream(context.Background(), chatRequest(12, 1))
	assert.NilError(t, err)
	defer st.Close()
	text := ""
	for n := 0; ; n++ {
		chunk, err := st.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		assert.NilError(t, err)
		text += chunk.Choices[0].Delta.Content
		if n == 4 {
			for _, a := range agents {
				a.silent.Store(a.requests.Load() > 0)
			}
		}
	}
	assert.Equal(t, text, expected(12, 1))
	waitUntil(t, "the ejection is counted", func() bool { return s.entry.metrics.ejections.Get() == 1 })
}

// Guards against a generation that continues after its caller has disconnected.
func TestChat_CallerDisconnectCancelsGeneration(t *testing.T) {
	agents := startAgents(t, 1, always(stallingAt(2)))
	s := newTestSystem(t, agents, nil, "")
	ctx, cancel := context.WithCancel(context.Background())
	st, err := s.client.CreateChatCompletionStream(ctx, chatRequest(10, 1))
	assert.NilError(t, err)
	_, err = st.Recv()
	assert.NilError(t, err)
	cancel()
	waitUntil(t, "the agent receives the cancellation", func() bool { return agents[0].cancelled.Load() == 1 })
	waitUntil(t, "the request has ended", func() bool { return s.entry.lifecycle.InFlight() == 0 })
	assert.Equal(t, agents[0].requests.Load(), int64(1))
}

// Guards against a truncated answer that looks complete when no upstream is left
// for a repair.
func TestChat_TruncatedAnswerEndsWithError(t *testing.T) {
	agents := startAgents(t, 1, always(closingAfter(3)))
	s := newTestSystem(t, agents, nil, "[streams]\nrepair_wait=0s")
	text, err := s.stream(context.Background(), 10, 1)
	var api *openai.APIError
	assert.Assert(t, errors.As(err, &api), "%v", err)
	assert.Equal(t, api.Code, "unavailable")
	assert.Equal(t, text, expected(3, 1))
	_, err = s.client.CreateChatCompletion(context.Background(), chatRequest(10, 1))
	assert.Assert(t, errors.As(err, &api), "%v", err)
	assert.Equal(t, api.HTTPStatusCode, http.StatusServiceUnavailable)
}

// Guards against a request that is lost or answered twice when its head closes
// the connection before the first token.
func TestChat_HeadLostBeforeFirstTokenIsRetriedOnce(t *testing.T) {
	agents := startAgents(t, 2, inSequence(closingAfter(0)))
	s := newTestSystem(t, agents, nil, "")
	text, err := s.stream(context.Background(), 8, 2)
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	assert.Equal(t, text, expected(8, 2))
	assert.Equal(t, s.entry.metrics.retries.Get(), uint64(1))
	assert.Equal(t, agents[0].requests.Load()+agents[1].requests.Load(), int64(2))
}

// Guards against a stall without an error, as when the engine hangs while its
// agent keeps reporting.
func TestChat_StalledStreamIsRepaired(t *testing.T) {
	s := newTestSystem(t, startAgents(t, 2, inSequence(stallingAt(4))), nil, "[streams]\nstall_timeout=200ms")
	text, err := s.stream(context.Background(), 9, 2)
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	assert.Equal(t, text, expected(9, 2))
}

// Guards against a repair that replaces the wrong stage, reuses an epoch or
// replays tokens that differ from those the caller has received.
func TestChat_FailedLaterStageIsReplaced(t *testing.T) {
	var mu sync.Mutex
	var requests []*wirepb.GenerateRequest
	fail := failingAfter(3, fault.New(fault.Upstream, "engine died").WithStage(1).WithOutcome(fault.MayHaveRun))
	record := func(a *fakeAgent, s *wire.Stream, f *wirepb.Frame) {
		mu.Lock()
		requests = append(requests, f.GetGenerate())
		first := len(requests) == 1
		mu.Unlock()
		if first {
			fail(a, s, f)
			return
		}
		healthy(a, s, f)
	}
	agents := startAgents(t, 4, always(record))
	s := newTestSystem(t, agents, nil, "")
	view := testView(agents, nil)
	for i, a := range agents {
		held := view.Upstreams[a.host].Models[0]
		held.FirstLayer, held.LastLayer = uint32(i%2*2), uint32(i%2*2+1)
	}
	s.control.set(view)
	waitUntil(t, "the view is applied", func() bool { return s.entry.snapshot.Load().view == view })
	text, err := s.stream(context.Background(), 9, 4)
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	assert.Equal(t, text, expected(9, 4))
	assert.Equal(t, len(requests), 2)
	first, second := requests[0], requests[1]
	assert.Equal(t, len(first.Stages), 2)
	assert.Equal(t, first.Stages[1].FirstLayer, uint32(2))
	assert.Assert(t, second.Stages[1].Host != first.Stages[1].Host)
	assert.Equal(t, second.Epoch, first.Epoch+1)
	assert.DeepEqual(t, second.Emitted, standin.ReferenceTokens(first.Prompt, testLayers, 4, 3))
	assert.Equal(t, second.MaxTokens, uint32(6))
}
