package local

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/plantainstair/plantainstair/pkg/catalogue"
	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/operators"
)

const (
	stopTimeout  = 20 * time.Second
	probeTimeout = time.Second
)

// Control is a control replica of a deployment.
type Control struct {
	*Process
	ID           int
	PeerAddress  string
	AdminAddress string
	Dir          string
}

// Entry is an entry process of a deployment.
type Entry struct {
	*Process
	Address       string // for callers
	HealthAddress string // health and metrics endpoints
}

// Upstream is a stand-in upstream with its agent.
type Upstream struct {
	Agent          *Process
	Standin        *Process
	Host           string
	DataCentre     string
	StandinAddress string
	HealthAddress  string      // health and metrics endpoints of the agent
	StageIndex     int         // index into Plan.Stages, or -1 for a service
	Proxy          *FaultProxy // in front of the agent; nil if there is none
}

// Deployment is a running set of processes.
type Deployment struct {
	Plan      Plan
	Dir       string
	BinDir    string
	Controls  []*Control
	Entries   []*Entry
	Upstreams []*Upstream
}

// Launch starts the processes of a plan with settings under dir and binaries
// from bin, applies the catalogue and waits until every entry is ready. If it
// fails, it kills the processes that it started.
func Launch(ctx context.Context, plan Plan, dir, bin string) (*Deployment, error) {
	d := &Deployment{Plan: plan, Dir: dir, BinDir: bin}
	if err := d.start(ctx); err != nil {
		d.Kill()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	if err := d.startControls(); err != nil {
		return err
	}
	if err := d.startUpstreams(); err != nil {
		return err
	}
	if err := d.startEntries(); err != nil {
		return err
	}
	if err := d.applyCatalogue(ctx); err != nil {
		return err
	}
	return d.WaitReady(ctx)
}

// Admin returns a client of the admin API of all control replicas.
func (d *Deployment) Admin() *operators.Client {
	c := &operators.Client{Token: AdminToken}
	for _, r := range d.Controls {
		c.Addresses = append(c.Addresses, r.AdminAddress)
	}
	return c
}

func (d *Deployment) applyCatalogue(ctx context.Context) error {
	path := filepath.Join(d.Dir, "catalogue.ini")
	if err := os.WriteFile(path, []byte(d.Plan.Catalogue()), 0o644); err != nil {
		return fault.Wrap(err, fault.Internal, "write catalogue")
	}
	entries, err := catalogue.Read(path)
	if err != nil {
		return err
	}
	return WaitUntil(ctx, "the first change", func() error {
		current, err := d.Admin().Catalogue(ctx, nil)
		if err != nil {
			return err
		}
		if len(current.Entries) > 0 {
			return nil // applied by an earlier attempt or an earlier run
		}
		_, err = d.Admin().Apply(ctx, &operators.ChangeRequest{
			BaseRevision: current.Revision, RequestID: "first-catalogue", Put: operators.WrapMessages(entries),
		})
		return err
	})
}

// WaitReady waits until every control replica has registered every upstream and
// every entry is ready and can use every upstream.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for _, r := range d.Controls {
		client := &operators.Client{Addresses: []string{r.AdminAddress}, Token: AdminToken}
		err := WaitUntil(ctx, "the registry of "+r.Name, func() error {
			if err := d.checkAlive(); err != nil {
				return err
			}
			status, err := client.Status(ctx)
			if err != nil {
				return err
			}
			if len(status.Upstreams) < len(d.Upstreams) {
				return fault.New(fault.Unavailable, "%d of %d upstreams are registered", len(status.Upstreams), len(d.Upstreams))
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	for _, e := range d.Entries {
		if err := WaitUntil(ctx, e.Name, func() error { return d.checkEntryReady(e) }); err != nil {
			return err
		}
	}
	return nil
}

// checkEntryReady returns an error unless the entry is ready and can use every
// upstream.
func (d *Deployment) checkEntryReady(e *Entry) error {
	if _, err := probe(e.HealthAddress, "/readyz"); err != nil {
		return err
	}
	usable, err := SumMetric(e.HealthAddress, "plantain_entry_usable_upstreams")
	if err != nil {
		return err
	}
	if int(usable) < len(d.Upstreams) {
		return fault.New(fault.Unavailable, "%s can use %.0f of %d upstreams", e.Name, usable, len(d.Upstreams))
	}
	return nil
}

// SumMetric returns the sum of all series of a metric of the process whose health
// and metrics endpoints are at addr. It returns zero if there are none.
func SumMetric(addr, name string) (float64, error) {
	text, err := probe(addr, "/metrics")
	if err != nil {
		return 0, err
	}
	total := 0.0
	for line := range strings.Lines(text) {
		rest, found := strings.CutPrefix(line, name)
		if !found || !strings.HasPrefix(rest, " ") && !strings.HasPrefix(rest, "{") {
			continue
		}
		value, err := strconv.ParseFloat(strings.TrimSpace(line[strings.LastIndexByte(line, ' ')+1:]), 64)
		if err == nil {
			total += value
		}
	}
	return total, nil
}

// checkAlive returns an error if a process has ended.
func (d *Deployment) checkAlive() error {
	for _, p := range d.Processes() {
		select {
		case <-p.Done():
			return fault.New(fault.Unavailable, "%s has ended, see %s", p.Name, p.LogPath)
		default:
		}
	}
	return nil
}

// maxProbeBytes limits the size of a response of the health and metrics endpoints.
const maxProbeBytes = 4 << 20

// probe returns the response body of a health or metrics endpoint, or an error if
// the status is not 200.
func probe(addr, path string) (string, error) {
	client := http.Client{Timeout: probeTimeout}
	res, err := client.Get("http://" + addr + path)
	if err != nil {
		return "", fault.Wrap(err, fault.Unavailable, "probe %s", addr)
	}
	defer res.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(res.Body, maxProbeBytes))
	if res.StatusCode != http.StatusOK {
		return "", fault.New(fault.Unavailable, "%s responded with status %d: %s", addr, res.StatusCode, strings.TrimSpace(string(body)))
	}
	return string(body), nil
}

// Processes returns all processes: entries, agents, stand-ins and control
// replicas, in this order. After a failed start it omits those that were not
// created.
func (d *Deployment) Processes() []*Process {
	var all []*Process
	for _, e := range d.Entries {
		all = append(all, e.Process)
	}
	for _, u := range d.Upstreams {
		all = append(all, u.Agent)
	}
	for _, u := range d.Upstreams {
		all = append(all, u.Standin)
	}
	for _, c := range d.Controls {
		all = append(all, c.Process)
	}
	return slices.DeleteFunc(all, func(p *Process) bool { return p == nil })
}

// Stop stops all processes gracefully, in the order of Processes, and returns the
// first error.
func (d *Deployment) Stop() error {
	defer d.closeProxies()
	var first error
	for _, p := range d.Processes() {
		if p.PID() == 0 {
			continue
		}
		if err := p.Stop(stopTimeout); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Kill kills all processes.
func (d *Deployment) Kill() {
	for _, p := range d.Processes() {
		if p.PID() != 0 {
			p.Kill()
		}
	}
	d.closeProxies()
}

func (d *Deployment) closeProxies() {
	for _, u := range d.Upstreams {
		if u.Proxy != nil {
			u.Proxy.Close()
		}
	}
}

func sha256Hex(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// writeSettings writes an INI file and returns its path.
func (d *Deployment) writeSettings(name string, lines ...string) (string, error) {
	path := filepath.Join(d.Dir, name+".ini")
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return "", fault.Wrap(err, fault.Internal, "write settings of %s", name)
	}
	return path, nil
}

// commonSettings returns the settings that every process has.
func (d *Deployment) commonSettings(host, dataCentre string) string {
	return fmt.Sprintf("[process]\nhost = %s\ndata_centre = %s\n[log]\nlevel = %s\n[security]\nkey_id = local\nkey = %s",
		host, dataCentre, d.Plan.LogLevel, sharedKey)
}
