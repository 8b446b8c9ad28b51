package local

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

func (d *Deployment) startControls() error {
	addresses, err := FreeAddresses(2 * d.Plan.Controls)
	if err != nil {
		return err
	}
	var voters []string
	for i := range d.Plan.Controls {
		c := &Control{ID: i + 1, PeerAddress: addresses[2*i], AdminAddress: addresses[2*i+1]}
		c.Dir = filepath.Join(d.Dir, fmt.Sprintf("control%d", c.ID))
		voters = append(voters, c.voterSetting())
		d.Controls = append(d.Controls, c)
	}
	for _, c := range d.Controls {
		if err := d.startControl(c, voters, false); err != nil {
			return err
		}
	}
	return nil
}

// startControl writes the settings of a control replica and starts it.
func (d *Deployment) startControl(c *Control, voters []string, join bool) error {
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return fault.Wrap(err, fault.Internal, "create data folder")
	}
	name := fmt.Sprintf("control%d", c.ID)
	path, err := d.writeSettings(name, d.commonSettings(name, d.Plan.dataCentre(c.ID-1)),
		"[replica]",
		"id = "+strconv.Itoa(c.ID),
		"data_dir = "+c.Dir,
		"peer_address = "+c.PeerAddress,
		"voters = "+strings.Join(voters, ", "),
		fmt.Sprintf("join = %t", join),
		"[admin]",
		"address = "+c.AdminAddress,
		"operators = local:"+sha256Hex(AdminToken),
	)
	if err != nil {
		return err
	}
	c.Process = NewProcess(name, d.Dir, filepath.Join(d.BinDir, "plantain-control"), "--config", path)
	return c.Start()
}

// JoinControl starts another control replica, which waits to be added to the
// voters.
func (d *Deployment) JoinControl() (*Control, error) {
	addresses, err := FreeAddresses(2)
	if err != nil {
		return nil, err
	}
	c := &Control{ID: len(d.Controls) + 1, PeerAddress: addresses[0], AdminAddress: addresses[1]}
	c.Dir = filepath.Join(d.Dir, fmt.Sprintf("control%d", c.ID))
	var voters []string
	for _, other := range d.Controls {
		voters = append(voters, other.voterSetting())
	}
	d.Controls = append(d.Controls, c)
	return c, d.startControl(c, voters, true)
}

// voterSetting returns the replica as an element of the voters setting.
func (c *Control) voterSetting() string {
	return fmt.Sprintf("%d=%s/%s/control%d", c.ID, c.PeerAddress, c.AdminAddress, c.ID)
}

func (d *Deployment) controlAddresses() string {
	var peers []string
	for _, c := range d.Controls {
		peers = append(peers, c.PeerAddress)
	}
	return strings.Join(peers, ", ")
}

func (d *Deployment) startEntries() error {
	for i := range d.Plan.Entries {
		addresses, err := FreeAddresses(2)
		if err != nil {
			return err
		}
		e := &Entry{Address: addresses[0], HealthAddress: addresses[1]}
		name := fmt.Sprintf("entry%d", i+1)
		lines := append([]string{d.commonSettings(name, d.Plan.dataCentre(i)),
			"[callers]", "listen = " + e.Address,
			"[platform]", "listen = " + e.HealthAddress,
			"[control]", "addresses = " + d.controlAddresses(),
			"[drain]", "delay = " + d.Plan.DrainDelay,
		}, d.Plan.EntrySettings...)
		path, err := d.writeSettings(name, lines...)
		if err != nil {
			return err
		}
		e.Process = NewProcess(name, d.Dir, filepath.Join(d.BinDir, "plantain-entry"), "--config", path)
		d.Entries = append(d.Entries, e)
		if err := e.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startUpstreams() error {
	n := 0
	for index, stage := range d.Plan.Stages {
		for range stage.EngineCount {
			if err := startNewUpstream(d.addEngine(n, index, stage)); err != nil {
				return err
			}
			n++
		}
	}
	for _, service := range d.Plan.Services {
		for range max(1, d.Plan.ServiceReplicas) {
			if err := startNewUpstream(d.addService(n, service)); err != nil {
				return err
			}
			n++
		}
	}
	return nil
}

func startNewUpstream(u *Upstream, err error) error {
	if err != nil {
		return err
	}
	return u.Start()
}

func (d *Deployment) addEngine(n, index int, stage Stage) (*Upstream, error) {
	args := []string{"--model", d.Plan.Model, "--model-version", d.Plan.Version,
		"--layers", formatUint(d.Plan.Layers), "--first-layer", formatUint(stage.FirstLayer), "--last-layer", formatUint(stage.LastLayer),
		"--slots", strconv.Itoa(d.Plan.Slots), "--accelerator", stage.Accelerator}
	args = append(args, d.Plan.EngineArgs...)
	args = append(args, stage.Args...)
	return d.addUpstream(n, index, "engine", stage.Proxied, args)
}

// AddEngine adds an engine of a stage to the deployment without starting it.
func (d *Deployment) AddEngine(index int) (*Upstream, error) {
	return d.addEngine(len(d.Upstreams), index, d.Plan.Stages[index])
}

func (d *Deployment) addService(n int, service string) (*Upstream, error) {
	args := append([]string{"--services", service}, d.Plan.ServiceArgs...)
	return d.addUpstream(n, -1, "service", false, args)
}

func (d *Deployment) addUpstream(n, stage int, kind string, proxied bool, args []string) (*Upstream, error) {
	addresses, err := FreeAddresses(4)
	if err != nil {
		return nil, err
	}
	host := fmt.Sprintf("host%d", n+1)
	u := &Upstream{Host: host, StandinAddress: addresses[0], HealthAddress: addresses[1], StageIndex: stage}
	u.DataCentre = d.Plan.dataCentre(n)
	agent := []string{"[agent]", "listen = " + addresses[2], "upstream_listen = " + addresses[3]}
	if proxied {
		if u.Proxy, err = NewFaultProxy(loopbackAny, addresses[2]); err != nil {
			return nil, err
		}
		agent = append(agent, "advertise = "+u.Proxy.Address())
	}
	lines := append([]string{d.commonSettings(host, u.DataCentre),
		strings.Join(agent, "\n"),
		"[platform]", "listen = " + u.HealthAddress,
		"[control]",
		"addresses = " + d.controlAddresses(),
	}, d.Plan.AgentSettings...)
	path, err := d.writeSettings(host, lines...)
	if err != nil {
		return nil, err
	}
	u.Agent = NewProcess(host+"-agent", d.Dir, filepath.Join(d.BinDir, "plantain-agent"), "--config", path)
	standinArgs := []string{kind, "--name", host, "--listen", u.StandinAddress, "--agent", addresses[3]}
	u.Standin = NewProcess(host+"-"+kind, d.Dir, filepath.Join(d.BinDir, "plantain-standin"), append(standinArgs, args...)...)
	d.Upstreams = append(d.Upstreams, u)
	return u, nil
}

// Start starts the agent and the stand-in.
func (u *Upstream) Start() error {
	if err := u.Agent.Start(); err != nil {
		return err
	}
	return u.Standin.Start()
}

// loopbackAny is a loopback address with a port chosen by the operating system.
const loopbackAny = "127.0.0.1:0"

func formatUint(n uint32) string { return strconv.FormatUint(uint64(n), 10) }
