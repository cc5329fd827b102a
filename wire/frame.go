package wire

import (
	"bufio"
	"io"
	"net/http"

	"google.golang.org/protobuf/encoding/protodelim"
)

// DispatchPath is where a guard takes attempts.
const DispatchPath = "/dispatch"

// DispatchType is the content type of a series of frames.
const DispatchType = "application/x-protobuf-delimited"

// maxFrameBytes bounds the bytes of one frame.
const maxFrameBytes = 64 << 20

// FrameWriter writes frames to an answer, each at once.
type FrameWriter struct {
	out     http.ResponseWriter
	control *http.ResponseController
}

// NewFrameWriter starts an answer.
func NewFrameWriter(out http.ResponseWriter) *FrameWriter {
	out.Header().Set("Content-Type", DispatchType)
	return &FrameWriter{out: out, control: http.NewResponseController(out)}
}

// Send writes one frame. Only a frame that others follow is flushed here; the
// last one goes out with the end of the answer.
func (fw *FrameWriter) Send(frame *DispatchFrame) error {
	if _, err := protodelim.MarshalTo(fw.out, frame); err != nil {
		return err
	}
	if frame.isFinal() {
		return nil
	}
	return fw.control.Flush()
}

func (x *DispatchFrame) isFinal() bool {
	switch x.Frame.(type) {
	case *DispatchFrame_End, *DispatchFrame_Whole, *DispatchFrame_Refusal:
		return true
	default:
		return false
	}
}

// FrameReader reads frames from an answer.
type FrameReader struct {
	in *bufio.Reader
}

// NewFrameReader reads from the body of an answer.
func NewFrameReader(body io.Reader) *FrameReader { return &FrameReader{in: bufio.NewReader(body)} }

// Next reads one frame. It returns io.EOF after the last one and
// io.ErrUnexpectedEOF in the middle of one.
func (fr *FrameReader) Next() (*DispatchFrame, error) {
	frame := &DispatchFrame{}
	err := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}.UnmarshalFrom(fr.in, frame)
	return frame, err
}

// Headers takes over the headers of a request or answer but for those to skip.
func Headers(he http.Header, skip map[string]bool) []*Header {
	var out []*Header
	for na, values := range he {
		if skip[na] {
			continue
		}
		for _, va := range values {
			out = append(out, &Header{Name: na, Value: va})
		}
	}
	return out
}
