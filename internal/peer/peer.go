// Package peer implements net/rpc calls between the instances of the system. It accepts
// connections only from addresses in the settings and authenticates them with a shared key. Every
// message carries a hybrid logical clock timestamp.
package peer

import (
	"context"
	"errors"
)

// Errors of calls between instances.
var (
	// ErrUnknownPeer means that the settings do not contain the instance, or that its address in
	// the settings is not valid.
	ErrUnknownPeer = errors.New("peer: unknown instance")
	// ErrUnreachable means that there was no connection to the peer, so that the call was not sent.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrUnknownOutcome means that the call may have taken effect but no response was received.
	ErrUnknownOutcome = errors.New("peer: no response, outcome unknown")
	// ErrHandshake means that the handshake failed, for example because the other side did not
	// prove that it has the shared key.
	ErrHandshake = errors.New("peer: handshake failed")
)

// Caller calls methods of other instances.
type Caller interface {
	// Call calls a net/rpc method, for example "Membership.Probe", of the instance with the given
	// id and stores the result in reply, a pointer. The error is or wraps ErrUnknownPeer,
	// ErrUnreachable, ErrUnknownOutcome, the context's error, or the rpc.ServerError that the
	// method returned. After ErrUnknownOutcome or the context's error, the method may have run or
	// may still run. reply is unchanged if Call returns an error.
	Call(ctx context.Context, instance, method string, args, reply any) error
	// Peers returns the ids of the other instances in the settings, sorted.
	Peers() []string
}

// Registrar registers net/rpc receivers, whose methods peers can call.
type Registrar interface {
	// Register makes the methods of receiver callable under name, like rpc.Server.RegisterName.
	Register(name string, receiver any) error
}
