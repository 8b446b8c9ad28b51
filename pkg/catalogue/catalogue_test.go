package catalogue

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

const sampleFile = `
[organisation titiwangsa]
owner = chat team
class = urgent
key_sha256 = ab12, cd34
weight = 2
tokens_per_second = 5000

[model cartridge]
layers = 4
version = v1
adapters = taps

[service orders]
repeatable_methods = GET
timeout = 2s

[policy default]
urgent_percent = 50
`

// Guards against entries that change when they are formatted and parsed again.
func TestFormat_OutputParsesToSameEntries(t *testing.T) {
	entries, err := Parse("a.ini", []byte(sampleFile))
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 4)
	assert.DeepEqual(t, entries[0].Organisation.KeySha256, []string{"ab12", "cd34"})
	assert.Equal(t, entries[2].Service.TimeoutMs, uint32(2000))
	reparsed, err := Parse("b.ini", []byte(Format(entries)))
	assert.NilError(t, err)
	for i := range entries {
		assert.Assert(t, proto.Equal(entries[i], reparsed[i]), "%v\n%v", entries[i], reparsed[i])
	}
}

// Guards against an invalid file that is accepted in part, and against problems
// that are not reported.
func TestParse_InvalidFileReportsEveryProblem(t *testing.T) {
	_, err := Parse("a.ini", []byte("[model m]\nversion=1\ncolour=red\n[organisation]\n[model m]\nversion=2\n"))
	assert.Error(t, err, `a.ini: 5 faults in settings
  [model m] layers: is required
  [model m] version: is set 2 times
  [model m] colour: is not a known setting
  [organisation] : is not a known kind of section
  [model m] : occurs more than once`)
}

// Guards against a panic while parsing or formatting malformed files.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sampleFile))
	f.Fuzz(func(t *testing.T, data []byte) {
		entries, err := Parse("fuzz", data)
		if err != nil {
			return
		}
		_ = Format(entries)
	})
}
