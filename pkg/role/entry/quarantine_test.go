package entry

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/core/session"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// engineRestartTime is the time after which a crashed engine of these tests is back.
const engineRestartTime = 200 * time.Millisecond

// words returns a text of n blocks of prompt tokens.
func words(word string, blocks int) string {
	return strings.Repeat(word+" ", blocks*upstreams.PrefixBlockTokens)
}

// crashOn returns a behaviour that loses the engine of the agent on prompts with the word.
func crashOn(word string, crashes *atomic.Int64) behaviour {
	deadly := upstreams.Tokenize(word)[0]
	return func(a *fakeAgent, s *wire.Stream, f *wirepb.Frame) {
		for _, id := range f.GetGenerate().GetPrompt() {
			if id == deadly {
				crashes.Add(1)
				a.engineLost.Store(true)
				time.AfterFunc(engineRestartTime, func() { a.engineLost.Store(false) })
				_ = s.WriteError(fault.New(fault.Upstream, "engine closed the connection").WithOutcome(fault.MayHaveRun))
				return
			}
		}
		healthy(a, s, f)
	}
}

func chatWith(content string) string {
	body, _ := json.Marshal(map[string]any{
		"model": "m", "max_tokens": 4, "seed": 1, "messages": []map[string]string{{"role": "user", "content": content}},
	}) // can't fail: strings and numbers only
	return string(body)
}

// Guards against a prompt that crashes one engine after the other, by its own retries and
// by later requests that begin like it, and against refusing sound requests that share
// their first part with it.
func TestGenerate_QuarantinesPromptsThatCrashEngines(t *testing.T) {
	var crashes atomic.Int64
	agents := startAgents(t, 8, always(crashOn("deadly", &crashes)))
	s := newTestSystem(t, agents, nil, "")
	shared := words("shared", 2)
	sound := func() answer { return s.do(http.MethodPost, "/v1/chat/completions", chatWith(shared+words("other", 2))) }
	deadly := func(own string) answer {
		return s.do(http.MethodPost, "/v1/chat/completions", chatWith(shared+words("deadly", 1)+words(own, 1)))
	}
	assert.Equal(t, sound().status, http.StatusOK)
	first := deadly("a")
	assert.Equal(t, first.status, http.StatusBadGateway, first.raw)
	before := crashes.Load()
	assert.Equal(t, before, int64(session.DefaultMaxRepairs+1))
	for _, own := range []string{"b", "c", "d"} {
		waitUntil(t, "all engines are back", func() bool {
			return !slices.ContainsFunc(agents, func(a *fakeAgent) bool {
				row := s.entry.snapshot.Load().table.Get(a.host)
				return a.engineLost.Load() || row == nil || row.Draining
			})
		})
		a := deadly(own)
		assert.Equal(t, a.status, http.StatusServiceUnavailable, a.raw)
		assert.Equal(t, a.body.Error.Outcome, "not_run")
		assert.Assert(t, a.header.Get("Retry-After") != "")
		assert.Equal(t, sound().status, http.StatusOK)
	}
	assert.Equal(t, crashes.Load(), before)
}
