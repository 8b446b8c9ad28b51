package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a machine, as offsets from the first one. They are the same on all machines.
const (
	portFront   = 20
	portReady   = 21
	portControl = 22
	portServer  = 23
)

// Bounds of the deployments in SYSTEM.md.
const (
	graceS  = 8
	contact = 3 * time.Second
	drainMs = 2000
	beatMs  = 1200
)

// system holds the processes of one run.
type system struct {
	root   string
	folder string
	net    string // first three bytes of the addresses
	port   int
	log    *record

	mu        sync.Mutex
	processes []*process
}

// machine is a machine of the system or of a server.
type machine struct {
	name, ip, zone string
	memoryMb       int
	hasDisk        bool
}

// prepare makes a temporary folder and looks for addresses with free ports.
func (s *system) prepare() {
	for _, role := range []string{"gateway", "coordinator"} {
		if _, err := os.Stat(s.program(role)); err != nil {
			cannotRun("the build of the deploy file is missing: %v", err)
		}
	}
	folder, err := os.MkdirTemp("", "play2-")
	if err != nil {
		cannotRun("no temporary folder: %v", err)
	}
	s.folder = folder
	for range 50 {
		s.net = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(250))
		s.port = 20000 + rand.IntN(10000)
		if s.portsFree() {
			return
		}
	}
	cannotRun("no free ports")
}

func (s *system) program(role string) string {
	return filepath.Join(s.root, "target", "plantain-"+role)
}

func (s *system) portsFree() bool {
	for i := range portServer + 1 {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", s.net, s.port+i))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// machine returns the machine with a number, in a zone.
func (s *system) machine(n int, zone string, hasDisk bool) machine {
	return machine{name: fmt.Sprintf("edge-%s-%d", zone, n), ip: fmt.Sprintf("%s.%d", s.net, n), zone: zone, memoryMb: 284, hasDisk: hasDisk}
}

func (s *system) address(m machine, offset int) string {
	return fmt.Sprintf("%s:%d", m.ip, s.port+offset)
}

// process is a program of the project on a machine.
type process struct {
	cmd     *exec.Cmd
	name    string
	ended   chan struct{}
	machine machine
}

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// start renders the template of a role and starts its program, as the platform does.
func (s *system) start(role string, m machine, seeds []machine, bootstrap bool) *process {
	var seedAddresses []string
	for _, seed := range seeds {
		seedAddresses = append(seedAddresses, s.address(seed, portControl))
	}
	dataDir := ""
	if m.hasDisk {
		dataDir = s.dataDir(m)
	}
	values := map[string]string{
		"nodeName": m.name, "zone": m.zone, "region": "region", "ip": m.ip, "portRange.0": fmt.Sprint(s.port),
		"seeds": strings.Join(seedAddresses, ","), "dataDir": dataDir, "bootstrap": fmt.Sprint(bootstrap), "heartbeatMs": fmt.Sprint(beatMs),
		"limits.memoryMb": fmt.Sprint(m.memoryMb), "limits.maxFds": "4100",
		"listenAddresses.front": s.address(m, portFront), "listenAddresses.ready": s.address(m, portReady), "listenAddresses.control": s.address(m, portControl),
		"bounds.graceS": fmt.Sprint(graceS), "bounds.drainMs": fmt.Sprint(drainMs),
		"bounds.retryBudgetRatio": "0.2", "bounds.retryAllowance": "416", "bounds.budgetWindowS": "10",
	}
	template, err := os.ReadFile(filepath.Join(s.root, "deploy", role+".ini"))
	if err != nil {
		cannotRun("no template: %v", err)
	}
	rendered := placeholder.ReplaceAllStringFunc(string(template), func(text string) string {
		value, ok := values[strings.Trim(text, "{}")]
		if !ok {
			cannotRun("the template of %s has the unknown field %s", role, text)
		}
		return value
	})
	settings := filepath.Join(s.folder, m.name+"-"+role+".ini")
	if err := os.WriteFile(settings, []byte(rendered), 0o600); err != nil {
		cannotRun("settings not written: %v", err)
	}
	output, err := os.OpenFile(filepath.Join(s.folder, m.name+"-"+role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("no log: %v", err)
	}
	cmd := exec.Command(s.program(role))
	cmd.Dir = s.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PLANTAINSTAIR_BOOT=" + settings}
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		cannotRun("%s does not start: %v", role, err)
	}
	_ = output.Close()
	p := &process{cmd: cmd, name: role + " on " + m.name, ended: make(chan struct{}), machine: m}
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	s.log.note("start %s (%s), process %d, seeds %v, bootstrap %t", p.name, m.ip, cmd.Process.Pid, seedAddresses, bootstrap)
	return p
}

func (s *system) dataDir(m machine) string { return filepath.Join(s.folder, m.name+"-data") }

// endAll ends all processes and removes the temporary folder.
func (s *system) endAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range s.processes {
		<-p.ended
	}
	s.processes = nil
	if s.folder != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}
