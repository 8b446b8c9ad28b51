package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/plantainstair/plantainstair/pkg/ctl"
	"github.com/plantainstair/plantainstair/pkg/local"
	"github.com/plantainstair/plantainstair/pkg/operators"
)

// commandLine runs plantainctl against a deployment, with its files in dir.
type commandLine struct {
	t   *testing.T
	dir string
}

func newCommandLine(t *testing.T, d *local.Deployment) commandLine {
	t.Helper()
	var addresses []string
	for _, c := range d.Controls {
		addresses = append(addresses, c.AdminAddress)
	}
	c := commandLine{t: t, dir: t.TempDir()}
	c.write("plantainctl.ini", fmt.Sprintf("[control]\nadmin_addresses = %s\ntoken = %s\n", strings.Join(addresses, ", "), local.AdminToken))
	return c
}

func (c commandLine) write(name, text string) string {
	c.t.Helper()
	path := filepath.Join(c.dir, name)
	assert.NilError(c.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// run runs plantainctl and returns its standard output and exit code.
func (c commandLine) run(args ...string) (string, int) {
	c.t.Helper()
	args = append(args, "--config", filepath.Join(c.dir, "plantainctl.ini"))
	cmd := exec.Command(filepath.Join(binaries, "plantainctl"), args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		c.t.Fatalf("run %v: %v", args, err)
	}
	c.t.Logf("plantainctl %v: exit %d %s", args[:len(args)-2], cmd.ProcessState.ExitCode(), stderr.String())
	return stdout.String(), cmd.ProcessState.ExitCode()
}

// Guards against exit codes that do not show a conflict, a rejected change or an
// error in a file, and against changes that are missing from the audit trail.
func TestCommandLine_ExitCodeAndAuditShowOutcome(t *testing.T) {
	d, _ := launch(t, nil)
	c := newCommandLine(t, d)
	file := c.write("new.ini", "[organisation acme]\nowner = team@acme\nclass = standard\nkey_sha256 = "+strings.Repeat("ab", 32)+"\n")

	out, code := c.run("diff", "--file", file)
	assert.Equal(t, code, ctl.ExitOK)
	assert.Assert(t, strings.Contains(out, "add organisation/acme"), out)

	out, code = c.run("apply", "--file", file, "--base", "1", "--wait", "--comment", "first")
	assert.Equal(t, code, ctl.ExitOK)
	assert.Assert(t, strings.Contains(out, "accepted as revision 2") && strings.Contains(out, "in force on 8 watchers"), out)

	other := c.write("other.ini", "[organisation acme]\nowner = others\n")
	_, code = c.run("apply", "--file", other, "--base", "1")
	assert.Equal(t, code, ctl.ExitConflict)
	_, code = c.run("apply", "--file", c.write("bad.ini", "[organisation acme]\ncolour = red\n"))
	assert.Equal(t, code, ctl.ExitInvalid)
	_, code = c.run("apply", "--remove", "acme")
	assert.Equal(t, code, ctl.ExitInvalid)

	out, code = c.run("get", "organisation", "acme")
	assert.Equal(t, code, ctl.ExitOK)
	assert.Assert(t, strings.Contains(out, "owner = team@acme"), out)
	_, code = c.run("get", "organisation", "nobody")
	assert.Equal(t, code, ctl.ExitInvalid)

	out, code = c.run("audit", "--json")
	assert.Equal(t, code, ctl.ExitOK)
	var audit operators.AuditReply
	assert.NilError(t, json.Unmarshal([]byte(out), &audit))
	accepted, refused := 0, 0
	for _, r := range operators.UnwrapMessages(audit.Records) {
		if r.Accepted {
			accepted++
		} else {
			refused++
		}
	}
	assert.Equal(t, accepted, 2)
	assert.Equal(t, refused, 1)

	out, code = c.run("history")
	assert.Equal(t, code, ctl.ExitOK)
	assert.Assert(t, strings.Contains(out, "organisation/acme"), out)
	out, code = c.run("status")
	assert.Equal(t, code, ctl.ExitOK)
	assert.Assert(t, strings.Contains(out, "cartridge@v1[0-1]"), out)
	out, code = c.run("voters", "list")
	assert.Equal(t, code, ctl.ExitOK)
	for _, r := range d.Controls {
		assert.Equal(t, strings.Count(out, r.PeerAddress+" "), 1, out)
		assert.Equal(t, strings.Count(out, r.AdminAddress+" "), 1, out)
	}
	_, code = c.run("snapshot")
	assert.Equal(t, code, ctl.ExitOK)
	_, code = c.run("drain", "host1")
	assert.Equal(t, code, ctl.ExitOK)
	_, code = c.run("drain", "nowhere")
	assert.Equal(t, code, ctl.ExitInvalid)
	_, code = c.run("order", "nowhere", "load_model", "--model", "m", "--version", "v2")
	assert.Equal(t, code, ctl.ExitInvalid)
	_, code = c.run("order", "host1", "resume")
	assert.Equal(t, code, ctl.ExitOK)
	_, code = c.run("check-config", "entry", filepath.Join(d.Dir, "entry1.ini"))
	assert.Equal(t, code, ctl.ExitOK)
	_, code = c.run("check-config", "entry", file)
	assert.Equal(t, code, ctl.ExitInvalid)
	_, code = c.run("unknown")
	assert.Equal(t, code, ctl.ExitUsage)

	for _, r := range d.Controls {
		r.Kill()
	}
	_, code = c.run("apply", "--file", file)
	assert.Equal(t, code, ctl.ExitUnavailable)
}
