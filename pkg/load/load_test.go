package load

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/callers"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/standin"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
)

const testScenario = `
[run]
duration = 1s
warm_up = 100ms
seed = 5
entries = %s
timeout = 5s
[mix.chat]
rank = urgent
organisation = org-{n}
key = key-{n}
callers = 3
rate = 100
model = m
layers = 4
prompt_tokens = 5
output_tokens = 4
lengths = fixed
[mix.orders]
kind = service
rank = standard
organisation = buyer
key = key-buyer
rate = 100
service = orders
path = /v1/orders
resends = 1
[flood.rush]
mix = chat
from = 500ms
until = 700ms
multiplier = 3
[capacity.whole]
count = 2
model = m
first_layer = 0
last_layer = 3
slots = 4
step = 4ms
step_per_session = 1ms
prefill_per_token = 1ms
[capacity.service]
service = orders
slots = 10
latency = 100ms
`

func parse(t *testing.T, entries string) *Scenario {
	t.Helper()
	s, err := ParseScenario("test", fmt.Appendf(nil, testScenario, entries))
	assert.NilError(t, err)
	return s
}

// faultyEntry is an entry that injects faults in rotation and counts the
// outcomes that the load generator is expected to report.
type faultyEntry struct {
	mu    sync.Mutex
	n     int
	want  map[string]int
	calls map[string]int // number of sends per idempotency key
}

func (f *faultyEntry) nextFault(faults int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n++
	return f.n % faults
}

func (f *faultyEntry) expect(outcome Outcome, code string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.want[strings.TrimSpace(outcome.String()+" "+code)]++
}

func (f *faultyEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/services/") {
		f.serveCall(w, r)
		return
	}
	f.serveChat(w, r)
}

func writeRefusal(w http.ResponseWriter, status int, outcome, code string) {
	w.WriteHeader(status)
	body := callers.ErrorBody{Error: callers.ErrorDetail{Outcome: outcome, Code: code}}
	_ = json.NewEncoder(w).Encode(body)
}

func (f *faultyEntry) serveChat(w http.ResponseWriter, r *http.Request) {
	var q chatBody
	if json.NewDecoder(r.Body).Decode(&q) != nil || !strings.HasPrefix(r.Header.Get("Authorization"), "Bearer key-") {
		writeRefusal(w, http.StatusBadRequest, "not_run", "malformed")
		return
	}
	tokens := standin.ReferenceTokens(upstreams.Tokenize("user "+q.Messages[0].Content+"\n"), 4, q.Seed, q.MaxTokens)
	switch f.nextFault(8) {
	case 0:
		f.expect(NotRun, "overloaded")
		writeRefusal(w, http.StatusServiceUnavailable, "not_run", "overloaded")
	case 1:
		f.expect(Unknown, codeConnection)
		panic(http.ErrAbortHandler)
	case 2:
		f.expect(Truncated, codeConnection)
		writeTokens(w, tokens[:2])
	case 3:
		f.expect(Truncated, "upstream_failed")
		writeTokens(w, tokens[:1])
		fmt.Fprint(w, `data: {"error":{"outcome":"unknown","code":"upstream_failed"}}`, "\n\n")
	case 4:
		f.expect(Wrong, codeIncomplete)
		writeTokens(w, tokens[:3])
		writeEnd(w)
	case 5:
		f.expect(Wrong, codeReferenceMismatch)
		tokens[3]++
		writeTokens(w, tokens)
		writeEnd(w)
	case 6:
		f.expect(Wrong, codeReferenceMismatch)
		tokens[1]++
		writeTokens(w, tokens[:2])
	default:
		f.expect(Answered, "")
		writeTokens(w, tokens)
		writeEnd(w)
	}
}

func writeTokens(w io.Writer, tokens []uint32) {
	for _, token := range tokens {
		fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", upstreams.Detokenize(token))
	}
}

func writeEnd(w io.Writer) {
	fmt.Fprint(w, `data: {"choices":[{"delta":{},"finish_reason":"length"}]}`, "\n\ndata: [DONE]\n\n")
}

func (f *faultyEntry) serveCall(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	key := r.Header.Get(keyHeader)
	reply := standin.ServiceReply{Key: key, Body: string(body), Execution: 1}
	f.mu.Lock()
	f.calls[key]++
	again := f.calls[key] > 1
	f.mu.Unlock()
	if !again {
		switch f.nextFault(4) {
		case 0: // the expected outcome is recorded when the resend is answered
			writeRefusal(w, http.StatusBadGateway, "unknown", "unknown_outcome")
			return
		case 1:
			f.expect(Wrong, codeOtherRequest)
			reply.Body = "other"
		case 2:
			f.expect(Wrong, codeRepeatedExecution)
			reply.Execution = 2
		default:
			f.expect(Answered, "")
		}
	} else {
		f.expect(Answered, "unknown_outcome")
	}
	w.Header().Set(outcomeHeader, fault.OutcomeString(fault.Answered))
	_ = json.NewEncoder(w).Encode(reply)
}

// Guards against wrongly classified outcomes, answers that are not verified, and
// requests that are missing from the report.
func TestExecute_ReportsEachOutcome(t *testing.T) {
	f := &faultyEntry{want: map[string]int{}, calls: map[string]int{}}
	server := httptest.NewServer(f)
	defer server.Close()
	s := parse(t, strings.TrimPrefix(server.URL, "http://"))
	s.Run.WarmUp = 0
	report := Execute(t.Context(), s)

	got := map[string]int{}
	total := report.Total()
	for code, n := range total.CodeCounts {
		got[code] = n
	}
	got["answered"] = total.Outcomes[Answered] - got["answered unknown_outcome"]
	assert.DeepEqual(t, got, f.want)
	sum := 0
	for _, n := range total.Outcomes {
		sum += n
	}
	assert.Equal(t, sum, total.Offered)
	assert.Assert(t, total.Served > 0 && total.Served <= total.Outcomes[Answered])
	assert.Equal(t, report.Resends, got["answered unknown_outcome"])

	var table, lines, timeline bytes.Buffer
	assert.NilError(t, report.WriteTable(&table))
	assert.Assert(t, strings.Contains(table.String(), "organisation org-2"))
	assert.NilError(t, report.WriteCSV(&lines))
	rows, err := csv.NewReader(&lines).ReadAll()
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1+1+2+2+4)
	assert.NilError(t, report.WriteTimeline(&timeline))
}

// refusingAddress is an address without a listener. The port of a closed listener
// is not suitable, because another process may be assigned it during the test.
const refusingAddress = "127.0.0.1:1"

// Guards against refused connections that are reported with an unknown outcome,
// and against requests over the concurrency limit that are not reported.
func TestExecute_ReportsRefusedAndUnsentRequests(t *testing.T) {
	total := Execute(t.Context(), parse(t, refusingAddress)).Total()
	assert.Assert(t, total.Offered > 0)
	assert.Equal(t, total.Outcomes[NotRun], total.Offered)

	release := make(chan struct{})
	hanging := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer hanging.Close()
	s := parse(t, strings.TrimPrefix(hanging.URL, "http://"))
	s.Run.MaxInFlight = 3
	s.Run.Timeout = 1500 * time.Millisecond
	total = Execute(t.Context(), s).Total()
	close(release)
	assert.Equal(t, total.Outcomes[Answered], 0)
	assert.Assert(t, total.Outcomes[NotSent] > 50)
}

// Guards against arrivals that are not reproducible, have the wrong rate or
// ignore a flood.
func TestSchedule_IsReproducibleAndFollowsRates(t *testing.T) {
	s := parse(t, "127.0.0.1:1")
	s.Run.Duration = 100 * time.Second
	s.Floods[0].From, s.Floods[0].Until = 50*time.Second, 60*time.Second
	count := func() (chat, flood, orders int) {
		q := newSchedule(s)
		last := time.Duration(0)
		for a := q.next(); a != nil; a = q.next() {
			assert.Assert(t, a.ScheduledAt >= last)
			last = a.ScheduledAt
			switch {
			case a.Mix.Name == "orders":
				orders++
			case a.ScheduledAt >= 50*time.Second && a.ScheduledAt < 60*time.Second:
				flood++
			default:
				chat++
			}
		}
		return chat, flood, orders
	}
	chat, flood, orders := count()
	for _, c := range []struct{ got, want int }{{chat, 9000}, {flood, 3000}, {orders, 10000}} {
		// Tolerance: four standard deviations of a Poisson distribution.
		assert.Assert(t, math.Abs(float64(c.got-c.want)) < 4*math.Sqrt(float64(c.want)), "%d arrivals, want %d", c.got, c.want)
	}
	s.Mixes = s.Mixes[:1]
	chatAgain, floodAgain, _ := count()
	assert.Equal(t, chatAgain, chat)
	assert.Equal(t, floodAgain, flood)
}

// Guards against a limit that ignores the layer with the least capacity, or the slot
// that a request holds on every stage until it completes.
func TestModelLimit_UsesScarcestLayerAndSlots(t *testing.T) {
	s := parse(t, "127.0.0.1:1")
	rounded := func(layers int, prompt, output float64) float64 {
		return math.Round(s.modelLimit("m", layers, prompt, output)*1000) / 1000
	}
	// Two engines; per request 6 prompt tokens of 1 ms and 4 output tokens of
	// 4/4 + 1 ms.
	assert.Equal(t, rounded(4, 6, 4), 142.857)
	// Two slots, each held for 100 * (40 + 1) ms per request.
	s.Capacities[0].Step = 40 * time.Millisecond
	s.Capacities[0].Slots = 1
	assert.Equal(t, rounded(4, 0, 100), 0.488)
	assert.Equal(t, rounded(5, 6, 4), 0.0)
	s.Capacities = append(s.Capacities, &Capacity{Count: 1, Model: "m", FirstLayer: 4, LastLayer: 4, Slots: 1, Step: 60 * time.Millisecond})
	// One slot, held for 10 * (41 + 60) ms per request.
	assert.Equal(t, rounded(5, 0, 10), 0.99)
	assert.Equal(t, s.serviceLimit("orders"), 100.0)
}

// Guards against accepting a scenario with an invalid or unknown setting.
func TestParseScenario_RejectsInvalidScenarios(t *testing.T) {
	valid := fmt.Sprintf(testScenario, "127.0.0.1:1")
	for _, change := range [][2]string{
		{"rank = urgent", "rank = first"},
		{"mix = chat", "mix = none"},
		{"until = 700ms", "until = 500ms"},
		{"warm_up = 100ms", "warm_up = 1s"},
		{"model = m\nlayers = 4", "layers = 4"},
		{"[flood.rush]", "[floods.rush]"},
		{"seed = 5", "sed = 5"},
	} {
		_, err := ParseScenario("test", []byte(strings.Replace(valid, change[0], change[1], 1)))
		assert.Assert(t, fault.Is(err, fault.Invalid), "%q was accepted", change[1])
	}
}
