package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the short delay after which the platform restarts a process that ended.
const restartDelay = 500 * time.Millisecond

// Ports of every machine. Each machine has a loopback address of its own.
const (
	portFront   = 8227
	portReady   = 8220
	portControl = 8229
	portFirst   = 7340
	portLast    = 7355
)

// machine is a machine of the edge class.
type machine struct {
	name, zone, ip string
	disk           bool // it has a disk, so its coordinator votes
	memoryMB       int
	bootstrap      bool // the whole system starts for the first time
	seeds          []string
	coordinator    *process
	gateway        *process
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

// platform starts the processes of the deploy file on loopback addresses, with settings
// rendered from the project's templates.
type platform struct {
	root, dir string // of the repository, and the temporary folder of the play
	record    *record
	bounds    map[string]string
	beatMs    int

	mu        sync.Mutex
	processes []*process
	network   [2]int // second and third octet of the addresses
	hosts     int
}

func newPlatform(root string, r *record) (*platform, error) {
	dir, err := os.MkdirTemp("", "play")
	if err != nil {
		return nil, err
	}
	return &platform{
		root: root, dir: dir, record: r, beatMs: 1200,
		network: [2]int{64 + rand.IntN(64), 1 + rand.IntN(250)},
		// The bounds of the titiwangsa-remind sheet.
		bounds: map[string]string{"drainMs": "2000", "graceS": "8", "retryBudgetRatio": "0.2", "budgetWindowS": "10", "retryAllowance": "416"},
	}, nil
}

// address returns a loopback address that no other host of this play has.
func (p *platform) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts++
	return fmt.Sprintf("127.%d.%d.%d", p.network[0], p.network[1], p.hosts)
}

func (p *platform) machine(name, zone string, disk bool, memoryMB int) *machine {
	return &machine{name: name, zone: zone, ip: p.address(), disk: disk, memoryMB: memoryMB}
}

// seedsOf returns the control addresses of machines.
func seedsOf(machines ...*machine) []string {
	var out []string
	for _, m := range machines {
		out = append(out, m.address(portControl))
	}
	return out
}

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)\}\}`)

// render fills in the template of a role for a machine.
func (p *platform) render(m *machine, role string) (string, error) {
	template, err := os.ReadFile(filepath.Join(p.root, "deploy", role+".ini"))
	if err != nil {
		return "", err
	}
	dataDir := ""
	if m.disk {
		dataDir = filepath.Join(p.dir, m.name, "data")
		if err := os.MkdirAll(dataDir, 0o700); err != nil {
			return "", err
		}
	}
	fields := map[string]string{
		"nodeName": m.name, "zone": m.zone, "region": "r1", "ip": m.ip, "portRange.0": strconv.Itoa(portFirst), "portRange.1": strconv.Itoa(portLast),
		"seeds": strings.Join(m.seeds, ","), "bootstrap": strconv.FormatBool(m.bootstrap), "dataDir": dataDir, "heartbeatMs": strconv.Itoa(p.beatMs),
		"limits.memoryMb":       strconv.Itoa(m.memoryMB),
		"listenAddresses.front": m.address(portFront), "listenAddresses.ready": m.address(portReady), "listenAddresses.control": m.address(portControl),
	}
	for name, value := range p.bounds {
		fields["bounds."+name] = value
	}
	return placeholder.ReplaceAllStringFunc(string(template), func(s string) string { return fields[strings.Trim(s, "{}")] }), nil
}

// process is a process of the system. The platform restarts it when it ends, unless it was
// stopped for good.
type process struct {
	p       *platform
	m       *machine
	role    string
	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	stopped bool
	held    bool // the machine has no power: the process is not restarted
}

// start starts a role on a machine.
func (p *platform) start(m *machine, role string) (*process, error) {
	x := &process{p: p, m: m, role: role}
	p.mu.Lock()
	p.processes = append(p.processes, x)
	p.mu.Unlock()
	return x, x.run()
}

func (x *process) run() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.stopped {
		return nil
	}
	text, err := x.p.render(x.m, x.role)
	if err != nil {
		return err
	}
	folder := filepath.Join(x.p.dir, x.m.name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	settings := filepath.Join(folder, x.role+".ini")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(folder, x.role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/plantain-" + x.role)
	cmd.Dir = x.p.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PLANTAINSTAIR_BOOT=" + settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	x.cmd, x.done = cmd, done
	x.p.record.line("platform: %s of %s started", x.role, x.m.name)
	go func() {
		_ = cmd.Wait()
		close(done)
		x.ended(cmd)
	}()
	return nil
}

func (x *process) ended(cmd *exec.Cmd) {
	x.p.record.line("platform: %s of %s ended: %s", x.role, x.m.name, cmd.ProcessState)
	x.mu.Lock()
	again := !x.stopped && !x.held
	x.mu.Unlock()
	if again {
		time.Sleep(restartDelay)
		_ = x.run()
	}
}

// hold keeps the process from being restarted until release, which starts it.
func (x *process) hold() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.held = true
}

func (x *process) release() {
	x.mu.Lock()
	x.held = false
	x.mu.Unlock()
	_ = x.run()
}

func (x *process) signal(s syscall.Signal) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd != nil {
		_ = x.cmd.Process.Signal(s)
	}
}

// stopForGood sends a signal, and the process is not restarted.
func (x *process) stopForGood(s syscall.Signal) {
	if x == nil {
		return
	}
	x.mu.Lock()
	x.stopped = true
	cmd, done := x.cmd, x.done
	x.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(s)
	if s == syscall.SIGTERM {
		grace, _ := strconv.Atoi(x.p.bounds["graceS"])
		go func() {
			select {
			case <-done:
			case <-time.After(time.Duration(grace) * time.Second):
				_ = cmd.Process.Kill()
			}
		}()
	}
}

// residentMB returns the memory that the process uses, zero if it does not run.
func (x *process) residentMB() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd == nil {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", x.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(b), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}

// close ends all processes and removes the temporary folder.
func (p *platform) close() {
	p.mu.Lock()
	processes := p.processes
	p.mu.Unlock()
	for _, x := range processes {
		x.signal(syscall.SIGCONT)
		x.stopForGood(syscall.SIGKILL)
	}
	for _, x := range processes {
		if x.done != nil {
			<-x.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.dir)
	}
}
