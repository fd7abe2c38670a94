// Package peer carries net/rpc calls between the instances of the system. Connections are
// accepted only from addresses in the settings and are authenticated with a shared key. Every
// message carries a hybrid logical clock timestamp.
package peer

import (
	"context"
	"errors"
)

// Errors of calls between instances.
var (
	// ErrUnknownPeer means that the settings have no such instance.
	ErrUnknownPeer = errors.New("peer: unknown instance")
	// ErrUnreachable means that no connection could be made; the call was not sent.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrUnknownOutcome means that the call may have been carried out but no answer came.
	ErrUnknownOutcome = errors.New("peer: call failed")
	// ErrHandshake means that the other side did not prove that it has the shared key.
	ErrHandshake = errors.New("peer: handshake failed")
)

// Caller calls methods of other instances.
type Caller interface {
	// Call calls a net/rpc method, for example "Membership.Probe", of the named instance. It
	// returns ErrUnknownPeer, ErrUnreachable, ErrUnknownOutcome, the context's error, or an
	// rpc.ServerError that the method returned.
	Call(ctx context.Context, instance, method string, args, reply any) error
	// Peers returns the ids of the other instances in the settings, sorted.
	Peers() []string
}

// Registrar registers receivers of calls.
type Registrar interface {
	// Register makes the methods of receiver callable under name, as rpc.Server.RegisterName does.
	Register(name string, receiver any) error
}
