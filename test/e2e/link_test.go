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
	ejectWait = 3 * time.Second
	healWait  = 15 * time.Second
	shiftWait = 8 * time.Second
	joinWait  = 3 * time.Second
)

// crowd runs chats one after the other in several workers and compares each
// answer with the reference.
type crowd struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	chats  int
	failed []string
}

// startCrowd waits until each entry has answered once: an entry that starts
// together with the agents may be ready before they have all reported.
func startCrowd(ctx context.Context, t *testing.T, d *local.Deployment, workers, tokens int) *crowd {
	t.Helper()
	for i, e := range d.Entries {
		assert.NilError(t, local.WaitUntil(ctx, "an answer of "+e.Name, func() error {
			_, err := chat(ctx, d, i, "first question", 1, nil)
			return err
		}))
	}
	c := &crowd{}
	stopping, cancel := context.WithCancel(ctx)
	c.cancel = cancel
	for w := range workers {
		c.wg.Go(func() {
			for i := 0; stopping.Err() == nil; i++ {
				content := fmt.Sprintf("question %d of worker %d", i, w)
				text, err := chat(ctx, d, (i+w)%len(d.Entries), content, tokens, nil)
				c.note(content, text, err, reference(d.Plan, content, tokens))
			}
		})
	}
	return c
}

func (c *crowd) note(content, text string, err error, want string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chats++
	if err != nil || text != want {
		c.failed = append(c.failed, fmt.Sprintf("%s: %q (%v)", content, text, err))
	}
}

// stop ends the workers after their last chat and checks that none failed.
func (c *crowd) stop(t *testing.T) {
	t.Helper()
	c.cancel()
	c.wg.Wait()
	assert.Assert(t, len(c.failed) == 0, "%d of %d chats failed: %v", len(c.failed), c.chats, c.failed)
	t.Logf("%d chats", c.chats)
}

// sessions returns the sessions that ran at a host.
func sessions(t *testing.T, u *local.Upstream) map[string]bool {
	t.Helper()
	ran := make(map[string]bool)
	for _, run := range records(t, u).Layers {
		ran[run.Session] = true
	}
	return ran
}

// shareOf returns the share of a host in the sessions that began at its stage
// since the counts in before, and how many there are.
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

func anyOf(d *local.Deployment, stage int) *local.Upstream {
	for _, u := range d.Upstreams {
		if u.StageIndex == stage {
			return u
		}
	}
	return nil
}

func sessionCounts(t *testing.T, d *local.Deployment) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for _, u := range d.Upstreams {
		counts[u.Host] = len(sessions(t, u))
	}
	return counts
}

// waitShare waits until the share of a host in a window of new sessions meets
// the condition.
func waitShare(t *testing.T, d *local.Deployment, u *local.Upstream, limit time.Duration, what string, holds func(share float64) bool) {
	t.Helper()
	const window = 40
	started := time.Now()
	var seen []string
	for time.Since(started) < limit {
		before := sessionCounts(t, d)
		share, all := 0.0, 0
		for all < window {
			time.Sleep(20 * time.Millisecond) // interval of the poll
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

// checkLayersOnce verifies that no layer of a position ran twice in one epoch
// of its session, at one host or at several.
func checkLayersOnce(t *testing.T, d *local.Deployment) {
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
		for _, run := range records(t, u).Layers {
			assert.Equal(t, run.Runs, 1, "%s ran %+v", u.Host, run)
			for l := run.FirstLayer; l <= run.LastLayer; l++ {
				key := layer{standin.LayerExecution{Session: run.Session, Epoch: run.Epoch, Position: run.Position}, l}
				assert.Equal(t, ranAt[key], "", "%s ran %+v again", u.Host, key)
				ranAt[key] = u.Host
			}
		}
	}
}

// ejection is how long the entries took to eject a host.
type ejection struct {
	host *local.Upstream
	took time.Duration
	err  error
}

// awaitEjection waits until each entry has logged the ejection of a host.
func awaitEjection(ctx context.Context, d *local.Deployment, u *local.Upstream) ejection {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, ejectWait)
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
	return ejection{host: u, took: time.Since(started), err: err}
}

func logsEjection(log, host string) bool {
	for line := range strings.Lines(log) {
		if strings.Contains(line, "ejected") && strings.Contains(line, `"upstream":"`+host+`"`) {
			return true
		}
	}
	return false
}

// getsWork waits until an engine runs sessions that it did not run before.
func getsWork(t *testing.T, u *local.Upstream, limit time.Duration) {
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

// Guards against a stream that ends, skips, repeats or changes a token when the
// link to a stage carries nothing any more, against new work for a host behind
// such a link, and against one that gets none after the link is healed.
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
			u := e.host
			t.Logf("longest gap between two tokens: %s; ejected after %s", longest, e.took)
			ran := len(sessions(t, u))
			checkChats(t, d, startChats(ctx, d, chats, 10, func() {}), chats, 10)
			assert.Equal(t, len(sessions(t, u)), ran, "%s got work while its link was cut", u.Host)
			u.Proxy.SetFaults(local.LinkFaults{})
			work := startCrowd(ctx, t, d, 8, 20)
			getsWork(t, u, healWait)
			work.stop(t)
			checkLayersOnce(t, d)
		})
	}
}

// Guards against a slow link that keeps its share of the work until it fails,
// and against one that gets none after it is healed.
func TestLink_SlowGetsLessWork(t *testing.T) {
	const engines, fair = 4, 0.25
	for stage, name := range []string{"first stage", "later stage"} {
		t.Run(name, func(t *testing.T) {
			d, ctx := launch(t, func(p *local.Plan) {
				p.Stages[stage].Proxied = true
				p.Stages[stage].EngineCount = engines
			})
			work := startCrowd(ctx, t, d, 12, 30)
			u := anyOf(d, stage)
			waitShare(t, d, u, shiftWait, "has its share", func(s float64) bool { return s >= fair/2 })
			u.Proxy.SetFaults(local.LinkFaults{Delay: 25 * time.Millisecond})
			waitShare(t, d, u, shiftWait, "has lost work", func(s float64) bool { return s < fair/2 })
			u.Proxy.SetFaults(local.LinkFaults{})
			waitShare(t, d, u, healWait, "has work again", func(s float64) bool { return s >= fair/2 })
			work.stop(t)
			checkLayersOnce(t, d)
		})
	}
}

// Guards against a new host that gets no work, and against requests that fail
// because it joins while they run.
func TestHost_JoinsUnderLoad(t *testing.T) {
	for stage, name := range []string{"first stage", "later stage"} {
		t.Run(name, func(t *testing.T) {
			d, ctx := launch(t, nil)
			work := startCrowd(ctx, t, d, 6, 60)
			getsWork(t, anyOf(d, stage), joinWait)
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
			}, poll.WithTimeout(joinWait), poll.WithDelay(10*time.Millisecond))
			t.Logf("%s has work %s after its start", u.Host, time.Since(started).Round(time.Millisecond))
			work.stop(t)
			checkLayersOnce(t, d)
		})
	}
}
