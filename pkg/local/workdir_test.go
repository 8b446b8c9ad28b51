package local

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a temporary directory that is not removed, and against the removal
// of a directory that the user chose.
func TestWorkDir_RemovesOnlyTemporaryDirectories(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	named := t.TempDir()
	path, remove, err := WorkDir(named, "program")
	assert.NilError(t, err)
	assert.Equal(t, path, named)
	remove()
	_, err = os.Stat(named)
	assert.NilError(t, err)

	path, remove, err = WorkDir("", "program")
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(filepath.Join(path, "log"), nil, 0o600))
	remove()
	_, err = os.Stat(path)
	assert.Assert(t, os.IsNotExist(err), "%v", err)

	t.Setenv("TMPDIR", filepath.Join(named, "absent"))
	_, _, err = WorkDir("", "program")
	assert.ErrorContains(t, err, "create a temporary directory")
}
