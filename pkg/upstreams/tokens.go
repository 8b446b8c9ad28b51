package upstreams

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockTokens is the number of tokens in one block of the prefix cache.
const PrefixBlockTokens = 16

// Tokenize returns one token ID for each whitespace-separated word of text: the
// lower 32 bits of the xxHash64 of the word.
func Tokenize(text string) []uint32 {
	words := strings.Fields(text)
	tokens := make([]uint32, len(words))
	for i, word := range words {
		tokens[i] = uint32(xxhash.Sum64String(word))
	}
	return tokens
}

// Detokenize returns a placeholder text for a token ID, for example "t1234 ".
func Detokenize(id uint32) string {
	return "t" + strconv.FormatUint(uint64(id), 10) + " "
}

// PrefixHashes returns the chained hash of each prefix of tokens whose length is
// a multiple of PrefixBlockTokens, shortest first. The hash includes the model,
// version and adapter, because they do not share KV state.
func PrefixHashes(model, version, adapter string, tokens []uint32) []uint64 {
	blocks := len(tokens) / PrefixBlockTokens
	if blocks == 0 {
		return nil
	}
	hashes := make([]uint64, blocks)
	hash := xxhash.Sum64String(model + "\x00" + version + "\x00" + adapter)
	var buf [8 + 4*PrefixBlockTokens]byte
	for b := range blocks {
		binary.LittleEndian.PutUint64(buf[:], hash)
		for i, token := range tokens[b*PrefixBlockTokens : (b+1)*PrefixBlockTokens] {
			binary.LittleEndian.PutUint32(buf[8+4*i:], token)
		}
		hash = xxhash.Sum64(buf[:])
		hashes[b] = hash
	}
	return hashes
}
