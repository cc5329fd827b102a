package limit

import (
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge is returned by Read for content that exceeds its limit.
var ErrTooLarge = errors.New("larger than the limit")

// initialChunk is the size of the first chunk of content of unknown length, in bytes. Most
// contents are smaller; others take chunks that double the total.
const initialChunk = 8 << 10

// Read reads rd to its end. It returns ErrTooLarge as soon as the content exceeds most
// bytes, so that a sender that never stops costs bounded memory. length is the announced
// size in bytes, negative if there is none. Before each chunk, reserve is called with
// its size in bytes, and its error ends the read; it may be nil.
func Read(rd io.Reader, length, most int64, reserve func(more int64) error) ([]byte, error) {
	if length > most {
		return nil, ErrTooLarge
	}
	if length == 0 {
		return nil, nil
	}
	more := min(initialChunk, most+1)
	if length > 0 {
		more = length + 1 // reads the end of the content without another chunk
	}
	var (
		chunks [][]byte
		total  int64
	)
	for {
		if reserve != nil {
			if err := reserve(more); err != nil {
				return nil, err
			}
		}
		chunk, err := readChunk(rd, more)
		chunks, total = append(chunks, chunk), total+int64(len(chunk))
		switch {
		case total > most:
			return nil, ErrTooLarge
		case err == io.EOF:
			return join(chunks, total, reserve)
		case err != nil:
			return nil, err
		}
		more = min(total, most+1-total)
	}
}

// readChunk reads until the chunk is full or the content ends, then with io.EOF.
func readChunk(rd io.Reader, size int64) ([]byte, error) {
	chunk := make([]byte, 0, size)
	for len(chunk) < cap(chunk) {
		count, err := rd.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+count]
		if err != nil {
			return chunk, err
		}
	}
	return chunk, nil
}

// join returns the content of the chunks, which takes as much memory again unless there is
// only one.
func join(chunks [][]byte, total int64, reserve func(more int64) error) ([]byte, error) {
	if len(chunks) == 1 {
		return chunks[0], nil
	}
	if reserve != nil {
		if err := reserve(total); err != nil {
			return nil, err
		}
	}
	return slices.Concat(chunks...), nil
}

// ReadAll reads rd to its end. It returns ErrTooLarge as soon as the content exceeds most
// bytes.
func ReadAll(rd io.Reader, most int64) ([]byte, error) { return Read(rd, -1, most, nil) }
