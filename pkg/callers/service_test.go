package callers

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// Guards against forwarding a call with changes or with the API key, and against
// a service that forges the headers of the entry process in its response.
func TestService_ForwardsCallWithoutReservedHeaders(t *testing.T) {
	r := &fakeRouter{class: "batch"}
	h := NewHandler(testOptions(r))
	key := uuid.Must(uuid.NewV7())
	w := send(h, "POST", "/services/s/a%2Fb//c?q=%20&r", bytes.NewBufferString("body"),
		headerIdempotencyKey, key.String(), "X-Mine", "1", "Connection", "X-Hop", "X-Hop", "2",
		"Plantain-Organisation", "forged", "Fencing-Epoch", "9")
	assert.Equal(t, w.Code, 201, "%s", w.Body)
	assert.Equal(t, w.Body.String(), "done")
	assert.Equal(t, w.Header().Get("X-Own"), "1")
	assert.Equal(t, w.Header().Get("Connection"), "")
	q := r.call.Request
	assert.Equal(t, w.Header().Get(headerRequestID), q.RequestId)
	assert.Equal(t, q.Path, "/a%2Fb//c?q=%20&r")
	assert.Equal(t, string(q.Body), "body")
	assert.Equal(t, q.IdempotencyKey, key.String())
	assert.Equal(t, q.Repeatable, false)
	assert.Assert(t, time.Since(time.UnixMilli(q.KeyCreatedUnixMs)).Abs() < time.Minute)
	names := ""
	for _, header := range q.Headers {
		names += header.Name + " "
	}
	assert.Equal(t, names, "X-Mine ")
	assert.Equal(t, send(h, "GET", "/services/s", nil).Code, 201)
	assert.Equal(t, r.call.Request.Path, "/")
	assert.Equal(t, r.call.Request.Repeatable, true)
}

// Guards against accepting a non-repeatable call without a valid key, and against
// not_run for a key whose earlier call may have run.
func TestService_NonRepeatableCallNeedsValidKey(t *testing.T) {
	v4, v7 := uuid.NewString(), uuid.Must(uuid.NewV7()).String()
	cases := []struct {
		key, created, param string
	}{
		{"", "", headerIdempotencyKey},
		{"", "2026-12-04T10:00:00Z", headerIdempotencyKey},
		{v4, "", headerIdempotencyKeyCreated},
		{"order-1", "", headerIdempotencyKeyCreated},
		{"order-1", "yesterday", headerIdempotencyKeyCreated},
		{"order 1", "2026-12-04T10:00:00Z", headerIdempotencyKey},
		{strings.Repeat("x", 256), "2026-12-04T10:00:00Z", headerIdempotencyKey},
		{"{" + v7 + "}", "", headerIdempotencyKeyCreated},
		{"order-1", "2026-12-04T10:00:00+08:00", ""},
		{v7, "", ""},
	}
	for _, c := range cases {
		r := &fakeRouter{outcome: fault.MayHaveRun}
		w := send(NewHandler(testOptions(r)), "POST", "/services/s/x", nil, headerIdempotencyKey, c.key, headerIdempotencyKeyCreated, c.created)
		if c.param == "" {
			assert.Equal(t, w.Code, 201, "%+v: %s", c, w.Body)
			continue
		}
		d := detail(t, w)
		assert.Equal(t, *d.Param, c.param, "%+v", c)
		assert.Equal(t, d.Outcome == "not_run", c.key == "", "%+v", c)
		assert.Assert(t, r.call == nil)
	}
	r := &fakeRouter{outcome: fault.NotRun}
	send(NewHandler(testOptions(r)), "POST", "/services/s/x", nil, headerIdempotencyKey, "k", headerIdempotencyKeyCreated, "2026-12-04T10:00:00+08:00")
	assert.Equal(t, r.call.Request.KeyCreatedUnixMs, time.Date(2026, 12, 4, 2, 0, 0, 0, time.UTC).UnixMilli())
	w := send(NewHandler(testOptions(r)), "POST", "/services/none/x", nil, headerIdempotencyKey, "k")
	assert.Equal(t, detail(t, w).Outcome, "not_run")
	assert.Equal(t, w.Code, http.StatusNotFound)
	w = send(NewHandler(testOptions(r)), "GET", "/services/s/../admin", nil)
	assert.Equal(t, *detail(t, w).Param, "path")
}

// Guards against a panic, and against forwarding a non-repeatable call without a
// key and its creation time.
func FuzzServiceRequest(f *testing.F) {
	f.Add("POST", "/a%2fb?x=1", "018f-not-a-uuid", "2026-12-04T10:00:00Z", []byte("b"))
	f.Add("GET", "/%2e%2e/x", "", "", []byte(nil))
	f.Fuzz(func(t *testing.T, method, path, key, created string, body []byte) {
		r, err := http.NewRequest(method, "http://entry/services/s"+path, bytes.NewReader(body))
		if err != nil {
			return
		}
		router := &fakeRouter{outcome: fault.NotRun}
		h := NewHandler(testOptions(router))
		r.Header.Set("Authorization", "Bearer "+testKey)
		r.Header.Set(headerIdempotencyKey, key)
		r.Header.Set(headerIdempotencyKeyCreated, created)
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, r)
		if router.call == nil {
			assert.Assert(t, rec.Code >= 400 && rec.Code < 500, "%d", rec.Code)
			return
		}
		q := router.call.Request
		assert.Assert(t, q.Service == "s" && strings.HasPrefix(q.Path, "/"))
		assert.Assert(t, q.Repeatable || q.IdempotencyKey == key && key != "")
		assert.Assert(t, !strings.Contains(q.Path, "/../"))
	})
}
