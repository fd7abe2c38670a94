package httpclient

import (
	"errors"
	"net/http"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Paths of the platform's services. A worker's operation is at WorkersPath + id + "/" + operation.
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

// Limits of bodies, in bytes.
const (
	// MaxRequestBytes bounds a request to a worker.
	MaxRequestBytes = 1 << 20
	// MaxResponseBytes bounds every answer of the platform.
	MaxResponseBytes = 16 << 20
	// maxProblemBytes bounds the answer of a refused operation.
	maxProblemBytes = 64 << 10
)

// AppendResponse is the answer to an append.
type AppendResponse struct {
	Offset platform.Offset `json:"offset"`
}

// InstancesResponse is the answer to a read of the instance list.
type InstancesResponse struct {
	Instances []platform.Instance `json:"instances"`
}

// LeasesRequest asks for all leases of a worker.
type LeasesRequest struct {
	Epoch platform.Epoch `json:"epoch"`
}

// LeasesResponse has all leases of a worker.
type LeasesResponse struct {
	Leases []platform.Lease `json:"leases"`
}

// ResultsResponse is the answer to an operation on leases.
type ResultsResponse struct {
	Results []platform.LeaseResult `json:"results"`
}

// UsageResponse has the usage reports of a worker.
type UsageResponse struct {
	Usage []platform.Usage `json:"usage"`
}

// ErrorResponse is the body of an answer that refuses an operation.
type ErrorResponse struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Batch is set with the code expired and has no entries.
	Batch *platform.Batch `json:"batch,omitempty"`
}

// refusalCodes are the codes of the platform's errors with their HTTP statuses.
var refusalCodes = []struct {
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

// ErrorStatus returns the status and code of an error of package platform. It returns false
// for ErrUnknownOutcome and other errors, which have no code.
func ErrorStatus(err error) (status int, code string, ok bool) {
	if errors.Is(err, platform.ErrUnknownOutcome) {
		return 0, "", false
	}
	for _, r := range refusalCodes {
		if errors.Is(err, r.err) {
			return r.status, r.code, true
		}
	}
	return 0, "", false
}

// refusalError returns the error of a code, or nil for an unknown one.
func refusalError(code string) error {
	for _, r := range refusalCodes {
		if r.code == code {
			return r.err
		}
	}
	return nil
}
