package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
)

const (
	nonceBytes       = 32
	handshakeTimeout = time.Second
	roleClient       = "client"
	roleServer       = "server"
)

// handshake proves to the other side that this one has the key, and checks the same of the
// other side. Each side sends a nonce and answers the other's with an HMAC over the sender's
// role and both nonces, so that an answer can neither be replayed nor reflected.
func handshake(conn net.Conn, key []byte, self, other string) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return eris.Wrap(ErrHandshake, err.Error())
	}
	mine := make([]byte, nonceBytes)
	if _, err := rand.Read(mine); err != nil {
		return eris.Wrap(ErrHandshake, err.Error())
	}
	theirs, err := exchange(conn, mine)
	if err != nil {
		return err
	}
	proof, err := exchange(conn, prove(key, self, mine, theirs))
	if err != nil {
		return err
	}
	if !hmac.Equal(proof, prove(key, other, theirs, mine)) {
		return eris.Wrap(ErrHandshake, "wrong shared key")
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return eris.Wrap(ErrHandshake, err.Error())
	}
	return nil
}

// exchange sends a message of fixed length and receives one of the same length.
func exchange(conn net.Conn, out []byte) ([]byte, error) {
	if _, err := conn.Write(out); err != nil {
		return nil, eris.Wrap(ErrHandshake, err.Error())
	}
	in := make([]byte, len(out))
	if _, err := io.ReadFull(conn, in); err != nil {
		return nil, eris.Wrap(ErrHandshake, err.Error())
	}
	return in, nil
}

func prove(key []byte, role string, own, other []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(role))
	mac.Write(own)
	mac.Write(other)
	return mac.Sum(nil)
}
