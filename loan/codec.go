package loan

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// maxBookBytes bounds the bytes of an unpacked book.
const maxBookBytes = 64 << 20

// Encode packs a book for the object store and the wire: CBOR under gzip.
func (bo Book) Encode() ([]byte, error) {
	raw, err := encode(bo)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	if _, err := zw.Write(raw); err != nil {
		return nil, errors.Wrap(err, "pack the book")
	}
	if err := zw.Close(); err != nil {
		return nil, errors.Wrap(err, "pack the book")
	}
	return buf.Bytes(), nil
}

// DecodeBook unpacks what Encode made.
func DecodeBook(raw []byte) (Book, error) {
	var bo Book
	zr, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		return bo, errors.Wrap(err, "unpack the book")
	}
	plain, err := io.ReadAll(io.LimitReader(zr, maxBookBytes))
	if err != nil {
		return bo, errors.Wrap(err, "unpack the book")
	}
	if err := cbor.Unmarshal(plain, &bo); err != nil {
		return bo, errors.Wrap(err, "unpack the book")
	}
	return bo, nil
}

// Encode packs a slice for the wire.
func (sl Slice) Encode() ([]byte, error) { return encode(sl) }

// DecodeSlice unpacks what Encode made.
func DecodeSlice(raw []byte) (Slice, error) {
	var sl Slice
	if err := cbor.Unmarshal(raw, &sl); err != nil {
		return sl, errors.Wrap(err, "unpack the slice")
	}
	return sl, nil
}

func encode(value any) ([]byte, error) {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		return nil, err
	}
	raw, err := mode.Marshal(value)
	return raw, errors.Wrap(err, "encode")
}
