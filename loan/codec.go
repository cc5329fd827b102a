package loan

import (
	"bytes"
	"compress/gzip"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bilberryshelf/limit"
)

// maxBookBytes limits the size of a decompressed book.
const maxBookBytes = 64 << 20

// Encode encodes a book for the object store and the wire, as CBOR compressed with
// gzip.
func (bo Book) Encode() ([]byte, error) {
	raw, err := encode(bo)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	if _, err := zw.Write(raw); err != nil {
		return nil, errors.Wrap(err, "compress the book")
	}
	if err := zw.Close(); err != nil {
		return nil, errors.Wrap(err, "compress the book")
	}
	return buf.Bytes(), nil
}

// DecodeBook decodes a book encoded by Book.Encode.
func DecodeBook(raw []byte) (Book, error) {
	var bo Book
	zr, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		return bo, errors.Wrap(err, "decompress the book")
	}
	plain, err := limit.ReadAll(zr, maxBookBytes)
	if err != nil {
		return bo, errors.Wrap(err, "decompress the book")
	}
	if err := cbor.Unmarshal(plain, &bo); err != nil {
		return bo, errors.Wrap(err, "decode the book")
	}
	return bo, nil
}

// Encode encodes a slice for the wire, as CBOR.
func (sl Slice) Encode() ([]byte, error) { return encode(sl) }

// DecodeSlice decodes a slice encoded by Slice.Encode.
func DecodeSlice(raw []byte) (Slice, error) {
	var sl Slice
	if err := cbor.Unmarshal(raw, &sl); err != nil {
		return sl, errors.Wrap(err, "decode the slice")
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
