package relay

import (
	"bufio"
	"container/list"
	"encoding/gob"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/clients"
)

// Limits of the relay's server. Other programs may connect to it.
const (
	// defaultMaxConns is the maximum number of connections if the settings give none.
	defaultMaxConns = 512
	// callTimeout is the time for the first call on a new connection, and for each call from its first byte on.
	callTimeout = 5 * time.Second
	// responseTimeout limits one write of a response.
	responseTimeout = 5 * time.Second
	// maxMessageBytes is the maximum size of a gob message. The largest has the record of a job, which is at most
	// six times as large as its body.
	maxMessageBytes = 4 << 20
	// smallMessageBytes is the size up to which messages are read whatever others are being read.
	smallMessageBytes = 16 << 10
	// maxPendingBytes is the maximum size of all larger messages that are being read, as announced: the decoder
	// may allocate the announced size at once.
	maxPendingBytes = 8 << 20
)

var (
	// errMessageTooLarge means that a gob message exceeds maxMessageBytes, or that its length cannot be read.
	errMessageTooLarge = errors.New("relay: message too large")
	// errBusy means that the messages that are being read have reached maxPendingBytes.
	errBusy = errors.New("relay: too many large messages")
)

// guard limits the connections and the memory of a relay server.
type guard struct {
	maxConns int
	// refused is called for each connection that the guard closes.
	refused func(clients.Cause)

	mu    sync.Mutex
	conns int
	// unused is the connections (*guardedConn) without a complete call, the oldest first.
	unused list.List
	// pendingBytes is the size of the larger messages that are being read.
	pendingBytes int64
}

// accept serves connections until the listener is closed.
func (g *guard) accept(listener net.Listener, server *rpc.Server) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(watchInterval) // The process may be short of descriptors for a moment.
			continue
		}
		c := g.admit(conn)
		if c == nil {
			g.refused(clients.Connections)
			_ = conn.Close()
			continue
		}
		go func() {
			defer g.remove(c)
			server.ServeCodec(newCodec(c))
		}()
	}
}

// admit registers a connection. At the limit it closes the oldest one without a complete call. It returns nil if
// all connections have had calls.
func (g *guard) admit(conn net.Conn) *guardedConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns >= g.maxConns {
		oldest, ok := g.oldestLocked()
		if !ok {
			return nil
		}
		g.refused(clients.Connections)
		_ = oldest.Close()
		g.removeLocked(oldest)
	}
	g.conns++
	c := &guardedConn{Conn: conn, guard: g, reader: bufio.NewReader(conn), registered: true, inCall: true}
	c.element = g.unused.PushBack(c)
	_ = conn.SetReadDeadline(time.Now().Add(callTimeout)) // This fails only if the connection is closed.
	return c
}

func (g *guard) oldestLocked() (*guardedConn, bool) {
	front := g.unused.Front()
	if front == nil {
		return nil, false
	}
	c, ok := front.Value.(*guardedConn)
	return c, ok
}

func (g *guard) remove(c *guardedConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeLocked(c)
}

func (g *guard) removeLocked(c *guardedConn) {
	g.usedLocked(c)
	if c.registered {
		c.registered = false
		g.conns--
	}
	g.pendingBytes -= c.pendingBytes
	c.pendingBytes = 0
}

// usedLocked notes that a connection has had a call or is closed.
func (g *guard) usedLocked(c *guardedConn) {
	if c.element != nil {
		g.unused.Remove(c.element)
		c.element = nil
	}
}

// guardedConn is a connection of another instance. It follows the framing of gob: each message begins with its
// length, either one byte below 128, or the negated number of bytes of a big-endian number and these bytes.
type guardedConn struct {
	net.Conn
	guard  *guard
	reader *bufio.Reader
	// inCall is whether a read deadline for a call is set.
	inCall bool
	// lengthLeft is the number of bytes of the length that are still to be read; length is its value so far.
	lengthLeft int
	length     uint64
	// remaining is the number of bytes of the message that are still to be read.
	remaining int64

	// The fields below are guarded by the mutex of guard.

	element      *list.Element
	registered   bool
	pendingBytes int64
}

// Read implements io.Reader. It returns errMessageTooLarge and errBusy before any byte of such a message.
func (c *guardedConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if c.remaining > 0 {
		n, err := c.reader.Read(p[:min(int64(len(p)), c.remaining)])
		c.remaining -= int64(n)
		return n, err
	}
	b, err := c.ReadByte()
	if err != nil {
		return 0, err
	}
	p[0] = b
	return 1, nil
}

// ReadByte implements io.ByteReader, so that the decoder reads without a buffer of its own.
func (c *guardedConn) ReadByte() (byte, error) {
	b, err := c.reader.ReadByte()
	if err != nil {
		return 0, err
	}
	if !c.inCall {
		c.inCall = true
		_ = c.SetReadDeadline(time.Now().Add(callTimeout)) // This fails only if the connection is closed.
	}
	switch {
	case c.remaining > 0:
		c.remaining--
		return b, nil
	case c.lengthLeft > 0:
		c.length = c.length<<8 | uint64(b)
		c.lengthLeft--
	case b < 128:
		c.length = uint64(b)
	default:
		c.length, c.lengthLeft = 0, 256-int(b)
	}
	if c.lengthLeft == 0 {
		err = c.beginMessage()
	}
	return b, err
}

// beginMessage is called after the length of a message was read.
func (c *guardedConn) beginMessage() error {
	if c.length > maxMessageBytes {
		c.guard.refused(clients.BodySize)
		return errMessageTooLarge
	}
	c.remaining = int64(c.length)
	if c.length <= smallMessageBytes {
		return nil
	}
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pendingBytes+c.remaining > maxPendingBytes {
		g.refused(clients.BodyBudget)
		return errBusy
	}
	if c.registered {
		g.pendingBytes += c.remaining
		c.pendingBytes += c.remaining
	}
	return nil
}

// endCall is called when a call was read whole.
func (c *guardedConn) endCall() {
	c.inCall = false
	_ = c.SetReadDeadline(time.Time{}) // This fails only if the connection is closed.
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	g.usedLocked(c)
	g.pendingBytes -= c.pendingBytes
	c.pendingBytes = 0
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(responseTimeout)) // The write reports a closed connection.
	return c.Conn.Write(p)
}

// codec is the codec of rpc.Server.ServeConn, but for the end of each call, which it reports to the connection.
type codec struct {
	conn    *guardedConn
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
	close   sync.Once
}

func newCodec(c *guardedConn) rpc.ServerCodec {
	buffer := bufio.NewWriter(c)
	return &codec{conn: c, decoder: gob.NewDecoder(c), encoder: gob.NewEncoder(buffer), buffer: buffer}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *codec) ReadRequestHeader(r *rpc.Request) error { return c.decoder.Decode(r) }

// ReadRequestBody implements rpc.ServerCodec.
func (c *codec) ReadRequestBody(body any) error {
	err := c.decoder.Decode(body)
	if err == nil {
		c.conn.endCall()
	}
	return err
}

// WriteResponse implements rpc.ServerCodec. It closes the connection if the response cannot be encoded or sent, so
// that the caller does not wait for it.
func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	err := c.encoder.Encode(r)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.buffer.Flush()
	}
	if err != nil {
		return errors.Join(err, c.Close())
	}
	return nil
}

// Close implements rpc.ServerCodec.
func (c *codec) Close() error {
	var err error
	c.close.Do(func() { err = c.conn.Close() })
	return err
}
