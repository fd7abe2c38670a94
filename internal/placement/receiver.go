package placement

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/scheduler"
)

// receiverName is the name of the net/rpc receiver.
const receiverName = "Placement"

// MethodWaiting is the RPC method that Explain calls at the leader.
const MethodWaiting = receiverName + ".Waiting"

// Receiver has the RPC methods that peers call.
type Receiver struct{ service *Service }

// WaitingArgs has the arguments of Receiver.Waiting: the name of the job.
type WaitingArgs struct{ Job string }

// WaitingReply has the result of Receiver.Waiting. Waiting is valid only if Found is set.
type WaitingReply struct {
	Found   bool
	Waiting scheduler.Waiting
}

// Waiting replies with the latest reason why a job is not placed, in a zone that this instance leads.
// It always returns nil.
func (r *Receiver) Waiting(args *WaitingArgs, reply *WaitingReply) error {
	reply.Waiting, reply.Found = r.service.Waiting(args.Job)
	return nil
}

// Waiting returns the latest reason why a job is not placed. It reports false if no zone that this
// instance leads has one.
func (s *Service) Waiting(job string) (scheduler.Waiting, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, zone := range s.waiting {
		if w, found := zone[job]; found {
			return w, true
		}
	}
	return scheduler.Waiting{}, false
}

// Explain returns the latest reason why a job of a zone is not placed, and whether there is one. It
// calls the zone's leader if that is another instance, and returns an error if that call fails.
func (s *Service) Explain(ctx context.Context, zone, job string) (scheduler.Waiting, bool, error) {
	leader := s.config.Leadership.Leader(zone).Holder
	if leader == "" || leader == s.config.Self {
		w, found := s.Waiting(job)
		return w, found, nil
	}
	var reply WaitingReply
	if err := s.config.Caller.Call(ctx, leader, MethodWaiting, &WaitingArgs{Job: job}, &reply); err != nil {
		return scheduler.Waiting{}, false, eris.Wrap(err, "placement: ask the leader of zone "+zone)
	}
	return reply.Waiting, reply.Found, nil
}
