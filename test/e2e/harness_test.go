// Package e2e tests deployments of separate processes on the loopback interface
// while processes are killed, suspended and restarted and links fail.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	openai "github.com/sashabaranov/go-openai"
	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/local"
	"github.com/plantainstair/plantainstair/pkg/standin"
	"github.com/plantainstair/plantainstair/pkg/upstreams"
)

const (
	launchTimeout = 60 * time.Second
	testTimeout   = 90 * time.Second
	modelSeed     = 7
)

var binaries string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "plantain-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../../cmd/...")
	build.Stdout, build.Stderr = os.Stdout, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build binaries:", err)
		return 1
	}
	binaries = dir
	return m.Run()
}

// newRand returns a random source seeded from E2E_SEED, by default 1, and logs the
// seed.
func newRand(t *testing.T) *rand.Rand {
	t.Helper()
	seed := uint64(1)
	if text := os.Getenv("E2E_SEED"); text != "" {
		_, err := fmt.Sscan(text, &seed)
		assert.NilError(t, err)
	}
	t.Logf("E2E_SEED=%d", seed)
	return rand.New(rand.NewPCG(seed, 0))
}

// launch starts a deployment of the default plan, which adjust may change if it is not
// nil. It returns the deployment and a context that ends after testTimeout.
func launch(t *testing.T, adjust func(*local.Plan)) (*local.Deployment, context.Context) {
	t.Helper()
	plan := local.DefaultPlan()
	plan.LogLevel = "debug"
	if adjust != nil {
		adjust(&plan)
	}
	ctx, cancel := context.WithTimeout(context.Background(), launchTimeout)
	defer cancel()
	dir := t.TempDir()
	d, err := local.Launch(ctx, plan, dir, binaries)
	if err != nil {
		showLogs(t, dir)
	}
	assert.NilError(t, err)
	t.Cleanup(func() {
		d.Kill()
		if t.Failed() {
			showLogs(t, dir)
		}
	})
	testCtx, cancelTest := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancelTest)
	return d, testCtx
}

func showLogs(t *testing.T, dir string) {
	paths, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, path := range paths {
		data, _ := os.ReadFile(path)
		t.Logf("--- %s\n%s", filepath.Base(path), data[max(0, len(data)-60000):])
	}
}

// reference returns the expected answer of the model to one user message, of n
// tokens.
func reference(plan local.Plan, content string, n int) string {
	prompt := upstreams.Tokenize("user " + content + "\n")
	var b strings.Builder
	for _, token := range standin.ReferenceTokens(prompt, int(plan.Layers), modelSeed, n) {
		b.WriteString(upstreams.Detokenize(token))
	}
	return b.String()
}

// chat streams a completion of n tokens for the first organisation and returns its
// text. It calls onChunk, if not nil, with the index of each chunk.
func chat(ctx context.Context, d *local.Deployment, entry int, content string, n int, onChunk func(int)) (string, error) {
	return chatAs(ctx, d, d.Plan.Organisations[0], entry, content, n, onChunk)
}

func chatAs(ctx context.Context, d *local.Deployment, caller local.Organisation, entry int, content string, n int, onChunk func(int)) (string, error) {
	config := openai.DefaultConfig(caller.Key)
	config.BaseURL = "http://" + d.Entries[entry].Address + "/v1"
	seed := modelSeed
	stream, err := openai.NewClientWithConfig(config).CreateChatCompletionStream(ctx, openai.ChatCompletionRequest{
		Model: d.Plan.Model, MaxCompletionTokens: n, Seed: &seed,
		Messages: []openai.ChatCompletionMessage{{Role: openai.ChatMessageRoleUser, Content: content}},
	})
	if err != nil {
		return "", err
	}
	defer stream.Close()
	var text strings.Builder
	for chunks := 0; ; chunks++ {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		for _, c := range chunk.Choices {
			text.WriteString(c.Delta.Content)
		}
		if onChunk != nil {
			onChunk(chunks)
		}
	}
}

// orderAnswer is the response that a caller receives to an order.
type orderAnswer struct {
	Status  int
	Outcome string
	Body    string
}

func newKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	assert.NilError(t, err)
	return key.String()
}

// sendOrder sends one order with an idempotency key. It returns an error if no
// response was received.
func sendOrder(ctx context.Context, d *local.Deployment, entry int, key string, wait time.Duration) (orderAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	target := "http://" + d.Entries[entry].Address + "/services/orders/replacements"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewBufferString("cartridge "+key))
	if err != nil {
		return orderAnswer{}, err
	}
	req.Header.Set("Authorization", "Bearer "+d.Plan.Organisations[0].Key)
	req.Header.Set("Idempotency-Key", key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return orderAnswer{}, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return orderAnswer{}, err
	}
	return orderAnswer{Status: res.StatusCode, Outcome: res.Header.Get("Plantain-Outcome"), Body: string(body)}, nil
}

func standinRecords(t *testing.T, u *local.Upstream) standin.Records {
	t.Helper()
	res, err := http.Get("http://" + u.StandinAddress + "/records")
	assert.NilError(t, err)
	defer res.Body.Close()
	var r standin.Records
	assert.NilError(t, json.NewDecoder(res.Body).Decode(&r))
	return r
}

// serviceUpstreams returns the upstreams that offer services instead of models.
func serviceUpstreams(d *local.Deployment) []*local.Upstream {
	var out []*local.Upstream
	for _, u := range d.Upstreams {
		if u.StageIndex < 0 {
			out = append(out, u)
		}
	}
	return out
}

// executions returns how often the order of each key was executed, by all services
// together.
func executions(t *testing.T, d *local.Deployment) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for _, u := range serviceUpstreams(d) {
		for _, e := range standinRecords(t, u).Executions {
			counts[e.Key] += e.Count
		}
	}
	return counts
}
