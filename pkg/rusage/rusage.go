// Package rusage measures the CPU time and memory of this process, for
// benchmarks.
package rusage

import (
	"runtime"
	"syscall"
	"time"
)

// CPUTime returns the user and system CPU time that the process has used, or
// zero if it cannot be read.
func CPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// LiveMemory returns the bytes of live heap and of stacks. It runs the garbage
// collector twice first, because objects in a sync.Pool survive one collection.
func LiveMemory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
