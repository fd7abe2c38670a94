package peer

import (
	"bytes"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an accepted or crashing handshake when the other side sends anything but the
// proof of the shared key: random, cut and overlong input.
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
			// The server's own messages are taken, so that it goes on to read.
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

// Guards against a frame that makes a peer allocate what it claims to carry before it arrives,
// or that ends the process.
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
