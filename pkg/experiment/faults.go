package experiment

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/local"
	"github.com/plantainstair/plantainstair/pkg/standin"
)

// Fault defines a fault of the recovery experiment. One of Inject and
// InjectWithCheck is set.
type Fault struct {
	Prepare func(*local.Deployment) error // called before the run; may be nil
	// Inject injects the fault and returns the hosts whose loss the logs of entries
	// and agents are expected to report.
	Inject func(*local.Deployment) (hosts []string, err error)
	// InjectWithCheck injects a fault that is not visible in the logs. It returns a
	// function that reports whether the router has reacted to the fault.
	InjectWithCheck func(*local.Deployment) (reacted func() bool, err error)
}

// Faults lists the faults of the recovery experiment by name.
var Faults = map[string]Fault{
	// Comparing a second run without a fault with the reference run shows the variation
	// between runs.
	"none": {Inject: func(*local.Deployment) ([]string, error) { return nil, nil }},
	"engine-killed": {Inject: func(d *local.Deployment) ([]string, error) {
		u := busiestLaterStageEngine(d)
		return []string{u.Host}, u.Standin.Signal(syscall.SIGKILL)
	}},
	"engine-frozen": {Inject: func(d *local.Deployment) ([]string, error) {
		u := busiestLaterStageEngine(d)
		return []string{u.Host}, setFault(u, standin.Faults{Freeze: true})
	}},
	"agent-killed": {Inject: func(d *local.Deployment) ([]string, error) {
		u := busiestLaterStageEngine(d)
		return []string{u.Host}, u.Agent.Signal(syscall.SIGKILL)
	}},
	"agent-frozen": {Inject: func(d *local.Deployment) ([]string, error) {
		u := busiestLaterStageEngine(d)
		return []string{u.Host}, u.Agent.Signal(syscall.SIGSTOP)
	}},
	"entry-killed": {Inject: func(d *local.Deployment) ([]string, error) {
		return nil, d.Entries[1].Signal(syscall.SIGKILL)
	}},
	"data-centre-killed": {Inject: killDataCentre},
	"link-cut": {Inject: func(d *local.Deployment) ([]string, error) {
		u := busiestLaterStageEngine(d)
		u.Proxy.SetFaults(local.LinkFaults{BlockToTarget: true, BlockFromTarget: true})
		return []string{u.Host}, nil
	}},
	"link-slow":  {InjectWithCheck: slowLink},
	"host-joins": {Prepare: addEngineHost, InjectWithCheck: startEngineHost},
}

// FaultNames lists the faults in the order in which they are run.
var FaultNames = []string{
	"none", "engine-killed", "engine-frozen", "agent-killed", "agent-frozen", "entry-killed", "data-centre-killed",
	"link-cut", "link-slow", "host-joins",
}

// slowLinkDelay is the latency added in each direction of a slow link.
const slowLinkDelay = 25 * time.Millisecond

// slowLink slows the link of an engine. The router has reacted when the engine
// runs at most half of the sessions that it ran at the time of the fault.
func slowLink(d *local.Deployment) (func() bool, error) {
	u := busiestLaterStageEngine(d)
	before, err := standinRecords(u)
	if err != nil {
		return nil, err
	}
	u.Proxy.SetFaults(local.LinkFaults{Delay: slowLinkDelay})
	return func() bool {
		now, err := standinRecords(u)
		return err == nil && 2*now.Sessions <= before.Sessions
	}, nil
}

// addEngineHost adds an engine of the last stage without starting it.
func addEngineHost(d *local.Deployment) error {
	_, err := d.AddEngine(len(d.Plan.Stages) - 1)
	return err
}

// startEngineHost starts the engine that was added. The router has reacted when
// the engine has run a step.
func startEngineHost(d *local.Deployment) (func() bool, error) {
	u := d.Upstreams[len(d.Upstreams)-1]
	return func() bool {
		now, err := standinRecords(u)
		return err == nil && now.Steps > 0
	}, u.Start()
}

// busiestLaterStageEngine returns the engine of the stages after the first that
// runs the most sessions.
func busiestLaterStageEngine(d *local.Deployment) *local.Upstream {
	var best *local.Upstream
	most := -1
	for _, u := range d.Upstreams {
		if u.StageIndex < 0 || d.Plan.Stages[u.StageIndex].FirstLayer == 0 {
			continue
		}
		if records, err := standinRecords(u); err == nil && records.Sessions > most {
			best, most = u, records.Sessions
		}
	}
	return best
}

// standinRecords returns what a stand-in server has executed.
func standinRecords(u *local.Upstream) (*standin.Records, error) {
	resp, err := http.Get("http://" + u.StandinAddress + "/records")
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "read records of %s", u.Host)
	}
	defer resp.Body.Close()
	records := &standin.Records{}
	if err := json.NewDecoder(resp.Body).Decode(records); err != nil {
		return nil, fault.Wrap(err, fault.Protocol, "decode records of %s", u.Host)
	}
	return records, nil
}

func killDataCentre(d *local.Deployment) ([]string, error) {
	var hosts []string
	for _, u := range d.Upstreams {
		if u.DataCentre != d.Upstreams[1].DataCentre {
			continue
		}
		hosts = append(hosts, u.Host)
		if err := u.Agent.Signal(syscall.SIGKILL); err != nil {
			return hosts, err
		}
		if err := u.Standin.Signal(syscall.SIGKILL); err != nil {
			return hosts, err
		}
	}
	return hosts, nil
}

func setFault(u *local.Upstream, f standin.Faults) error {
	body, err := json.Marshal(f)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode fault")
	}
	resp, err := http.Post("http://"+u.StandinAddress+"/fault", "application/json", bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "set fault of %s", u.Host)
	}
	return resp.Body.Close()
}

const (
	logPollInterval = 5 * time.Millisecond
	detectTimeout   = 8 * time.Second
)

// inject injects the fault and waits until it is detected, at most for detectTimeout.
// The timestamps in the logs have a resolution of one second, so the logs are polled
// to measure the time of detection.
func (result *RunResult) inject(d *local.Deployment, i *Injection, start time.Time) error {
	time.Sleep(time.Until(start.Add(i.At)))
	w := newLogFollower(d)
	var hosts []string
	var err error
	detected := func() bool { return w.reportsNewLoss(hosts) }
	if i.InjectWithCheck != nil {
		detected, err = i.InjectWithCheck(d)
	} else {
		hosts, err = i.Inject(d)
	}
	result.InjectedAt = time.Since(start)
	if err != nil || i.InjectWithCheck == nil && len(hosts) == 0 {
		return err
	}
	deadline := time.Now().Add(detectTimeout)
	for time.Now().Before(deadline) {
		if detected() {
			result.DetectedAt = time.Since(start)
			return nil
		}
		time.Sleep(logPollInterval)
	}
	return nil
}

// logFollower reads the lines that are appended to the logs of entries and agents.
type logFollower struct {
	offsets map[string]int64
}

func newLogFollower(d *local.Deployment) *logFollower {
	w := &logFollower{offsets: make(map[string]int64)}
	for _, pattern := range []string{"entry*.log", "*-agent.log"} {
		paths, _ := filepath.Glob(filepath.Join(d.Dir, pattern))
		for _, path := range paths {
			if info, err := os.Stat(path); err == nil {
				w.offsets[path] = info.Size()
			}
		}
	}
	return w
}

// reportsNewLoss reports whether a line appended since the last call reports the
// loss of one of the hosts.
func (w *logFollower) reportsNewLoss(hosts []string) bool {
	for path, offset := range w.offsets {
		info, err := os.Stat(path)
		if err != nil || info.Size() == offset {
			continue
		}
		data, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		w.offsets[path] = int64(len(data))
		if reportsLoss(string(data[offset:]), filepath.Base(path), hosts) {
			return true
		}
	}
	return false
}

// reportsLoss reports whether the lines contain the message of a stream repair or any
// message about one of the hosts. In the log of a host's own agent, every warning
// counts as a report.
func reportsLoss(lines, file string, hosts []string) bool {
	if strings.Contains(lines, "stream is repaired") {
		return true
	}
	for _, host := range hosts {
		if strings.Contains(lines, `"upstream":"`+host+`"`) {
			return true
		}
		if file == host+"-agent.log" && strings.Contains(lines, `"level":"warn"`) {
			return true
		}
	}
	return false
}

// countRepeatedKeys returns the number of idempotency keys that the services
// executed more than once. It skips services that have exited.
func countRepeatedKeys(d *local.Deployment) int {
	repeated := 0
	executions := make(map[string]int)
	for _, u := range d.Upstreams {
		if u.StageIndex >= 0 {
			continue
		}
		records, err := standinRecords(u)
		if err != nil {
			continue
		}
		for _, e := range records.Executions {
			executions[e.Key] += e.Count
		}
	}
	for key, n := range executions {
		if key != "" && n > 1 {
			repeated++
		}
	}
	return repeated
}
