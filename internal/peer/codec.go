package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"

	"github.com/oleanderbend/oleanderbend/internal/hlc"
)

// frame is the header that precedes the body of each request and response.
type frame struct {
	ServiceMethod string
	Seq           uint64
	Error         string
	At            hlc.Timestamp
}

// stream reads and writes frames and bodies in gob encoding.
type stream struct {
	conn  io.ReadWriteCloser
	clock *hlc.Clock
	out   *bufio.Writer
	enc   *gob.Encoder
	dec   *gob.Decoder
}

func newStream(conn io.ReadWriteCloser, clock *hlc.Clock) *stream {
	out := bufio.NewWriter(conn)
	return &stream{conn: conn, clock: clock, out: out, enc: gob.NewEncoder(out), dec: gob.NewDecoder(conn)}
}

// write sends a frame, with the current timestamp, and its body.
func (s *stream) write(f frame, body any) error {
	f.At = s.clock.Now()
	if err := s.enc.Encode(f); err != nil {
		return err
	}
	if err := s.enc.Encode(body); err != nil {
		return err
	}
	return s.out.Flush()
}

// readFrame receives a frame and advances the clock past its timestamp.
func (s *stream) readFrame() (frame, error) {
	var f frame
	if err := s.dec.Decode(&f); err != nil {
		return frame{}, err
	}
	s.clock.Observe(f.At)
	return f, nil
}

// readBody decodes the next body into body, or discards it if body is nil.
func (s *stream) readBody(body any) error { return s.dec.Decode(body) }

func (s *stream) close() error { return s.conn.Close() }

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *stream }

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(frame{ServiceMethod: r.ServiceMethod, Seq: r.Seq}, body)
}

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	f, err := c.readFrame()
	if err != nil {
		return err
	}
	r.ServiceMethod, r.Seq, r.Error = f.ServiceMethod, f.Seq, f.Error
	return nil
}

func (c clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

func (c clientCodec) Close() error { return c.close() }

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ *stream }

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	f, err := c.readFrame()
	if err != nil {
		return err
	}
	r.ServiceMethod, r.Seq = f.ServiceMethod, f.Seq
	return nil
}

func (c serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse closes the connection after a failed write, because the state of the encoder is
// then unknown and the peer could not decode later responses.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	err := c.write(frame{ServiceMethod: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, body)
	if err != nil {
		_ = c.close()
	}
	return err
}

func (c serverCodec) Close() error { return c.close() }
