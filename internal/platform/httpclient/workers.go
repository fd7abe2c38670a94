package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Workers calls workers over HTTP. It is safe for concurrent use.
type Workers struct {
	client
}

var _ platform.Workers = (*Workers)(nil)

// NewWorkers returns a client of workers.
func NewWorkers(o Options) *Workers { return &Workers{client{newTransport(o)}} }

// Close closes idle connections.
func (w *Workers) Close() { w.transport.CloseIdleConnections() }

func workerURL(worker platform.Instance, op string) string {
	return "http://" + worker.Addr + WorkersPath + url.PathEscape(worker.ID) + "/" + op
}

func (w *Workers) post(ctx context.Context, worker platform.Instance, op string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return buildError(err)
	}
	if len(body) > MaxRequestBytes {
		return buildError(fmt.Errorf("request of %d bytes, limit %d", len(body), MaxRequestBytes))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, workerURL(worker, op), bytes.NewReader(body))
	if err != nil {
		return buildError(err)
	}
	req.Header.Set("Content-Type", "application/json")
	_, err = w.call(req, out)
	return err
}

// Leases implements platform.Workers.
func (w *Workers) Leases(ctx context.Context, worker platform.Instance, epoch platform.Epoch) ([]platform.Lease, error) {
	var response LeasesResponse
	if err := w.post(ctx, worker, OpLeases, LeasesRequest{Epoch: epoch}, &response); err != nil {
		return nil, err
	}
	return response.Leases, nil
}

// Reserve implements platform.Workers.
func (w *Workers) Reserve(ctx context.Context, worker platform.Instance, req platform.ReserveRequest) error {
	return w.post(ctx, worker, OpReserve, req, nil)
}

// postLeaseRequest performs an operation on leases. It returns ErrUnknownOutcome if the response
// does not have one result for each lease of the request.
func (w *Workers) postLeaseRequest(ctx context.Context, worker platform.Instance, op string, req platform.LeaseRequest) ([]platform.LeaseResult, error) {
	var response ResultsResponse
	if err := w.post(ctx, worker, op, req, &response); err != nil {
		return nil, err
	}
	if len(response.Results) != len(req.Leases) {
		return nil, &callError{platform.ErrUnknownOutcome, fmt.Errorf("%d results for %d leases", len(response.Results), len(req.Leases))}
	}
	return response.Results, nil
}

// Start implements platform.Workers.
func (w *Workers) Start(ctx context.Context, worker platform.Instance, req platform.LeaseRequest) ([]platform.LeaseResult, error) {
	return w.postLeaseRequest(ctx, worker, OpStart, req)
}

// Renew implements platform.Workers.
func (w *Workers) Renew(ctx context.Context, worker platform.Instance, req platform.LeaseRequest) ([]platform.LeaseResult, error) {
	return w.postLeaseRequest(ctx, worker, OpRenew, req)
}

// Checkpoint implements platform.Workers.
func (w *Workers) Checkpoint(ctx context.Context, worker platform.Instance, req platform.LeaseRequest) ([]platform.LeaseResult, error) {
	return w.postLeaseRequest(ctx, worker, OpCheckpoint, req)
}

// Throttle implements platform.Workers.
func (w *Workers) Throttle(ctx context.Context, worker platform.Instance, req platform.LeaseRequest) ([]platform.LeaseResult, error) {
	return w.postLeaseRequest(ctx, worker, OpThrottle, req)
}

// Stop implements platform.Workers.
func (w *Workers) Stop(ctx context.Context, worker platform.Instance, req platform.LeaseRequest) ([]platform.LeaseResult, error) {
	return w.postLeaseRequest(ctx, worker, OpStop, req)
}

// Release implements platform.Workers.
func (w *Workers) Release(ctx context.Context, worker platform.Instance, req platform.LeaseRequest) error {
	return w.post(ctx, worker, OpRelease, req, nil)
}

// Usage implements platform.Workers.
func (w *Workers) Usage(ctx context.Context, worker platform.Instance) ([]platform.Usage, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, workerURL(worker, OpUsage), nil)
	if err != nil {
		return nil, buildError(err)
	}
	var response UsageResponse
	if _, err := w.call(req, &response); err != nil {
		return nil, readError(err)
	}
	return response.Usage, nil
}
