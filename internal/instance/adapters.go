package instance

import (
	"context"
	"crypto/tls"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderbend/oleanderbend/internal/certs"
	"github.com/oleanderbend/oleanderbend/internal/gateway"
	"github.com/oleanderbend/oleanderbend/internal/inventory"
	"github.com/oleanderbend/oleanderbend/internal/placement"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/scheduler"
	"github.com/oleanderbend/oleanderbend/internal/settings"
	"github.com/oleanderbend/oleanderbend/internal/state"
	"github.com/oleanderbend/oleanderbend/internal/zoning"
)

// seed returns a seed derived from the instance id, so that instances make different random choices.
func seed(id string) uint64 { return xxhash.Sum64String(id) }

func newScheduler(id string) scheduler.Scheduler { return scheduler.New(int64(seed(id) >> 1)) }

// zoneAdapter implements api.ZoneChooser and api.GuaranteeChecker with the list of instances and the
// replicated state.
type zoneAdapter struct {
	instances *inventory.Cache
	reader    state.Reader
	scheduler scheduler.Scheduler
}

// ChooseZone implements api.ZoneChooser. rejectReason is not empty if the job fits in no zone.
func (z *zoneAdapter) ChooseZone(ctx context.Context, job *resource.Job) (zone, rejectReason string, err error) {
	list, err := z.instances.List(ctx)
	if err != nil {
		return "", "", err
	}
	z.reader.Read(func(s *state.State) {
		loads := zoning.ZoneCapacities(list, quarantined(s))
		zoning.CountJobs(loads, maps.Values(s.Jobs))
		zone = zoning.ChooseForJob(job, loads, s.Guarantees)
		// A quarantine ends, so quarantined workers count here: the job can run later.
		rejectReason = zoning.RejectReason(job, zoning.ZoneCapacities(list, func(string) bool { return false }))
	})
	return zone, rejectReason, nil
}

// CheckGuarantee implements api.GuaranteeChecker. It tries the zones in the order of
// zoning.OrderForGuarantee. It returns the first zone that can honour the guarantee, or else the last
// zone and its result.
func (z *zoneAdapter) CheckGuarantee(ctx context.Context, g *resource.Guarantee) (string, scheduler.GuaranteeResult, error) {
	list, err := z.instances.List(ctx)
	if err != nil {
		return "", scheduler.GuaranteeResult{}, err
	}
	zone := ""
	result := scheduler.GuaranteeResult{Guarantee: g.Name, Reason: "there is no zone with workers"}
	z.reader.Read(func(s *state.State) {
		loads := zoning.ZoneCapacities(list, quarantined(s))
		for _, candidate := range zoning.OrderForGuarantee(g, loads, s.Guarantees) {
			zone = candidate
			result = z.scheduler.CheckGuarantee(guaranteeSnapshot(s, list, candidate, g.Name), g)
			if result.Honourable {
				return
			}
		}
	})
	return zone, result, nil
}

// quarantined returns a function that reports whether a worker is quarantined in s.
func quarantined(s *state.State) func(string) bool {
	return func(worker string) bool { return s.Workers[worker].Quarantined }
}

// guaranteeSnapshot returns a snapshot with the workers and the guarantees of a zone, without the
// guarantee named replaced. It contains no jobs, because the capacity of all work beyond the
// guarantees can be reclaimed.
func guaranteeSnapshot(s *state.State, list []platform.Instance, zone, replaced string) scheduler.Snapshot {
	snapshot := scheduler.Snapshot{
		Zone:          zone,
		Organisations: s.Organisations,
		Policy:        s.Policy().Placement,
	}
	for _, in := range list {
		if in.Kind != platform.KindWorker || in.Zone != zone {
			continue
		}
		snapshot.Workers = append(snapshot.Workers, scheduler.Worker{
			ID: in.ID, Rack: in.Rack, Accelerators: in.Accelerators, Cores: in.Cores, MemoryMB: in.MemoryMB,
			Usable: in.State == platform.StateLive && !s.Workers[in.ID].Quarantined,
		})
	}
	for _, g := range s.Guarantees {
		if g.Status.Zone == zone && g.Name != replaced {
			snapshot.Guarantees = append(snapshot.Guarantees, g)
		}
	}
	return snapshot
}

// explainer implements api.Explainer with the leader of the job's zone.
type explainer struct {
	reader    state.Reader
	placement *placement.Service
}

// Waiting implements api.Explainer. It returns false if the job is not queued in a zone.
func (e *explainer) Waiting(ctx context.Context, job string) (scheduler.Waiting, bool, error) {
	zone := ""
	e.reader.Read(func(s *state.State) {
		if found, ok := s.Jobs[job]; ok && found.Status.Phase == resource.PhaseQueued {
			zone = found.Status.Zone
		}
	})
	if zone == "" {
		return scheduler.Waiting{}, false, nil
	}
	return e.placement.Explain(ctx, zone, job)
}

// callerTLS returns the TLS configuration of the listener for callers, or nil for plain HTTP.
func callerTLS(files settings.TLS, now func() time.Time) (*tls.Config, error) {
	if files.CertFile == "" {
		return nil, nil
	}
	return certs.ServerConfig(files, now)
}

func callerLimits(l settings.CallerLimits) gateway.Limits {
	return gateway.Limits{
		Connections:           l.Connections,
		ConnectionsPerAddress: l.ConnectionsPerAddress,
		HeaderBytes:           l.HeaderBytes,
		BodyBytes:             l.BodyBytes,
		HeaderTimeout:         time.Duration(l.HeaderTimeout),
		ReadIdle:              time.Duration(l.ReadIdle),
		WriteIdle:             time.Duration(l.WriteIdle),
		KeepAliveIdle:         time.Duration(l.KeepAliveIdle),
	}
}
