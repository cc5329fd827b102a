package wire

import (
	"bufio"
	"io"
	"net/http"

	"google.golang.org/protobuf/encoding/protodelim"
)

// DispatchPath is the URL path on which a guard accepts attempts.
const DispatchPath = "/dispatch"

// DispatchType is the content type of a stream of frames.
const DispatchType = "application/x-protobuf-delimited"

const (
	// maxFrameBytes is the maximum size of one frame, which holds at most a stored answer.
	maxFrameBytes = 16 << 20
	// MaxMessageBytes is the maximum size of a message between entries and guards. The
	// largest is a job that is handed over with its body.
	MaxMessageBytes = 64 << 20
	// MaxHeadBytes is the maximum size of the head of a response between them.
	MaxHeadBytes = 64 << 10
)

// FrameWriter writes frames to an HTTP response.
type FrameWriter struct {
	out     http.ResponseWriter
	control *http.ResponseController
}

// NewFrameWriter sets the content type of a response and returns a writer for it.
func NewFrameWriter(out http.ResponseWriter) *FrameWriter {
	out.Header().Set("Content-Type", DispatchType)
	return &FrameWriter{out: out, control: http.NewResponseController(out)}
}

// Send writes one frame and flushes it, so that the receiver gets it at once. The final
// frame is not flushed: it is sent when the response ends.
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

// FrameReader reads frames from an HTTP response.
type FrameReader struct {
	in *bufio.Reader
}

// NewFrameReader returns a reader of the body of a response.
func NewFrameReader(body io.Reader) *FrameReader { return &FrameReader{in: bufio.NewReader(body)} }

// Next reads one frame. It returns io.EOF after the last frame and io.ErrUnexpectedEOF if
// the body ends within a frame.
func (fr *FrameReader) Next() (*DispatchFrame, error) {
	frame := &DispatchFrame{}
	err := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}.UnmarshalFrom(fr.in, frame)
	return frame, err
}

// Headers converts the headers of a request or response, except those to skip.
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
