package callers

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/wire/wirepb"
)

const testKey = "secret"

// fakeRouter records requests and responds with the given tokens or error.
type fakeRouter struct {
	class   string
	limits  *wirepb.Limits
	tokens  []uint32
	err     error
	panics  bool
	call    *ServiceCall
	gen     *GenerationRequest
	outcome fault.Outcome
}

func (f *fakeRouter) Authenticate(digest string) (*wirepb.Entry, error) {
	sum := sha256.Sum256([]byte(testKey))
	if digest != hex.EncodeToString(sum[:]) {
		return nil, fault.New(fault.Unauthenticated, "API key is not known")
	}
	return &wirepb.Entry{Name: "o", Class: f.class, Limits: f.limits}, nil
}

func (f *fakeRouter) Model(name string) (*wirepb.Entry, bool) {
	return &wirepb.Entry{Name: "m", Model: &wirepb.ModelSpec{Adapters: []string{"a"}, MaxTokens: 100}}, name == "m"
}

func (f *fakeRouter) Models() []*wirepb.Entry { return nil }

func (f *fakeRouter) Service(name string) (*wirepb.Entry, bool) {
	return &wirepb.Entry{Name: "s", Service: &wirepb.ServiceSpec{RepeatableMethods: []string{"GET", "HEAD"}}}, name == "s"
}

func (f *fakeRouter) Generate(_ context.Context, g *GenerationRequest, emit func(uint32) error) (GenerationResult, error) {
	f.gen = g
	if f.panics {
		panic("injected by the test")
	}
	for _, t := range f.tokens {
		if err := emit(t); err != nil {
			return GenerationResult{}, err
		}
	}
	return GenerationResult{FinishReason: "stop", CompletionTokens: len(f.tokens)}, f.err
}

func (f *fakeRouter) Call(_ context.Context, call *ServiceCall) (*wirepb.CallResponse, error) {
	f.call = call
	headers := []*wirepb.Header{{Name: "X-Own", Value: "1"}, {Name: "Connection", Value: "close"}, {Name: "X-Request-Id", Value: "forged"}}
	return &wirepb.CallResponse{RequestId: call.Request.RequestId, Status: 201, Headers: headers, Body: []byte("done")}, f.err
}

func (f *fakeRouter) KeyOutcome(context.Context, string, string, string) fault.Outcome {
	return f.outcome
}

func testOptions(r Router) Options {
	return Options{
		Router:     r,
		Tokenize:   func(text string) []uint32 { return make([]uint32, len(strings.Fields(text))) },
		Detokenize: func(id uint32) string { return string(rune(id)) },
	}
}

// send passes one request through the handler without a connection.
func send(h http.Handler, method, path string, body io.Reader, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, body)
	r.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func detail(t testing.TB, w *httptest.ResponseRecorder) ErrorDetail {
	t.Helper()
	var b ErrorBody
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &b), "%s", w.Body)
	return b.Error
}

func chatBody(extra string) *bytes.Buffer {
	return bytes.NewBufferString(`{"model":"m","messages":[{"role":"user","content":"hello you"}]` + extra + `}`)
}
