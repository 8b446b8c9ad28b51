package instances

import (
	"io"

	"github.com/plantainstair/plantainstair/pkg/fault"
)

// headLimiter limits the bytes that are read from source while the head of a response is
// expected. Bytes of the body that are read together with the head count as well.
type headLimiter struct {
	source io.Reader
	inHead bool
	left   int // bytes that may still be read within the head
}

func (l *headLimiter) beginHead(limit int) { l.inHead, l.left = true, limit }

func (l *headLimiter) endHead() { l.inHead = false }

// Read implements io.Reader.
func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.inHead {
		return l.source.Read(b)
	}
	if l.left <= 0 {
		return 0, fault.New(fault.Protocol, "head of the response is too long")
	}
	n, err := l.source.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}
