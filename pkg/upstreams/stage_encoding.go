package upstreams

import (
	"encoding/base64"
	"strconv"
)

// appendStep encodes a step as one NDJSON line. It avoids reflection because
// every stage receives one step for each generated token.
func appendStep(buf []byte, s *StageStep) ([]byte, error) {
	buf = append(buf, `{"epoch":`...)
	buf = strconv.AppendUint(buf, s.Epoch, 10)
	buf = append(buf, `,"position":`...)
	buf = strconv.AppendUint(buf, uint64(s.Position), 10)
	if len(s.Tokens) > 0 {
		buf = append(buf, `,"tokens":[`...)
		buf = appendTokens(buf, s.Tokens)
		buf = append(buf, ']')
	}
	if len(s.Hidden) > 0 {
		buf = append(buf, `,"hidden":[`...)
		buf = appendHidden(buf, s.Hidden)
		buf = append(buf, ']')
	}
	return append(buf, '}', '\n'), nil
}

func appendTokens(buf []byte, tokens []uint32) []byte {
	for i, token := range tokens {
		if i > 0 {
			buf = append(buf, ',')
		}
		buf = strconv.AppendUint(buf, uint64(token), 10)
	}
	return buf
}

func appendHidden(buf []byte, hidden [][]byte) []byte {
	for i, h := range hidden {
		if i > 0 {
			buf = append(buf, ',')
		}
		buf = append(buf, '"')
		buf = base64.StdEncoding.AppendEncode(buf, h)
		buf = append(buf, '"')
	}
	return buf
}
