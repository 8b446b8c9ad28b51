package agent

import (
	"os"
	"path/filepath"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// A limit must lower GOMAXPROCS but never raise it above what the host or the
// environment allows, and 0 must leave it unchanged.
func TestLimitThreads_OnlyLowersGOMAXPROCS(t *testing.T) {
	before := runtime.GOMAXPROCS(4)
	defer runtime.GOMAXPROCS(before)
	for _, c := range []struct{ set, want int }{{0, 4}, {8, 4}, {4, 4}, {2, 2}, {3, 2}, {1, 1}} {
		limitThreads(c.set)
		assert.Equal(t, runtime.GOMAXPROCS(0), c.want)
	}
}

// The number of threads must be limited by default, without a setting by the
// operator.
func TestLoadSettings_ThreadsDefaultToOne(t *testing.T) {
	const text = "[process]\nhost = h\ndata_centre = d\n[agent]\nlisten = 127.0.0.1:1\nupstream_listen = 127.0.0.1:2\n" +
		"[platform]\nlisten = 127.0.0.1:3\n[control]\naddresses = 127.0.0.1:4\n"
	path := filepath.Join(t.TempDir(), "agent.ini")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	s, err := LoadSettings(path)
	assert.NilError(t, err)
	assert.Equal(t, s.MaxThreads, 1)
}
