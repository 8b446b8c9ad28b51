// Package standin implements the stand-ins that tests use in place of engines and
// services: an engine that runs a hash-chain model, and a service, an upstream
// without a model, that records its executions. Tests inject faults over HTTP.
package standin

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// VocabularySize is the number of distinct tokens that the model generates.
const VocabularySize = 1 << 15

// hiddenBytes is the size of one activation in bytes.
const hiddenBytes = 8

// seedFactor spreads the seed over all bits. It is odd, so that different
// seeds stay different.
const seedFactor = 0x9E3779B97F4A7C15

// runLayer returns the hidden state of a layer at one position. It depends on the
// input, which is the hidden state of the previous layer or a token, and on the
// layer's KV state, which is its hidden state at the previous position.
func runLayer(layer uint32, input, kv uint64) uint64 {
	var buf [20]byte
	binary.LittleEndian.PutUint32(buf[0:], layer)
	binary.LittleEndian.PutUint64(buf[4:], input)
	binary.LittleEndian.PutUint64(buf[12:], kv)
	return xxhash.Sum64(buf[:])
}

// runLayers runs the layers from first on at one position and returns the hidden
// state of the last one. It updates kv, the KV state of each layer.
func runLayers(first uint32, kv []uint64, input uint64) uint64 {
	for i := range kv {
		input = runLayer(first+uint32(i), input, kv[i])
		kv[i] = input
	}
	return input
}

// sample maps the hidden state of the last layer to a token.
func sample(hidden, seed uint64) uint32 {
	return uint32((hidden + seed*seedFactor) % VocabularySize)
}

// ReferenceTokens returns n tokens generated with all layers in one loop. Every
// chain of stages must produce the same tokens.
func ReferenceTokens(prompt []uint32, layers int, seed uint64, n int) []uint32 {
	kv := make([]uint64, layers)
	out := make([]uint32, 0, n)
	hidden := uint64(0)
	for _, token := range prompt {
		hidden = runLayers(0, kv, uint64(token))
	}
	for len(out) < n {
		token := sample(hidden, seed)
		out = append(out, token)
		hidden = runLayers(0, kv, uint64(token))
	}
	return out
}
