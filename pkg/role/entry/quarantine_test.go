package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
	"github.com/plantainstair/plantainstair/pkg/wire"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// engineRestartTime is the time after which a crashed engine of these tests is back.
const engineRestartTime = 200 * time.Millisecond

// maxCrashes is the number of crashes after which requests that begin alike are expected to
// be refused.
const maxCrashes = 5

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
	sound := func() answer {
		return s.do(http.MethodPost, "/v1/chat/completions", chatWith(shared+words("other", 2)))
	}
	deadly := func(own string) answer {
		return s.do(http.MethodPost, "/v1/chat/completions", chatWith(shared+words("deadly", 1)+words(own, 1)))
	}
	assert.Equal(t, sound().status, http.StatusOK)
	awaitEngines := func() {
		waitUntil(t, "all engines are back", func() bool {
			return !slices.ContainsFunc(agents, func(a *fakeAgent) bool {
				row := s.entry.snapshot.Load().table.Get(a.host)
				return a.engineLost.Load() || row == nil || row.Draining
			})
		})
	}
	refused := 0
	for own := range 6 {
		a := deadly(fmt.Sprintf("own%d", own))
		if a.status == http.StatusServiceUnavailable {
			assert.Equal(t, a.body.Error.Code, string(fault.Quarantined), a.raw)
			assert.Equal(t, a.body.Error.Outcome, "not_run")
			assert.Assert(t, a.header.Get("Retry-After") != "")
			refused++
		}
		awaitEngines()
		assert.Equal(t, sound().status, http.StatusOK)
	}
	assert.Assert(t, crashes.Load() <= maxCrashes, "%d engines crashed", crashes.Load())
	assert.Assert(t, refused > 0)
}
