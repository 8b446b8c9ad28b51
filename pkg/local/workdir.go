package local

import (
	"os"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// WorkDir returns dir, or a new temporary directory named after program if dir is
// empty. The returned function removes a temporary directory.
func WorkDir(dir, program string) (path string, remove func(), err error) {
	if dir != "" {
		return dir, func() {}, nil
	}
	path, err = os.MkdirTemp("", program+"-")
	if err != nil {
		return "", nil, fault.Wrap(err, fault.Internal, "create a temporary directory")
	}
	return path, func() { _ = os.RemoveAll(path) }, nil
}
