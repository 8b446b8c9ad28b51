package callers

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

// Guards against invalid input that is accepted, rejected without naming the
// field, or rejected with an outcome other than not_run.
func TestChat_InvalidFieldIsNamed(t *testing.T) {
	cases := map[string]string{
		`,"model":""`:                   "model",
		`,"model":"m@"`:                 "model",
		`,"model":"m:unknown"`:          "model",
		`,"model":"x"`:                  "model",
		`,"model":3`:                    "model",
		`,"messages":[]`:                "messages",
		`,"messages":[{"role":"king"}]`: "messages.role",
		`,"messages":[{"role":"user","content":5}]`:                      "messages.content",
		`,"messages":[{"role":"user","content":[{"type":"image_url"}]}]`: "messages.content",
		`,"max_tokens":0`:                           "max_tokens",
		`,"max_tokens":101`:                         "max_tokens",
		`,"max_tokens":1.5`:                         "max_tokens",
		`,"max_completion_tokens":-1`:               "max_completion_tokens",
		`,"max_completion_tokens":1,"max_tokens":2`: "max_tokens",
		`,"seed":"x"`:                               "seed",
		`,"service_tier":"royal"`:                   "service_tier",
		`,"n":2`:                                    "n",
		`,"temperature":3`:                          "temperature",
		`,"top_p":-1`:                               "top_p",
		`,"stop":["x"]`:                             "stop",
		`,"tools":[{}]`:                             "tools",
		`,"logprobs":true`:                          "logprobs",
		`,"response_format":{"type":"json_object"}`: "response_format",
		`,"stream_options":{"include_usage":true}`:  "stream_options",
		`,"stream":"yes"`:                           "stream",
		`}{`:                                        "body",
		`,"x":`:                                     "body",
	}
	h := NewHandler(testOptions(&fakeRouter{}))
	for extra, field := range cases {
		d := detail(t, send(h, "POST", "/v1/chat/completions", chatBody(extra)))
		assert.Assert(t, d.Param != nil, "%s: %+v", extra, d)
		assert.Equal(t, *d.Param, field, extra)
		assert.Equal(t, d.Outcome, "not_run", extra)
		assert.Equal(t, d.RetryAfterMs, int64(0), extra)
	}
	w := send(h, "POST", "/v1/chat/completions", chatBody(""), headerDeadline, "0")
	assert.Equal(t, *detail(t, w).Param, headerDeadline)
}

// Guards against rejecting requests with ignored fields, and against a rank above
// the one that the caller's class allows.
func TestChat_IgnoresUnsupportedFieldsAndCapsRank(t *testing.T) {
	r := &fakeRouter{class: "standard", tokens: []uint32{'x'}}
	h := NewHandler(testOptions(r))
	w := send(h, "POST", "/v1/chat/completions", chatBody(`,"model":"m@v2:a","user":"u","metadata":{"a":1},"stop":null,"tools":[],"seed":-1,"max_tokens":7,"service_tier":"priority"`))
	assert.Equal(t, w.Code, http.StatusOK, "%s", w.Body)
	assert.Equal(t, r.gen.Version+r.gen.Adapter, "v2a")
	assert.Equal(t, r.gen.Rank, wirepb.Rank_RANK_STANDARD)
	assert.Equal(t, r.gen.Seed, ^uint64(0))
	assert.Equal(t, r.gen.MaxTokens, 7)
	assert.Equal(t, len(r.gen.Prompt), 3)
	assert.Equal(t, w.Header().Get(headerOutcome), "answered")
	send(h, "POST", "/v1/chat/completions", chatBody(`,"service_tier":"flex"`), headerDeadline, "1500")
	assert.Equal(t, r.gen.Rank, wirepb.Rank_RANK_BATCH)
	left := time.Until(r.gen.Deadline)
	assert.Assert(t, left > time.Second && left <= 1500*time.Millisecond)
	r.class = "urgent"
	send(h, "POST", "/v1/chat/completions", chatBody(`,"service_tier":"default"`))
	assert.Equal(t, r.gen.Rank, wirepb.Rank_RANK_STANDARD)
}

// Guards against changes to the status, headers or body of errors, also after a
// panic and for a wrong key, path or method, and against internal addresses in
// them.
func TestErrors_HaveDocumentedFormWithoutInternalAddresses(t *testing.T) {
	cause := fault.New(fault.Unavailable, "dial 127.0.0.9:1")
	r := &fakeRouter{err: fault.Wrap(cause, fault.Overloaded, "queue is full").WithOutcome(fault.NotRun).WithRetryAfter(1200 * time.Millisecond)}
	w := send(NewHandler(testOptions(r)), "POST", "/v1/chat/completions", chatBody(""))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get(headerRetryAfter), "2")
	assert.Equal(t, w.Header().Get(headerOutcome), "not_run")
	id := w.Header().Get(headerRequestID)
	want := `{"error":{"message":"queue is full","type":"server_error","code":"overloaded","param":null,"outcome":"not_run","retry_after_ms":1200,"request_id":"` + id + `"}}`
	assert.Equal(t, w.Body.String(), want)
	r.panics = true
	w = send(NewHandler(testOptions(r)), "POST", "/v1/chat/completions", chatBody(""))
	assert.Equal(t, detail(t, w).Outcome, "unknown")
	assert.Equal(t, w.Code, http.StatusInternalServerError)
	w = send(NewHandler(testOptions(r)), "POST", "/v1/chat/completions", chatBody(""), "Authorization", "Bearer wrong")
	assert.Equal(t, w.Code, http.StatusUnauthorized)
	assert.Equal(t, send(NewHandler(testOptions(r)), "GET", "/nowhere", nil).Code, http.StatusNotFound)
	assert.Equal(t, *detail(t, send(NewHandler(testOptions(r)), "GET", "/v1/chat/completions", nil)).Param, "method")
}

// Guards against request bodies that exhaust memory or hold a connection open.
func TestBody_RejectsLargeAndSlowBodies(t *testing.T) {
	r := &fakeRouter{limits: &wirepb.Limits{BodyBytes: 200}}
	opts := testOptions(r)
	opts.ReadTimeout = 100 * time.Millisecond
	s, err := NewServer("127.0.0.1:0", NewHandler(opts))
	assert.NilError(t, err)
	defer s.Shutdown(t.Context())
	w := send(NewHandler(opts), "POST", "/v1/chat/completions", chatBody(`,"user":"`+strings.Repeat("x", 200)+`"`))
	assert.Equal(t, *detail(t, w).Param, "body")
	for _, auth := range []string{testKey, "wrong"} {
		conn, err := net.Dial("tcp", s.Address())
		assert.NilError(t, err)
		defer conn.Close()
		_, err = conn.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + auth + "\r\nContent-Length: 100\r\n\r\n{"))
		assert.NilError(t, err)
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Assert(t, resp.StatusCode == http.StatusBadRequest || resp.StatusCode == http.StatusUnauthorized)
		_, err = bufio.NewReader(resp.Body).ReadBytes(0)
		assert.Assert(t, err != nil)
		_, err = conn.Read(make([]byte, 1))
		assert.ErrorContains(t, err, "EOF")
	}
}

// events returns the data of each server-sent event in body.
func events(t testing.TB, body []byte) []string {
	t.Helper()
	var list []string
	for _, part := range bytes.Split(bytes.TrimSuffix(body, []byte("\n\n")), []byte("\n\n")) {
		data, ok := bytes.CutPrefix(part, []byte("data: "))
		assert.Assert(t, ok && !bytes.ContainsAny(data, "\r\n"), "%q", part)
		list = append(list, string(data))
	}
	return list
}

// Guards against a stream without its usage, its [DONE] event or its outcome.
func TestStream_SendsUsageDoneAndOutcome(t *testing.T) {
	r := &fakeRouter{tokens: []uint32{'a', 'b'}}
	h := NewHandler(testOptions(r))
	w := send(h, "POST", "/v1/chat/completions", chatBody(`,"stream":true,"stream_options":{"include_usage":true}`))
	list := events(t, w.Body.Bytes())
	assert.Equal(t, len(list), 5)
	assert.Assert(t, strings.Contains(list[0], `"delta":{"role":"assistant","content":"a"}`), list[0])
	assert.Assert(t, strings.Contains(list[2], `"finish_reason":"stop"`), list[2])
	assert.Assert(t, strings.Contains(list[3], `"completion_tokens":2`), list[3])
	assert.Equal(t, list[4], "[DONE]")
	assert.Equal(t, w.Result().Trailer.Get(headerOutcome), "answered")
	r.err = fault.New(fault.Upstream, "engine 127.0.0.9:1 died").WithOutcome(fault.MayHaveRun)
	w = send(h, "POST", "/v1/chat/completions", chatBody(`,"stream":true`))
	list = events(t, w.Body.Bytes())
	assert.Equal(t, len(list), 3)
	assert.Assert(t, strings.HasPrefix(list[2], `{"error":{"message":"an upstream failed","type":"server_error","code":"upstream_failed"`), list[2])
	assert.Assert(t, !strings.Contains(w.Body.String(), "127.0.0.9"))
	assert.Equal(t, w.Result().Trailer.Get(headerOutcome), "unknown")
}

// Guards against token text that breaks the framing of events.
func FuzzStream(f *testing.F) {
	f.Add("a\n\ndata: [DONE]\n\n", true)
	f.Add("\r\x00\"\\<\u2028", false)
	f.Fuzz(func(t *testing.T, text string, failing bool) {
		r := &fakeRouter{tokens: []uint32{1, 2}}
		if failing {
			r.err = fault.New(fault.Upstream, "%s", text).WithOutcome(fault.MayHaveRun)
		}
		opts := testOptions(r)
		opts.Detokenize = func(uint32) string { return text }
		w := send(NewHandler(opts), "POST", "/v1/chat/completions", chatBody(`,"stream":true`))
		list := events(t, w.Body.Bytes())
		got := ""
		for _, data := range list[:2] {
			var c chunk
			assert.NilError(t, json.Unmarshal([]byte(data), &c))
			got += c.Choices[0].Delta.Content
		}
		valid := string([]rune(text)) // JSON replaces each invalid byte
		assert.Equal(t, got, valid+valid)
		assert.Equal(t, list[len(list)-1] == "[DONE]", !failing)
	})
}

// Guards against a panic, an accepted request without tokens to generate, and an
// error that names no field.
func FuzzChatBody(f *testing.F) {
	f.Add(chatBody(`,"stream":true,"stream_options":{"include_usage":true}`).Bytes())
	f.Add([]byte(`{"messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"model":"m@1:a","n":null}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r := &fakeRouter{tokens: []uint32{'x'}}
		w := send(NewHandler(testOptions(r)), "POST", "/v1/chat/completions", bytes.NewReader(body))
		if w.Code == http.StatusOK {
			assert.Assert(t, r.gen.MaxTokens > 0 && r.gen.MaxTokens <= 100 && r.gen.Model == "m")
			return
		}
		d := detail(t, w)
		assert.Assert(t, d.Param != nil && d.Outcome == "not_run" && w.Code < 500, "%s: %s", body, w.Body)
	})
}
