package membership

import (
	"context"
)

// Receiver is the net/rpc receiver that peers call, registered as Membership.
type Receiver struct{ service *Service }

// AskArgs is the request of Receiver.Ask: an indirect probe of Target.
type AskArgs struct{ Target string }

// AskReply is the reply of Receiver.Ask. Alive is true in every reply without an error; callers check
// the error only.
type AskReply struct{ Alive bool }

// Probe merges the message of the caller and replies with a message for the caller.
func (r *Receiver) Probe(args *Message, reply *Message) error {
	s := r.service
	s.mu.Lock()
	before := s.statusesLocked()
	changed := s.core.receive(s.config.Now(), *args)
	*reply = s.core.compose(args.From)
	s.unlockAndReport(before, changed)
	return nil
}

// Sync merges the message of the caller and replies with the state of all known members.
func (r *Receiver) Sync(args *Message, reply *Message) error {
	s := r.service
	s.mu.Lock()
	before := s.statusesLocked()
	changed := s.core.receive(s.config.Now(), *args)
	*reply = s.core.composeFull(args.From)
	s.unlockAndReport(before, changed)
	return nil
}

// Ask probes the target for the caller. It returns ErrNoResponse if the target does not respond.
func (r *Receiver) Ask(args *AskArgs, reply *AskReply) error {
	if r.service.probeDirect(context.Background(), args.Target) != nil {
		return ErrNoResponse
	}
	reply.Alive = true
	return nil
}
