package entry

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainstair/plantainstair/pkg/core/quarantine"
	"github.com/plantainstair/plantainstair/pkg/core/route"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/logs"
)

// promptGuard refuses prompts that begin like those on which engines crash. It knows only
// what this entry has sent.
type promptGuard struct {
	answered quarantine.AnsweredParts
	log      logs.Logger

	list atomic.Pointer[quarantine.List] // of the tracker

	mu       sync.Mutex
	tracker  *quarantine.Tracker
	revision uint64 // of the tracker when it was last read
}

func newPromptGuard(log logs.Logger) *promptGuard {
	p := &promptGuard{answered: quarantine.NewAnsweredParts(), log: log, tracker: quarantine.NewTracker(quarantine.Delays{}, nil)}
	p.list.Store(&quarantine.List{})
	return p
}

// exactPrefixBlocks is the number of blocks up to which every prefix of a prompt is a part.
const exactPrefixBlocks = 8

// promptParts returns the prefixes of a prompt of 1 to exactPrefixBlocks blocks, and of
// twice, four times and so on as many, given those of all lengths. The longest prefix is
// left out, because few other prompts have it.
func promptParts(prefixes []uint64) quarantine.Parts {
	var ids []string
	for blocks := 1; blocks < len(prefixes); {
		ids = append(ids, strconv.FormatUint(prefixes[blocks-1], 16))
		if blocks < exactPrefixBlocks {
			blocks++
		} else {
			blocks *= 2
		}
	}
	return quarantine.NewParts(ids)
}

// check returns an error if a prompt with these parts is in quarantine.
func (p *promptGuard) check(now time.Time, parts quarantine.Parts) error {
	q, found := p.list.Load().Match(now, parts)
	if !found {
		return nil
	}
	return fault.New(fault.Quarantined, "the prompt begins like others on which engines crash").
		WithOutcome(fault.NotRun).WithRetryAfter(q.Until.Sub(now))
}

// recordAnswered records that an engine has answered a prompt with these parts.
func (p *promptGuard) recordAnswered(parts quarantine.Parts) {
	p.answered.Add(parts)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.RecordAnswered(parts, 1, false)
}

// recordBroken records that the engine of a stage failed before the first token of a prompt
// with these parts.
func (p *promptGuard) recordBroken(now time.Time, requestID string, failed route.Stage, parts quarantine.Parts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.RecordBroken(now, quarantine.BrokenReply{
		RequestID: requestID, Process: quarantine.Process{ID: failed.Host, StartUnixMs: int64(failed.Incarnation)},
		Progress: quarantine.Began, Parts: parts, At: now,
	})
}

// step confirms crashes by the routing table and decides on quarantines.
func (p *promptGuard) step(now time.Time, table *route.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Step(now, func(process quarantine.Process) bool {
		u := table.Get(process.ID)
		return u == nil || u.Draining || u.Stale || int64(u.Incarnation) != process.StartUnixMs
	})
	if p.tracker.Revision() == p.revision {
		return
	}
	p.revision = p.tracker.Revision()
	for _, id := range p.tracker.Watched() {
		if p.answered.Contains(id) {
			p.tracker.RecordAnswered(quarantine.Parts{id}, 1, true)
		}
	}
	list := p.tracker.Quarantines()
	p.list.Store(&list)
	for _, q := range list {
		p.log.Warn("prompts are quarantined", logs.Strs("prompt_parts", q.Parts), logs.Dur("remaining", q.Until.Sub(now)), logs.Int("terms", q.Terms))
	}
}
