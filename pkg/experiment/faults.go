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

// Fault is a fault of the recovery experiment.
type Fault struct {
	Prepare func(*local.Deployment) error // before the run; may be nil
	// Inject injects the fault and returns the hosts whose loss a log reports.
	Inject func(*local.Deployment) (hosts []string, err error)
	// InjectWithCheck is called at the fault in place of Inject, for a fault that no log
	// reports. It returns how to tell that the router has answered it.
	InjectWithCheck func(*local.Deployment) (answered func() bool, err error)
}

// Faults lists the faults of the recovery experiment by name.
var Faults = map[string]Fault{
	// A second run without a fault shows by how much two runs differ.
	"none": {Inject: func(*local.Deployment) ([]string, error) { return nil, nil }},
	"engine-killed": {Inject: func(d *local.Deployment) ([]string, error) {
		u := victim(d)
		return []string{u.Host}, u.Standin.Signal(syscall.SIGKILL)
	}},
	"engine-frozen": {Inject: func(d *local.Deployment) ([]string, error) {
		u := victim(d)
		return []string{u.Host}, setFault(u, standin.Faults{Freeze: true})
	}},
	"agent-killed": {Inject: func(d *local.Deployment) ([]string, error) {
		u := victim(d)
		return []string{u.Host}, u.Agent.Signal(syscall.SIGKILL)
	}},
	"agent-frozen": {Inject: func(d *local.Deployment) ([]string, error) {
		u := victim(d)
		return []string{u.Host}, u.Agent.Signal(syscall.SIGSTOP)
	}},
	"entry-killed": {Inject: func(d *local.Deployment) ([]string, error) {
		return nil, d.Entries[1].Signal(syscall.SIGKILL)
	}},
	"data-centre-killed": {Inject: killDataCentre},
	"link-cut": {Inject: func(d *local.Deployment) ([]string, error) {
		u := victim(d)
		u.Link.Set(local.Condition{CutTo: true, CutFrom: true})
		return []string{u.Host}, nil
	}},
	"link-slow":  {InjectWithCheck: slowLink},
	"host-joins": {Prepare: addHost, InjectWithCheck: startHost},
}

// FaultNames lists the faults in the order of the table.
var FaultNames = []string{
	"none", "engine-killed", "engine-frozen", "agent-killed", "agent-frozen", "entry-killed", "data-centre-killed",
	"link-cut", "link-slow", "host-joins",
}

// slowDelay is added in each direction of a slow link.
const slowDelay = 25 * time.Millisecond

// slowLink is answered when the engine behind the link runs at most half of the
// sessions that it ran at the fault.
func slowLink(d *local.Deployment) (func() bool, error) {
	u := victim(d)
	before, err := recordsOf(u)
	if err != nil {
		return nil, err
	}
	u.Link.Set(local.Condition{Delay: slowDelay})
	return func() bool {
		now, err := recordsOf(u)
		return err == nil && 2*now.Sessions <= before.Sessions
	}, nil
}

// addHost adds an engine of the last stage that is not started yet.
func addHost(d *local.Deployment) error {
	_, err := d.AddEngine(len(d.Plan.Stages) - 1)
	return err
}

// startHost is answered when the new host runs a session.
func startHost(d *local.Deployment) (func() bool, error) {
	u := d.Upstreams[len(d.Upstreams)-1]
	return func() bool {
		now, err := recordsOf(u)
		return err == nil && now.Steps > 0
	}, u.Start()
}

// victim is the engine of the second stage that runs the most sessions.
func victim(d *local.Deployment) *local.Upstream {
	var best *local.Upstream
	most := -1
	for _, u := range d.Upstreams {
		if u.Stage < 0 || d.Plan.Stages[u.Stage].First == 0 {
			continue
		}
		if records, err := recordsOf(u); err == nil && records.Sessions > most {
			best, most = u, records.Sessions
		}
	}
	return best
}

// recordsOf asks a stand-in what it has executed.
func recordsOf(u *local.Upstream) (*standin.Records, error) {
	resp, err := http.Get("http://" + u.Address + "/records")
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
	resp, err := http.Post("http://"+u.Address+"/fault", "application/json", bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "set fault of %s", u.Host)
	}
	return resp.Body.Close()
}

const (
	logInterval   = 5 * time.Millisecond
	detectTimeout = 8 * time.Second
)

// inject injects the fault and waits until a log reports it. The logs have a
// resolution of one second, so they are read as they are written.
func (o *RunResult) inject(d *local.Deployment, i *Injection, start time.Time) error {
	time.Sleep(time.Until(start.Add(i.At)))
	w := newLogWatch(d)
	var hosts []string
	var err error
	answered := func() bool { return w.reports(hosts) }
	if i.InjectWithCheck != nil {
		answered, err = i.InjectWithCheck(d)
	} else {
		hosts, err = i.Inject(d)
	}
	o.InjectedAt = time.Since(start)
	if err != nil || i.InjectWithCheck == nil && len(hosts) == 0 {
		return err
	}
	deadline := time.Now().Add(detectTimeout)
	for time.Now().Before(deadline) {
		if answered() {
			o.DetectedAt = time.Since(start)
			return nil
		}
		time.Sleep(logInterval)
	}
	return nil
}

// logWatch reads what entries and agents log from a point in time on.
type logWatch struct {
	offsets map[string]int64
}

func newLogWatch(d *local.Deployment) *logWatch {
	w := &logWatch{offsets: make(map[string]int64)}
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

// reports tells whether a new line reports the loss of one of the hosts.
func (w *logWatch) reports(hosts []string) bool {
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

// reportsLoss checks lines of an entry for a repair or the ejection of a host,
// and lines of a host's own agent for any warning.
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

// countTwice returns the keys that the services ran more than once. It skips
// services that have ended.
func countTwice(d *local.Deployment) int {
	twice := 0
	seen := make(map[string]int)
	for _, u := range d.Upstreams {
		if u.Stage >= 0 {
			continue
		}
		records, err := recordsOf(u)
		if err != nil {
			continue
		}
		for _, e := range records.Executions {
			seen[e.Key] += e.Count
		}
	}
	for key, n := range seen {
		if key != "" && n > 1 {
			twice++
		}
	}
	return twice
}
