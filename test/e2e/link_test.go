package e2e

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/local"
	"github.com/plantainstair/plantainstair/pkg/standin"
)

const (
	ejectionTimeout    = 3 * time.Second
	linkRestoreTimeout = 15 * time.Second
	rebalanceTimeout   = 8 * time.Second
	joinTimeout        = 3 * time.Second
)

// backgroundLoad runs chats in several workers, each one sequentially, and compares
// each answer with the reference.
type backgroundLoad struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	chats  int
	failed []string
}

// startBackgroundLoad starts the workers after each entry has answered a chat. It
// waits because an entry that starts together with the agents may be ready before
// all of them have reported.
func startBackgroundLoad(ctx context.Context, t *testing.T, d *local.Deployment, workers, tokens int) *backgroundLoad {
	t.Helper()
	for i, e := range d.Entries {
		assert.NilError(t, local.WaitUntil(ctx, "an answer of "+e.Name, func() error {
			_, err := chat(ctx, d, i, "first question", 1, nil)
			return err
		}))
	}
	c := &backgroundLoad{}
	stopping, cancel := context.WithCancel(ctx)
	c.cancel = cancel
	for w := range workers {
		c.wg.Go(func() {
			for i := 0; stopping.Err() == nil; i++ {
				content := fmt.Sprintf("question %d of worker %d", i, w)
				text, err := chat(ctx, d, (i+w)%len(d.Entries), content, tokens, nil)
				c.record(content, text, err, reference(d.Plan, content, tokens))
			}
		})
	}
	return c
}

func (c *backgroundLoad) record(content, text string, err error, want string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chats++
	if err != nil || text != want {
		c.failed = append(c.failed, fmt.Sprintf("%s: %q (%v)", content, text, err))
	}
}

// stop lets the workers complete their current chats and verifies that no chat
// failed.
func (c *backgroundLoad) stop(t *testing.T) {
	t.Helper()
	c.cancel()
	c.wg.Wait()
	assert.Assert(t, len(c.failed) == 0, "%d of %d chats failed: %v", len(c.failed), c.chats, c.failed)
	t.Logf("%d chats", c.chats)
}

// sessions returns the set of sessions that have run on an upstream.
func sessions(t *testing.T, u *local.Upstream) map[string]bool {
	t.Helper()
	ran := make(map[string]bool)
	for _, run := range standinRecords(t, u).Layers {
		ran[run.Session] = true
	}
	return ran
}

// shareOf returns the fraction of the new sessions of a stage that ran on the
// upstream u, and the number of new sessions. New sessions are those beyond the
// counts in before, which are by host.
func shareOf(t *testing.T, d *local.Deployment, u *local.Upstream, before map[string]int) (share float64, all int) {
	t.Helper()
	own := 0
	for _, other := range d.Upstreams {
		if other.StageIndex != u.StageIndex {
			continue
		}
		n := len(sessions(t, other)) - before[other.Host]
		all += n
		if other == u {
			own = n
		}
	}
	return float64(own) / float64(max(all, 1)), all
}

func firstOfStage(d *local.Deployment, stage int) *local.Upstream {
	for _, u := range d.Upstreams {
		if u.StageIndex == stage {
			return u
		}
	}
	return nil
}

// sessionCounts returns the number of sessions that have run on each host.
func sessionCounts(t *testing.T, d *local.Deployment) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for _, u := range d.Upstreams {
		counts[u.Host] = len(sessions(t, u))
	}
	return counts
}

// waitForShare waits until the fraction of new sessions that run on an upstream
// meets the condition, measured over windows of 40 sessions.
func waitForShare(t *testing.T, d *local.Deployment, u *local.Upstream, limit time.Duration, what string, holds func(share float64) bool) {
	t.Helper()
	const window = 40
	started := time.Now()
	var seen []string
	for time.Since(started) < limit {
		before := sessionCounts(t, d)
		share, all := 0.0, 0
		for all < window {
			time.Sleep(20 * time.Millisecond) // poll interval
			share, all = shareOf(t, d, u, before)
		}
		seen = append(seen, fmt.Sprintf("%.2f", share))
		if holds(share) {
			t.Logf("%s %s after %s; shares %v", u.Host, what, time.Since(started).Round(time.Millisecond), seen)
			return
		}
	}
	t.Fatalf("%s not %s within %s; shares %v", u.Host, what, limit, seen)
}

// checkLayersAcrossUpstreams verifies that no layer of a position ran twice in one
// epoch of its session, on the same or on different upstreams.
func checkLayersAcrossUpstreams(t *testing.T, d *local.Deployment) {
	t.Helper()
	type layer struct {
		run   standin.LayerExecution
		layer uint32
	}
	ranAt := make(map[layer]string)
	for _, u := range d.Upstreams {
		if u.StageIndex < 0 {
			continue
		}
		for _, run := range standinRecords(t, u).Layers {
			assert.Equal(t, run.Runs, 1, "%s ran %+v", u.Host, run)
			for l := run.FirstLayer; l <= run.LastLayer; l++ {
				key := layer{standin.LayerExecution{Session: run.Session, Epoch: run.Epoch, Position: run.Position}, l}
				assert.Equal(t, ranAt[key], "", "%s ran %+v again", u.Host, key)
				ranAt[key] = u.Host
			}
		}
	}
}

// ejection is the result of waiting until all entries have ejected an upstream.
type ejection struct {
	upstream *local.Upstream
	took     time.Duration
	err      error
}

// awaitEjection waits until each entry has logged the ejection of an upstream.
func awaitEjection(ctx context.Context, d *local.Deployment, u *local.Upstream) ejection {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, ejectionTimeout)
	defer cancel()
	err := local.WaitUntil(ctx, "the ejection of "+u.Host, func() error {
		for _, e := range d.Entries {
			data, err := os.ReadFile(e.LogPath)
			if err != nil {
				return err
			}
			if !logsEjection(string(data), u.Host) {
				return fault.New(fault.Unavailable, "%s has not ejected it", e.Name)
			}
		}
		return nil
	})
	return ejection{upstream: u, took: time.Since(started), err: err}
}

func logsEjection(log, host string) bool {
	for line := range strings.Lines(log) {
		if strings.Contains(line, "ejected") && strings.Contains(line, `"upstream":"`+host+`"`) {
			return true
		}
	}
	return false
}

// waitForNewSession waits until an engine has run a session that it had not run
// before.
func waitForNewSession(t *testing.T, u *local.Upstream, limit time.Duration) {
	t.Helper()
	started := time.Now()
	before := len(sessions(t, u))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(sessions(t, u)) > before {
			return poll.Success()
		}
		return poll.Continue("%s runs no new session", u.Host)
	}, poll.WithTimeout(limit), poll.WithDelay(10*time.Millisecond))
	t.Logf("%s has work after %s", u.Host, time.Since(started).Round(time.Millisecond))
}

// Guards against a stream that ends early or that skips, repeats or alters a token
// when the link to a stage silently drops all data, against new work for an
// upstream behind such a link, and against an upstream that gets no work after
// the link is restored.
func TestLink_SurvivesSilentCut(t *testing.T) {
	const chats, tokens = 8, 120
	cuts := map[string]local.LinkFaults{
		"both directions": {BlockToTarget: true, BlockFromTarget: true},
		"to the agent":    {BlockToTarget: true},
		"from the agent":  {BlockFromTarget: true},
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			d, ctx := launch(t, func(p *local.Plan) { p.Stages[1].Proxied = true })
			ejected := make(chan ejection, 1)
			results := startChats(ctx, d, chats, tokens, func() {
				u := busiest(t, d, 1)
				u.Proxy.SetFaults(cut)
				ejected <- awaitEjection(ctx, d, u)
			})
			longest := checkChats(t, d, results, chats, tokens)
			e := <-ejected
			assert.NilError(t, e.err)
			u := e.upstream
			t.Logf("longest gap between two tokens: %s; ejected after %s", longest, e.took)
			ran := len(sessions(t, u))
			checkChats(t, d, startChats(ctx, d, chats, 10, func() {}), chats, 10)
			assert.Equal(t, len(sessions(t, u)), ran, "%s got work while its link was cut", u.Host)
			u.Proxy.SetFaults(local.LinkFaults{})
			work := startBackgroundLoad(ctx, t, d, 8, 20)
			waitForNewSession(t, u, linkRestoreTimeout)
			work.stop(t)
			checkLayersAcrossUpstreams(t, d)
		})
	}
}

// Guards against an upstream that keeps its share of the work while its link is
// slow, and against one that gets no work after the link is restored.
func TestLink_SlowGetsLessWork(t *testing.T) {
	const engines, fairShare = 4, 0.25
	for stage, name := range []string{"first stage", "later stage"} {
		t.Run(name, func(t *testing.T) {
			d, ctx := launch(t, func(p *local.Plan) {
				p.Stages[stage].Proxied = true
				p.Stages[stage].EngineCount = engines
			})
			work := startBackgroundLoad(ctx, t, d, 12, 30)
			u := firstOfStage(d, stage)
			waitForShare(t, d, u, rebalanceTimeout, "has its share", func(s float64) bool { return s >= fairShare/2 })
			u.Proxy.SetFaults(local.LinkFaults{Delay: 25 * time.Millisecond})
			waitForShare(t, d, u, rebalanceTimeout, "has lost work", func(s float64) bool { return s < fairShare/2 })
			u.Proxy.SetFaults(local.LinkFaults{})
			waitForShare(t, d, u, linkRestoreTimeout, "has work again", func(s float64) bool { return s >= fairShare/2 })
			work.stop(t)
			checkLayersAcrossUpstreams(t, d)
		})
	}
}

// Guards against a new upstream that gets no work, and against requests that fail
// because it joins while they run.
func TestHost_JoinsUnderLoad(t *testing.T) {
	for stage, name := range []string{"first stage", "later stage"} {
		t.Run(name, func(t *testing.T) {
			d, ctx := launch(t, nil)
			work := startBackgroundLoad(ctx, t, d, 6, 60)
			waitForNewSession(t, firstOfStage(d, stage), joinTimeout)
			u, err := d.AddEngine(stage)
			assert.NilError(t, err)
			started := time.Now()
			assert.NilError(t, u.Start())
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if conn, err := net.Dial("tcp", u.StandinAddress); err != nil {
					return poll.Continue("%s does not listen", u.Host)
				} else {
					_ = conn.Close()
				}
				if len(sessions(t, u)) > 0 {
					return poll.Success()
				}
				return poll.Continue("%s runs no session", u.Host)
			}, poll.WithTimeout(joinTimeout), poll.WithDelay(10*time.Millisecond))
			t.Logf("%s has work %s after its start", u.Host, time.Since(started).Round(time.Millisecond))
			work.stop(t)
			checkLayersAcrossUpstreams(t, d)
		})
	}
}
