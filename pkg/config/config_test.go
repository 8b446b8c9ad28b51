package config

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

type sampleSettings struct {
	Process
	Address string        `ini:"listen.address" required:"true" format:"address"`
	Grace   time.Duration `ini:"listen.grace" default:"4s" min:"1s" max:"1m"`
	Slots   int           `ini:"queue.slots" default:"8" min:"1" max:"100"`
	Peers   []string      `ini:"queue.peers" format:"address"`
}

// Guards against invalid or unknown settings that are silently ignored or
// replaced by defaults.
func TestParse_InvalidFileReportsEveryProblem(t *testing.T) {
	var s sampleSettings
	err := Parse("x.ini", []byte(`
[process]
host = h1
[listen]
address = localhost:1
grace = 5m
colour = red
[queue]
slots = many
slots = 2
peers = 127.0.0.1:1, nowhere
`), &s)
	var e *Error
	assert.Assert(t, errors.As(err, &e))
	var got []string
	for _, problem := range e.Problems {
		got = append(got, problem.String())
	}
	assert.DeepEqual(t, got, []string{
		`[listen] address: "localhost:1" is not an IP address and port`,
		`[listen] colour: is not a known setting`,
		`[listen] grace: 5m is above the maximum of 1m`,
		`[process] data_centre: is required`,
		`[queue] peers: "nowhere" is not an IP address and port`,
		`[queue] slots: is set 2 times`,
	})
}

// Guards against missing keys that are left at zero instead of their defaults.
func TestParse_MissingKeysGetDefaults(t *testing.T) {
	var s sampleSettings
	err := Parse("x.ini", []byte("[process]\nhost=h\ndata_centre=d\n[listen]\naddress=127.0.0.1:80\n"), &s)
	assert.NilError(t, err)
	assert.Equal(t, s.Grace, 4*time.Second)
	assert.Equal(t, s.Slots, 8)
	assert.Equal(t, s.Host, "h")
}

// Guards against a panic or a hang on malformed files.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[listen]\naddress=1\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s sampleSettings
		_ = Parse("fuzz", data, &s)
	})
}
