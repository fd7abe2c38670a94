package peer

import (
	"bytes"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a handshake that succeeds or panics when the other side sends anything but a proof
// that it has the shared key: random, truncated or overlong input.
func FuzzHandshake(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add(bytes.Repeat([]byte{0}, 2*nonceBytes))
	f.Add(bytes.Repeat([]byte{0xff}, 1<<16))
	f.Fuzz(func(t *testing.T, input []byte) {
		client, server := net.Pipe()
		go func() {
			_, _ = client.Write(input)
			_ = client.Close()
		}()
		go func() {
			// Reads the server's messages. Otherwise its writes would block and it would never read.
			buf := make([]byte, nonceBytes)
			for {
				if _, err := client.Read(buf); err != nil {
					return
				}
			}
		}()
		require.ErrorIs(t, handshake(server, []byte(testKey), roleServer, roleClient), ErrHandshake)
		require.NoError(t, server.Close())
	})
}

// Guards against a frame that makes a peer allocate the announced size before the data has
// arrived, or that ends the process.
func FuzzFrame(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0xf8, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{3, 2, 0, 1})
	f.Fuzz(func(t *testing.T, input []byte) {
		client, server := net.Pipe()
		go func() {
			_, _ = client.Write(input)
			_ = client.Close()
		}()
		s := newStream(server, newClock())
		for {
			if _, err := s.readFrame(); err != nil {
				break
			}
			if err := s.readBody(nil); err != nil {
				break
			}
		}
		require.NoError(t, server.Close())
	})
}
