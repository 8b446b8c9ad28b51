package e2e

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/local"
)

// chatResult is the result of one chat request.
type chatResult struct {
	content string
	text    string
	err     error
	longest time.Duration // longest time between consecutive tokens
}

// startChats starts n concurrent chats and calls begun once each of them has
// received a few tokens or failed.
func startChats(ctx context.Context, d *local.Deployment, n, tokens int, begun func()) <-chan chatResult {
	results := make(chan chatResult, n)
	var first sync.WaitGroup
	first.Add(n)
	for i := range n {
		go func() {
			r := chatResult{content: fmt.Sprintf("question %d about anchors", i)}
			last := time.Now()
			signalled := false
			r.text, r.err = chat(ctx, d, i%len(d.Entries), r.content, tokens, func(chunk int) {
				if chunk > 0 {
					r.longest = max(r.longest, time.Since(last))
				}
				last = time.Now()
				if chunk == 3 {
					signalled = true
					first.Done()
				}
			})
			if !signalled {
				first.Done()
			}
			results <- r
		}()
	}
	go func() { first.Wait(); begun() }()
	return results
}

// checkChats verifies that n chats were answered as the reference model answers them,
// and returns the longest time between consecutive tokens.
func checkChats(t *testing.T, d *local.Deployment, results <-chan chatResult, n, tokens int) time.Duration {
	t.Helper()
	longest := time.Duration(0)
	for range n {
		r := <-results
		assert.NilError(t, r.err, "%q after %q", r.content, r.text)
		assert.Equal(t, r.text, reference(d.Plan, r.content, tokens))
		longest = max(longest, r.longest)
	}
	return longest
}

// checkLayersPerUpstream verifies that no upstream ran its layers for a position of a
// session more than once in an epoch.
func checkLayersPerUpstream(t *testing.T, d *local.Deployment) {
	t.Helper()
	for _, u := range d.Upstreams {
		if u.StageIndex < 0 {
			continue
		}
		select {
		case <-u.Standin.Done():
			continue // killed by the test, so its records are lost
		default:
		}
		for _, run := range standinRecords(t, u).Layers {
			assert.Equal(t, run.Runs, 1, "%s ran %+v", u.Host, run)
		}
	}
}

// Guards against a stream that ends early or that skips, repeats or alters a token
// when a stage of its chain fails.
func TestChat_SurvivesStageFaults(t *testing.T) {
	const chats, tokens = 8, 120
	faults := map[string]func(t *testing.T, head, last *local.Upstream){
		"engine killed":       func(_ *testing.T, _, last *local.Upstream) { last.Standin.Kill() },
		"agent killed":        func(_ *testing.T, _, last *local.Upstream) { last.Agent.Kill() },
		"head agent killed":   func(_ *testing.T, head, _ *local.Upstream) { head.Agent.Kill() },
		"head engine killed":  func(_ *testing.T, head, _ *local.Upstream) { head.Standin.Kill() },
		"engine frozen":       func(t *testing.T, _, last *local.Upstream) { suspend(t, last.Standin) },
		"agent frozen":        func(t *testing.T, _, last *local.Upstream) { suspend(t, last.Agent) },
		"head agent frozen":   func(t *testing.T, head, _ *local.Upstream) { suspend(t, head.Agent) },
		"head and stage lost": func(_ *testing.T, head, last *local.Upstream) { head.Agent.Kill(); last.Standin.Kill() },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			d, ctx := launch(t, nil)
			done := make(chan struct{})
			results := startChats(ctx, d, chats, tokens, func() {
				defer close(done)
				inject(t, busiest(t, d, 0), busiest(t, d, 1))
			})
			longest := checkChats(t, d, results, chats, tokens)
			<-done
			t.Logf("longest gap between two tokens: %s", longest)
			continueAll(d)
			checkLayersPerUpstream(t, d)
		})
	}
}

// busiest returns the upstream of a stage that runs the most sessions, so that a
// fault there affects at least one.
func busiest(t *testing.T, d *local.Deployment, stage int) *local.Upstream {
	t.Helper()
	var found *local.Upstream
	most := 0
	for _, u := range d.Upstreams {
		if u.StageIndex != stage {
			continue
		}
		if n := standinRecords(t, u).Sessions; n > most {
			found, most = u, n
		}
	}
	if found == nil {
		t.Errorf("no session runs at stage %d", stage)
		return d.Upstreams[0]
	}
	return found
}

func suspend(t *testing.T, p *local.Process) {
	t.Helper()
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		t.Error(err)
	}
}

// continueAll resumes suspended processes, so that their records can be read.
func continueAll(d *local.Deployment) {
	for _, p := range d.Processes() {
		_ = p.Signal(syscall.SIGCONT)
	}
}

// Guards against a graceful shutdown of an entry or agent that interrupts a stream.
func TestChat_GracefulShutdownCutsNothing(t *testing.T) {
	const chats, tokens = 8, 100
	d, ctx := launch(t, nil)
	stopped := make(chan error, 2)
	results := startChats(ctx, d, chats, tokens, func() {
		go func() { stopped <- d.Entries[0].Stop(30 * time.Second) }()
		go func() { stopped <- d.Upstreams[0].Agent.Stop(30 * time.Second) }()
	})
	checkChats(t, d, results, chats, tokens)
	assert.NilError(t, <-stopped)
	assert.NilError(t, <-stopped)
	_, err := chat(ctx, d, 1, "after the shutdown", 4, nil)
	assert.NilError(t, err)
	checkLayersPerUpstream(t, d)
}

// Guards against wrong answers when there are more streams than slots, so that
// later stages reject sessions and other upstreams are chosen.
func TestChat_MoreStreamsThanSlots(t *testing.T) {
	const chats, tokens = 40, 30
	d, ctx := launch(t, nil)
	checkChats(t, d, startChats(ctx, d, chats, tokens, func() {}), chats, tokens)
	checkLayersPerUpstream(t, d)
}
