package route

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a chain that misses or repeats a layer.
func TestChainOfTwoStages(t *testing.T) {
	tab := NewTable()
	tab.Update(&Upstream{Host: "a", Models: []Held{{Model: "m", FirstLayer: 0, LastLayer: 3}}})
	tab.Update(&Upstream{Host: "b", Models: []Held{{Model: "m", FirstLayer: 4, LastLayer: 7}}})
	chain, err := tab.Chain(Need{Model: "m", Layers: 8}, rand.New(rand.NewPCG(1, 1)))
	assert.NilError(t, err)
	assert.Equal(t, len(chain), 2)
	assert.Equal(t, chain[0].Host, "a")
	assert.Equal(t, chain[1].FirstLayer, 4)
}
