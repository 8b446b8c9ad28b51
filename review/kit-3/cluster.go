package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bounds are the values of the small deployment in the users' SYSTEM.md.
const (
	graceS    = 8
	drainMs   = 2000
	beatMs    = 1200
	recoveryS = 12
)

// node is one process of the system on a machine of its own.
type node struct {
	name, role, zone, ip string
	dir                  string // settings file, data folder and log
	dataDir              string // empty on a machine without a disk
	bootstrap            bool
	cluster              *cluster

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	exit string // how the last process ended
}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	root   string // of the repository
	dir    string
	subnet string
	ports  map[string]int
	seeds  []string
	nodes  []*node
	rec    *record
}

func newCluster(root string, rec *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	c := &cluster{root: root, dir: dir, rec: rec, ports: map[string]int{}}
	c.subnet = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
	base := 20000 + rand.IntN(5000)
	for i, name := range []string{"front", "ready", "control", "first"} {
		c.ports[name] = base + 10*i
	}
	return c, nil
}

func (c *cluster) address(n *node, port string) string {
	return fmt.Sprintf("%s:%d", n.ip, c.ports[port])
}

func (c *cluster) add(role, zone string, hasDisk bool) *node {
	i := len(c.nodes)
	n := &node{name: fmt.Sprintf("%s-%d", role, i), role: role, zone: zone, ip: fmt.Sprintf("%s.%d", c.subnet, 10+i), cluster: c, bootstrap: true}
	n.dir = filepath.Join(c.dir, n.name)
	if hasDisk {
		n.dataDir = filepath.Join(n.dir, "data")
	}
	c.nodes = append(c.nodes, n)
	return n
}

var zones = []string{"z-a", "z-b", "z-c"}

// startSmall starts a coordinator and a gateway in each zone.
func (c *cluster) startSmall() (core, gateways []*node, err error) {
	for _, z := range zones {
		core = append(core, c.add("coordinator", z, true))
	}
	for _, z := range zones {
		gateways = append(gateways, c.add("gateway", z, false))
	}
	for _, n := range core {
		c.seeds = append(c.seeds, c.address(n, "control"))
	}
	for _, n := range c.nodes {
		if err := n.start(); err != nil {
			return nil, nil, err
		}
	}
	for _, n := range core {
		n.bootstrap = false
	}
	return core, gateways, nil
}

func (n *node) writeSettings() error {
	if err := os.MkdirAll(n.dir, 0o700); err != nil {
		return err
	}
	if n.dataDir != "" {
		if err := os.MkdirAll(n.dataDir, 0o700); err != nil {
			return err
		}
	}
	c := n.cluster
	template, err := os.ReadFile(filepath.Join(c.root, "deploy", n.role+".ini"))
	if err != nil {
		return err
	}
	values := strings.NewReplacer(
		"{{nodeName}}", n.name, "{{zone}}", n.zone, "{{region}}", "r", "{{ip}}", n.ip,
		"{{portRange.0}}", fmt.Sprint(c.ports["first"]), "{{bounds.graceS}}", fmt.Sprint(graceS),
		"{{seeds}}", strings.Join(c.seeds, ","), "{{limits.memoryMb}}", "284", "{{limits.maxFds}}", "4100",
		"{{listenAddresses.front}}", c.address(n, "front"), "{{listenAddresses.ready}}", c.address(n, "ready"),
		"{{listenAddresses.control}}", c.address(n, "control"), "{{dataDir}}", n.dataDir, "{{bootstrap}}", fmt.Sprint(n.bootstrap),
		"{{heartbeatMs}}", fmt.Sprint(beatMs), "{{bounds.drainMs}}", fmt.Sprint(drainMs),
		"{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.retryAllowance}}", "416", "{{bounds.budgetWindowS}}", "10")
	return os.WriteFile(filepath.Join(n.dir, "boot.ini"), []byte(values.Replace(string(template))), 0o600)
}

// start writes the settings and starts the process with the command of the deploy file.
func (n *node) start() error {
	if err := n.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join("target", "plantain-"+n.role))
	cmd.Dir = n.cluster.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.dir, "PLANTAINSTAIR_BOOT=" + filepath.Join(n.dir, "boot.ini")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done, n.exit = cmd, done, ""
	n.mu.Unlock()
	n.cluster.rec.add("%s starts, bootstrap = %v", n.name, n.bootstrap)
	go func() {
		_ = cmd.Wait()
		n.mu.Lock()
		n.exit = cmd.ProcessState.String()
		n.mu.Unlock()
		n.cluster.rec.add("%s has ended: %s", n.name, cmd.ProcessState)
		close(done)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	_ = n.signal(syscall.SIGCONT)
	_ = n.signal(syscall.SIGKILL)
	<-n.done
}

// wipe removes what the process stored, as after the loss of its disk.
func (n *node) wipe() error { return os.RemoveAll(n.dataDir) }

func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.kill()
	}
	_ = os.RemoveAll(c.dir)
}

// record collects what is written to record.txt.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  %s", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...)))
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

func listen(ip string) (net.Listener, error) { return net.Listen("tcp", ip+":0") }
