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

// handshake authenticates both sides of a connection with the shared key. self and other are the
// roles of this side and the other. Each side sends a nonce, then proves that it has the key with
// an HMAC over its role and both nonces. The nonces prevent an attacker from replaying a proof, and
// the role prevents sending a proof back to its sender. Errors wrap ErrHandshake.
func handshake(conn net.Conn, key []byte, self, other string) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return eris.Wrap(ErrHandshake, err.Error())
	}
	ownNonce := make([]byte, nonceBytes)
	if _, err := rand.Read(ownNonce); err != nil {
		return eris.Wrap(ErrHandshake, err.Error())
	}
	otherNonce, err := exchange(conn, ownNonce)
	if err != nil {
		return err
	}
	proof, err := exchange(conn, computeProof(key, self, ownNonce, otherNonce))
	if err != nil {
		return err
	}
	if !hmac.Equal(proof, computeProof(key, other, otherNonce, ownNonce)) {
		return eris.Wrap(ErrHandshake, "wrong shared key")
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return eris.Wrap(ErrHandshake, err.Error())
	}
	return nil
}

// exchange sends out and returns a received message of the same length.
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

// computeProof returns the HMAC by which the side with the given role and own nonce proves that it
// has the key.
func computeProof(key []byte, role string, own, other []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(role))
	mac.Write(own)
	mac.Write(other)
	return mac.Sum(nil)
}
