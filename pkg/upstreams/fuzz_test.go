package upstreams

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

type recordingHandler struct {
	announced *Announcement
	load      *LoadReport
	cache     *CacheEvents
	left      bool
}

func (h *recordingHandler) HandleAnnouncement(a *Announcement) error { h.announced = a; return nil }
func (h *recordingHandler) HandleDeparture()                         { h.left = true }
func (h *recordingHandler) HandleLoad(v *LoadReport)                 { h.load = v }
func (h *recordingHandler) HandleCacheEvents(c *CacheEvents)         { h.cache = c }

// send sends a body to the receiver. It checks that a rejected body yields an
// error with a kind and a field and does not reach the handler.
func send(t *testing.T, method, path string, body []byte) *recordingHandler {
	handler := &recordingHandler{}
	w := httptest.NewRecorder()
	NewReceiver(handler).ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewReader(body)))
	if w.Code == http.StatusNoContent {
		return handler
	}
	answer := ErrorBody{}
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &answer))
	assert.Equal(t, answer.Error.Kind, string(fault.Invalid))
	assert.Assert(t, answer.Error.Field != "", "%s", w.Body)
	assert.Assert(t, handler.announced == nil && handler.load == nil && handler.cache == nil)
	return nil
}

const validAnnouncement = `{"name":"e","kind":"engine","address":"127.0.0.1:9","slots":4,"models":[{"model":"m","version":"v","first_layer":0,"last_layer":3}]}`

// Guards against a crash on, or acceptance of, a malformed announcement.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte("0"))
	f.Add([]byte(validAnnouncement))
	f.Add([]byte(`{"name":"s","kind":"service","address":"[::1]:9","slots":1,"services":["pay"]}`))
	f.Add([]byte(`{"name":1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if got := send(t, http.MethodPut, PathUpstream, body); got != nil {
			assert.NilError(t, got.announced.Validate())
		}
	})
}

// Guards against a crash on, or acceptance of, a malformed load report.
func FuzzLoad(f *testing.F) {
	f.Add([]byte("0"))
	f.Add([]byte(`{"running":1,"queued":2,"kv_free_tokens":3,"tokens_per_second":4.5,"age_ms":6}`))
	f.Add([]byte(`{"running":-1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if got := send(t, http.MethodPost, PathLoad, body); got != nil {
			assert.NilError(t, got.load.Validate())
		}
	})
}

// Guards against a crash on, or acceptance of, malformed cache events.
func FuzzCacheEvents(f *testing.F) {
	f.Add([]byte("0"))
	f.Add([]byte(`{"sequence":5,"events":[{"action":"stored","prefix":"18446744073709551615"},{"action":"cleared"}]}`))
	f.Add([]byte(`{"events":[{"action":"x"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if got := send(t, http.MethodPost, PathCache, body); got != nil {
			assert.NilError(t, got.cache.Validate())
		}
	})
}

// Guards against a crash on malformed lines, lines over the limit that are
// accepted, and a truncated last line that is returned as complete.
func FuzzLines(f *testing.F) {
	f.Add([]byte("{\"position\":1,\"token\":2}\n{\"done\":true}\n"))
	f.Add([]byte("{\"ready\":true}\n{\"position\":4,\"hidden\":[\"AAAAAAAAAAA=\"]}\n"))
	f.Add([]byte("{\"epoch\":1,\"position\":0,\"tokens\":[1,2]}"))
	f.Add([]byte(strings.Repeat("x", 6000)))
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 5000
		lines := NewLineReader(bytes.NewReader(data), limit)
		var read []byte
		for {
			line, err := lines.Next()
			if err == io.EOF {
				assert.Assert(t, bytes.Equal(read, data))
				return
			}
			if err != nil {
				assert.Assert(t, fault.Is(err, fault.Protocol), "%v", err)
				return
			}
			assert.Assert(t, len(line) <= limit)
			read = append(append(read, line...), '\n')
			for _, v := range []any{&GenerateLine{}, &StageLine{}, &StageStep{}, &StageOpen{}} {
				_ = NewLineReader(bytes.NewReader(append(bytes.Clone(line), '\n')), limit).ReadJSON(v)
			}
		}
	})
}

// Guards against a crash on a malformed error response, and against the outcome
// NotRun for a status that does not prove it.
func FuzzStatusError(f *testing.F) {
	f.Add(http.StatusConflict, []byte(`{"error":{"kind":"stale_epoch","message":"old","position":3}}`))
	f.Add(http.StatusInternalServerError, []byte(`{"error":{"kind":"answered"}}`))
	f.Add(http.StatusServiceUnavailable, []byte("not JSON"))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		e := statusError(&http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(body))})
		assert.Assert(t, e.Kind != "")
		proved := status < http.StatusInternalServerError || status == http.StatusServiceUnavailable
		assert.Equal(t, e.Outcome == fault.NotRun, proved)
		assert.Equal(t, e.Outcome == fault.MayHaveRun, !proved)
	})
}

// Guards against differences between the hand-written step encoder and
// encoding/json.
func TestAppendStep_MatchesEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := StageStep{
			Epoch:    rapid.Uint64().Draw(t, "epoch"),
			Position: rapid.Uint32().Draw(t, "position"),
			Tokens:   rapid.SliceOf(rapid.Uint32()).Draw(t, "tokens"),
			Hidden:   rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 1, 20)).Draw(t, "hidden"),
		}
		line, err := appendStep(nil, &want)
		assert.NilError(t, err)
		standard, err := AppendLine(nil, &want)
		assert.NilError(t, err)
		assert.Equal(t, string(line), string(standard))
	})
}

// Guards against prefix hashes that depend on the tokens after the prefix, or
// that two models share.
func TestPrefixHashes_DependOnlyOnModelAndPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.SliceOfN(rapid.Uint32(), 0, 100).Draw(t, "tokens")
		cut := rapid.IntRange(0, len(tokens)).Draw(t, "cut")
		whole := PrefixHashes("m", "v", "", tokens)
		part := PrefixHashes("m", "v", "", tokens[:cut])
		assert.Equal(t, len(whole), len(tokens)/PrefixBlockTokens)
		for i := range part {
			assert.Equal(t, part[i], whole[i])
		}
		if other := PrefixHashes("m", "w", "", tokens); len(other) > 0 {
			assert.Assert(t, other[0] != whole[0])
		}
	})
}
