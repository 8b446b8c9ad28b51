package config

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

type sample struct {
	Process
	Address string        `ini:"listen.address" required:"true" format:"address"`
	Grace   time.Duration `ini:"listen.grace" default:"4s" min:"1s" max:"1m"`
	Slots   int           `ini:"queue.slots" default:"8" min:"1" max:"100"`
	Peers   []string      `ini:"queue.peers" format:"address"`
}

// Guards against a start with silently ignored or defaulted settings.
func TestParse_InvalidFileReportsEveryProblem(t *testing.T) {
	var s sample
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
	for _, f := range e.Problems {
		got = append(got, f.String())
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

// Guards against defaults that are not applied.
func TestParse_MissingKeysGetDefaults(t *testing.T) {
	var s sample
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
		var s sample
		_ = Parse("fuzz", data, &s)
	})
}
