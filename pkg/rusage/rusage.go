// Package rusage tells what this process uses, for benchmarks.
package rusage

import (
	"runtime"
	"syscall"
	"time"
)

// CPUTime returns the processor time that the process has used.
func CPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// LiveMemory returns the bytes of live heap and stacks after a collection.
func LiveMemory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
