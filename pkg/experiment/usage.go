package experiment

import (
	"bytes"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/plantainstair/plantainstair/pkg/local"
)

// clockTick is the unit of the CPU times in /proc (USER_HZ on Linux).
const clockTick = 10 * time.Millisecond

// Usage is the resource usage of a group of processes.
type Usage struct {
	Processes     int
	CPU           time.Duration
	ResidentBytes int64 // sum over all processes
}

// processGroup returns the role of a process, which is its group.
func processGroup(name string) string {
	for _, role := range []string{"entry", "control", "agent", "engine", "service"} {
		if strings.Contains(name, role) {
			return role
		}
	}
	return name
}

// usageByGroup returns the resource usage of each process group and, under the name
// "self", of this process.
func usageByGroup(d *local.Deployment) map[string]Usage {
	out := make(map[string]Usage)
	for _, p := range d.Processes() {
		out[processGroup(p.Name)] = out[processGroup(p.Name)].plus(processUsage(p.PID()))
	}
	out["self"] = processUsage(os.Getpid())
	return out
}

func (u Usage) plus(o Usage) Usage {
	return Usage{Processes: u.Processes + o.Processes, CPU: u.CPU + o.CPU, ResidentBytes: u.ResidentBytes + o.ResidentBytes}
}

// since returns u with the CPU time that was used since earlier.
func (u Usage) since(earlier Usage) Usage {
	u.CPU = max(0, u.CPU-earlier.CPU) // negative if a process has exited, whose CPU time is no longer included
	return u
}

// Indexes of fields in /proc/<pid>/stat after the command name.
const (
	statUser          = 11
	statSystem        = 12
	statResidentPages = 21
)

// processUsage returns the resource usage of a process, or a zero value if the
// process has exited.
func processUsage(pid int) Usage {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return Usage{}
	}
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	if len(fields) <= statResidentPages {
		return Usage{}
	}
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(fields[i], 10, 64)
		return n
	}
	return Usage{
		Processes:     1,
		CPU:           time.Duration(number(statUser)+number(statSystem)) * clockTick,
		ResidentBytes: number(statResidentPages) * int64(os.Getpagesize()),
	}
}

// machineCPUTime returns the CPU time used by all processes of the machine.
func machineCPUTime() time.Duration {
	data, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0
	}
	line, _, _ := strings.Cut(string(data), "\n")
	busy := int64(0)
	for i, field := range strings.Fields(line) {
		// The fields are user, nice, system, idle, iowait, irq and softirq; idle and
		// iowait are excluded.
		if i >= 1 && i <= 3 || i == 6 || i == 7 {
			n, _ := strconv.ParseInt(field, 10, 64)
			busy += n
		}
	}
	return time.Duration(busy) * clockTick
}
