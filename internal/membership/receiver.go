package membership

import (
	"context"
)

// Receiver has the methods that peers call.
type Receiver struct{ service *Service }

// AskArgs asks an instance to probe Target.
type AskArgs struct{ Target string }

// AskReply is empty; an answer without an error means that the target is alive.
type AskReply struct{ Alive bool }

// Probe merges the message of the caller and answers with a message.
func (r *Receiver) Probe(args *Message, reply *Message) error {
	s := r.service
	s.mu.Lock()
	before := s.statuses()
	changed := s.core.receive(s.config.Now(), *args)
	*reply = s.core.compose(args.From)
	s.finish(before, changed)
	return nil
}

// Sync answers with everything that this instance knows.
func (r *Receiver) Sync(args *Message, reply *Message) error {
	s := r.service
	s.mu.Lock()
	before := s.statuses()
	changed := s.core.receive(s.config.Now(), *args)
	*reply = s.core.table(args.From)
	s.finish(before, changed)
	return nil
}

// Ask probes the target for the caller. It returns ErrNoAnswer if the target is silent.
func (r *Receiver) Ask(args *AskArgs, reply *AskReply) error {
	if r.service.direct(context.Background(), args.Target) != nil {
		return ErrNoResponse
	}
	reply.Alive = true
	return nil
}
