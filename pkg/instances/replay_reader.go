package instances

import "io"

// replayReader returns the bytes of pending before those of source.
type replayReader struct {
	source  io.Reader
	pending []byte
}

// Read implements io.Reader.
func (r *replayReader) Read(b []byte) (int, error) {
	if len(r.pending) == 0 {
		return r.source.Read(b)
	}
	n := copy(b, r.pending)
	r.pending = r.pending[n:]
	return n, nil
}
