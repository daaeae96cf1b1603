package memory

import (
	"context"
	"io"

	"github.com/go-faster/errors"
)

// Errors of the functions that read.
var (
	ErrTooLarge = errors.New("over the limit")
	ErrNoRoom   = errors.New("no room in memory")
)

// firstStep is the first buffer for data of unknown length.
const firstStep = 16 << 10

// maxSized is the largest size that is allocated because the sender announced it.
const maxSized = 32 << 20

// ReadRequest reads a request's body of a known size, which the hold includes, or of unknown
// size, -1, of at most limit bytes; 0 for no limit.
func (h *Hold) ReadRequest(r io.Reader, size, limit int64) ([]byte, error) {
	if size >= 0 && size <= maxSized {
		return readSized(r, size)
	}
	return h.readSteps(r, limit, func(bytes int64) error {
		if !h.TryGrow(bytes) {
			return ErrNoRoom
		}
		return nil
	})
}

// ReadResponse reads a response's body of a known size, or of unknown size, -1, of at most limit
// bytes. It waits for room until ctx ends.
func (h *Hold) ReadResponse(ctx context.Context, r io.Reader, size, limit int64) ([]byte, error) {
	if size > limit {
		return nil, ErrTooLarge
	}
	grow := func(bytes int64) error { return h.Grow(ctx, bytes) }
	if size < 0 {
		return h.readSteps(r, limit, grow)
	}
	if err := grow(size); err != nil {
		return nil, err
	}
	data, err := readSized(r, size)
	if err != nil {
		h.Shrink(size)
	}
	return data, err
}

func readSized(r io.Reader, size int64) ([]byte, error) {
	data := make([]byte, size)
	n, err := io.ReadFull(r, data)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return data[:n], err
}

// readSteps reads to the end into a buffer that grows by half. Both buffers are held while one
// is copied into the other.
func (h *Hold) readSteps(r io.Reader, limit int64, grow func(bytes int64) error) (data []byte, err error) {
	defer func() {
		if err != nil {
			h.Shrink(int64(cap(data)))
			data = nil
		}
	}()
	for {
		if len(data) == cap(data) {
			size := max(firstStep, int64(cap(data))*3/2)
			if limit > 0 {
				size = min(size, limit+1) // one more, to notice the excess
			}
			if err := grow(size); err != nil {
				return data, err
			}
			larger := make([]byte, len(data), size)
			copy(larger, data)
			h.Shrink(int64(cap(data)))
			data = larger
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case limit > 0 && int64(len(data)) > limit:
			return data, ErrTooLarge
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return data, err
		}
	}
}
