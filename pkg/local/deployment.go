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

// Entry is an entry of a deployment.
type Entry struct {
	*Process
	Address         string // towards callers
	PlatformAddress string
}

// Upstream is an agent with its stand-in.
type Upstream struct {
	Agent           *Process
	Standin         *Process
	Host            string
	DataCentre      string
	StandinAddress  string      // of the stand-in
	PlatformAddress string      // of the agent
	StageIndex      int         // index into Plan.Stages, or -1 for a service
	Proxy           *FaultProxy // in front of the agent; nil without one
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
// from bin, applies the catalogue and waits until every entry is ready.
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

// Admin returns a client of the admin API.
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
			return nil // applied by an earlier attempt, or kept from an earlier run
		}
		_, err = d.Admin().Apply(ctx, &operators.ChangeRequest{
			BaseRevision: current.Revision, RequestID: "first-catalogue", Put: operators.Messages(entries),
		})
		return err
	})
}

// WaitReady waits until every entry is ready and knows every upstream.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for _, r := range d.Controls {
		one := &operators.Client{Addresses: []string{r.AdminAddress}, Token: AdminToken}
		err := WaitUntil(ctx, "the registry of "+r.Name, func() error {
			if err := d.checkAlive(); err != nil {
				return err
			}
			status, err := one.Status(ctx)
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
		if err := WaitUntil(ctx, e.Name, func() error { return d.checkEntry(e) }); err != nil {
			return err
		}
	}
	return nil
}

// checkEntry returns an error unless the entry is ready and can send work to
// every upstream.
func (d *Deployment) checkEntry(e *Entry) error {
	if _, err := probe(e.PlatformAddress, "/readyz"); err != nil {
		return err
	}
	usable, err := SumMetric(e.PlatformAddress, "plantain_entry_usable_upstreams")
	if err != nil {
		return err
	}
	if int(usable) < len(d.Upstreams) {
		return fault.New(fault.Unavailable, "%s can use %.0f of %d upstreams", e.Name, usable, len(d.Upstreams))
	}
	return nil
}

// SumMetric sums the series of a metric of the process whose platform endpoints
// are at addr. It is zero if there are none.
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

// checkAlive returns an error that names a process which has ended.
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

// maxProbe bounds the answer of an endpoint of the platform.
const maxProbe = 4 << 20

func probe(addr, path string) (string, error) {
	client := http.Client{Timeout: probeTimeout}
	res, err := client.Get("http://" + addr + path)
	if err != nil {
		return "", fault.Wrap(err, fault.Unavailable, "probe %s", addr)
	}
	defer res.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(res.Body, maxProbe))
	if res.StatusCode != http.StatusOK {
		return "", fault.New(fault.Unavailable, "%s answered %d: %s", addr, res.StatusCode, strings.TrimSpace(string(body)))
	}
	return string(body), nil
}

// Processes lists all processes, those that callers talk to first. After a start
// that failed it leaves out those that were not reached.
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

// Stop ends all processes gracefully, entries first, and returns the first
// error.
func (d *Deployment) Stop() error {
	defer d.closeLinks()
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

// Kill ends all processes at once.
func (d *Deployment) Kill() {
	for _, p := range d.Processes() {
		if p.PID() != 0 {
			p.Kill()
		}
	}
	d.closeLinks()
}

func (d *Deployment) closeLinks() {
	for _, u := range d.Upstreams {
		if u.Proxy != nil {
			u.Proxy.Close()
		}
	}
}

func digest(text string) string {
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

// common returns the settings that every process has.
func (d *Deployment) common(host, dataCentre string) string {
	return fmt.Sprintf("[process]\nhost = %s\ndata_centre = %s\n[log]\nlevel = %s\n[security]\nkey_id = local\nkey = %s",
		host, dataCentre, d.Plan.LogLevel, sharedKey)
}
