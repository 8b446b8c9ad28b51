package load

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a truncated answer that is not requested again, tokens that are
// counted twice after a resend, and a request that is reported as answered although
// the answers to all of its sends were truncated.
func TestChat_ResendsAfterTruncatedAnswer(t *testing.T) {
	for _, c := range []struct {
		truncated int64 // number of sends whose answer is truncated
		outcome   Outcome
		resends   int
	}{{0, Answered, 0}, {1, Answered, 1}, {3, Truncated, 2}} {
		a := &Arrival{Mix: &Mix{Kind: KindChat, Model: "m", Layers: 4, Resends: 2}, Prompt: []uint64{1, 2}, MaxTokens: 4, Seed: 3}
		words := strings.SplitAfter(a.referenceText(), " ")
		if words[len(words)-1] == "" {
			words = words[:len(words)-1]
		}
		assert.Equal(t, len(words), a.MaxTokens)
		var requests atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			n := a.MaxTokens
			if requests.Add(1) <= c.truncated {
				n = 2
			}
			for i, word := range words[:n] {
				finish := "null"
				if i == a.MaxTokens-1 {
					finish = `"length"`
				}
				_, _ = w.Write([]byte(`data: {"choices":[{"delta":{"content":"` + word + `"},"finish_reason":` + finish + "}]}\n\n"))
			}
			if n < a.MaxTokens {
				return
			}
			_, _ = w.Write([]byte("data: [DONE]\n\n"))
		}))
		client := newClient(&Run{Entries: []string{strings.TrimPrefix(server.URL, "http://")}, CheckEvery: 1, Timeout: time.Minute}, time.Now())
		r := client.perform(t.Context(), a, 0)
		server.Close()
		assert.Equal(t, r.Outcome, c.outcome)
		assert.Equal(t, r.Resends, c.resends)
		if c.outcome == Answered {
			assert.Equal(t, len(r.TokenTimes), a.MaxTokens)
		} else {
			assert.Equal(t, len(r.TokenTimes), 2)
		}
	}
}
