package httpclient

import (
	"errors"
	"net/http"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Paths of the platform's services. The path of a worker's operation is
// WorkersPath + id + "/" + operation.
const (
	LogPath       = "/v1/log/entries"
	InstancesPath = "/v1/instances"
	WorkersPath   = "/v1/workers/"
)

// Operations of a worker.
const (
	OpLeases     = "leases"
	OpReserve    = "reserve"
	OpStart      = "start"
	OpRenew      = "renew"
	OpCheckpoint = "checkpoint"
	OpThrottle   = "throttle"
	OpStop       = "stop"
	OpRelease    = "release"
	OpUsage      = "usage"
)

// Size limits of bodies, in bytes.
const (
	// MaxRequestBytes is the limit of a request to a worker.
	MaxRequestBytes = 1 << 20
	// MaxResponseBytes is the limit of every successful response of the platform.
	MaxResponseBytes = 16 << 20
	// maxErrorResponseBytes is the limit of the response to a rejected operation.
	maxErrorResponseBytes = 64 << 10
)

// AppendResponse is the response to an append.
type AppendResponse struct {
	Offset platform.Offset `json:"offset"`
}

// InstancesResponse is the response to a read of the instance list.
type InstancesResponse struct {
	Instances []platform.Instance `json:"instances"`
}

// LeasesRequest requests all leases of a worker.
type LeasesRequest struct {
	Epoch platform.Epoch `json:"epoch"`
}

// LeasesResponse contains all leases of a worker.
type LeasesResponse struct {
	Leases []platform.Lease `json:"leases"`
}

// ResultsResponse is the response to an operation on leases. It has one result for each lease of
// the request.
type ResultsResponse struct {
	Results []platform.LeaseResult `json:"results"`
}

// UsageResponse contains the usage reports of a worker.
type UsageResponse struct {
	Usage []platform.Usage `json:"usage"`
}

// ErrorResponse is the body of a response that rejects an operation.
type ErrorResponse struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Batch is set if Code is "expired"; it has no entries.
	Batch *platform.Batch `json:"batch,omitempty"`
}

// errorCodes maps the errors of package platform to their codes and HTTP statuses.
var errorCodes = []struct {
	code   string
	status int
	err    error
}{
	{"unavailable", http.StatusServiceUnavailable, platform.ErrUnavailable},
	{"expired", http.StatusGone, platform.ErrExpired},
	{"stale-epoch", http.StatusConflict, platform.ErrStaleEpoch},
	{"no-capacity", http.StatusInsufficientStorage, platform.ErrNoCapacity},
	{"no-lease", http.StatusNotFound, platform.ErrNoLease},
	{"too-large", http.StatusRequestEntityTooLarge, platform.ErrTooLarge},
}

// ErrorStatus returns the HTTP status and the code of an error of package platform. ok is false
// for ErrUnknownOutcome and for other errors without a code.
func ErrorStatus(err error) (status int, code string, ok bool) {
	if errors.Is(err, platform.ErrUnknownOutcome) {
		return 0, "", false
	}
	for _, r := range errorCodes {
		if errors.Is(err, r.err) {
			return r.status, r.code, true
		}
	}
	return 0, "", false
}

// errorForCode returns the error of package platform with the given code, or nil if the code is
// unknown.
func errorForCode(code string) error {
	for _, r := range errorCodes {
		if r.code == code {
			return r.err
		}
	}
	return nil
}
