package experiment

import (
	"bytes"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/plantainstair/plantainstair/pkg/local"
)

// clockTick is the unit of the CPU times in /proc on Linux.
const clockTick = 10 * time.Millisecond

// Usage is what a group of processes has used.
type Usage struct {
	Processes     int
	CPU           time.Duration
	ResidentBytes int64 // bytes, all processes together
}

// groupOf names the group of a process: its role, without its number.
func groupOf(name string) string {
	for _, role := range []string{"entry", "control", "agent", "engine", "service"} {
		if strings.Contains(name, role) {
			return role
		}
	}
	return name
}

// usage returns the use of each group and, under the name self, of this
// process.
func usage(d *local.Deployment) map[string]Usage {
	out := make(map[string]Usage)
	for _, p := range d.Processes() {
		out[groupOf(p.Name)] = out[groupOf(p.Name)].plus(processUsage(p.PID()))
	}
	out["self"] = processUsage(os.Getpid())
	return out
}

func (u Usage) plus(o Usage) Usage {
	return Usage{Processes: u.Processes + o.Processes, CPU: u.CPU + o.CPU, ResidentBytes: u.ResidentBytes + o.ResidentBytes}
}

// since returns the CPU time used after earlier.
func (u Usage) since(earlier Usage) Usage {
	u.CPU = max(0, u.CPU-earlier.CPU) // a process that ended no longer counts
	return u
}

// Positions in /proc/<pid>/stat, counted after the name of the command.
const (
	statUser   = 11
	statSystem = 12
	statPages  = 21
)

// processUsage reads the use of a process; one that has ended uses nothing.
func processUsage(pid int) Usage {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return Usage{}
	}
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	if len(fields) <= statPages {
		return Usage{}
	}
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(fields[i], 10, 64)
		return n
	}
	return Usage{
		Processes:     1,
		CPU:           time.Duration(number(statUser)+number(statSystem)) * clockTick,
		ResidentBytes: number(statPages) * int64(os.Getpagesize()),
	}
}

// machineBusy is the CPU time that all processes of the machine have used.
func machineBusy() time.Duration {
	data, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0
	}
	line, _, _ := strings.Cut(string(data), "\n")
	busy := int64(0)
	for i, field := range strings.Fields(line) {
		// user, nice, system, then idle and waiting for I/O, then interrupts
		if i >= 1 && i <= 3 || i == 6 || i == 7 {
			n, _ := strconv.ParseInt(field, 10, 64)
			busy += n
		}
	}
	return time.Duration(busy) * clockTick
}
