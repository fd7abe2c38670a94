package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/platform/httpclient"
)

// maxLongPoll is the longest wait of one read of the log. Longer waits are shortened to it.
const maxLongPoll = time.Minute

// writeJSON sends a JSON response. A failed write is ignored: it means that the caller has closed
// the connection.
func writeJSON(rw http.ResponseWriter, status int, value any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(value)
}

// writeError sends the response for an error of package platform. An error without a code, such as
// ErrUnknownOutcome, gets no response: the connection is closed. batch can be nil.
func writeError(rw http.ResponseWriter, err error, batch *platform.Batch) {
	status, code, ok := httpclient.ErrorStatus(err)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	writeJSON(rw, status, httpclient.ErrorResponse{Code: code, Message: err.Error(), Batch: batch})
}

// writeInvalid rejects a malformed request. Its code tells the caller that the request had no
// effect.
func writeInvalid(rw http.ResponseWriter, status int, message string) {
	writeJSON(rw, status, httpclient.ErrorResponse{Code: "unavailable", Message: message})
}

func logHandler(l *Log) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+httpclient.LogPath, func(rw http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, platform.MaxEntryBytes))
		if err != nil {
			writeBodyError(rw, err)
			return
		}
		offset, err := l.Append(r.Context(), data)
		if err != nil {
			writeError(rw, err, nil)
			return
		}
		writeJSON(rw, http.StatusCreated, httpclient.AppendResponse{Offset: offset})
	})
	mux.HandleFunc("GET "+httpclient.LogPath, func(rw http.ResponseWriter, r *http.Request) {
		read, err := parseRead(r.URL.Query().Get)
		if err != nil {
			writeInvalid(rw, http.StatusBadRequest, err.Error())
			return
		}
		batch, err := l.Read(r.Context(), read.from, read.limit, read.wait)
		if err != nil {
			writeError(rw, err, &batch)
			return
		}
		writeJSON(rw, http.StatusOK, batch)
	})
	return mux
}

// writeBodyError rejects an append whose body could not be read.
func writeBodyError(rw http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(rw, errors.Join(platform.ErrTooLarge, err), nil)
		return
	}
	writeInvalid(rw, http.StatusBadRequest, err.Error())
}

type readQuery struct {
	from  platform.Offset
	limit int
	wait  time.Duration
}

// parseRead parses the query parameters of a read of the log. All of them are required.
func parseRead(get func(string) string) (readQuery, error) {
	from, err := strconv.ParseUint(get("from"), 10, 64)
	if err != nil {
		return readQuery{}, errors.New("from must be an offset")
	}
	limit, err := strconv.Atoi(get("limit"))
	if err != nil || limit < 1 {
		return readQuery{}, errors.New("limit must be positive")
	}
	waitMs, err := strconv.ParseInt(get("waitMs"), 10, 64)
	if err != nil || waitMs < 0 {
		return readQuery{}, errors.New("waitMs must not be negative")
	}
	wait := time.Duration(min(waitMs, maxLongPoll.Milliseconds())) * time.Millisecond
	return readQuery{from: platform.Offset(from), limit: limit, wait: wait}, nil
}

func instancesHandler(i *Instances) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+httpclient.InstancesPath, func(rw http.ResponseWriter, r *http.Request) {
		rows, err := i.List(r.Context())
		if err != nil {
			writeError(rw, err, nil)
			return
		}
		writeList(rw, r, httpclient.InstancesResponse{Instances: rows})
	})
	return mux
}

// writeList sends the instance list with an entity tag. The response has no body if the caller
// already has the same list.
func writeList(rw http.ResponseWriter, r *http.Request, response httpclient.InstancesResponse) {
	data, err := json.Marshal(response)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	etag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(data), 16))
	rw.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		rw.WriteHeader(http.StatusNotModified)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(data)
}

// operation carries out one call to a worker and returns the value of the response body, or nil for
// a response without a body.
type operation func(r *http.Request, worker platform.Instance) (any, error)

// errMalformed means that a request body could not be read or decoded.
var errMalformed = errors.New("standin: malformed request")

func workersHandler(f *Fleet) http.Handler {
	operations := map[string]operation{
		"POST " + httpclient.OpLeases:     f.handleLeases,
		"POST " + httpclient.OpReserve:    f.handleReserve,
		"POST " + httpclient.OpStart:      handleChange(f.Start),
		"POST " + httpclient.OpRenew:      handleChange(f.Renew),
		"POST " + httpclient.OpCheckpoint: handleChange(f.Checkpoint),
		"POST " + httpclient.OpThrottle:   handleChange(f.Throttle),
		"POST " + httpclient.OpStop:       handleChange(f.Stop),
		"POST " + httpclient.OpRelease:    f.handleRelease,
		"GET " + httpclient.OpUsage:       f.handleUsage,
	}
	mux := http.NewServeMux()
	mux.HandleFunc(httpclient.WorkersPath+"{id}/{operation}", func(rw http.ResponseWriter, r *http.Request) {
		op, found := operations[r.Method+" "+r.PathValue("operation")]
		if !found {
			writeInvalid(rw, http.StatusNotFound, "no such operation")
			return
		}
		r.Body = http.MaxBytesReader(rw, r.Body, httpclient.MaxRequestBytes)
		response, err := op(r, platform.Instance{ID: r.PathValue("id")})
		switch {
		case errors.Is(err, errMalformed):
			writeInvalid(rw, http.StatusBadRequest, err.Error())
		case err != nil:
			writeError(rw, err, nil)
		case response == nil:
			rw.WriteHeader(http.StatusNoContent)
		default:
			writeJSON(rw, http.StatusOK, response)
		}
	})
	return mux
}

func decodeBody[T any](r *http.Request) (T, error) {
	var value T
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, &value)
	}
	if err != nil {
		return value, errors.Join(errMalformed, err)
	}
	return value, nil
}

func (f *Fleet) handleLeases(r *http.Request, worker platform.Instance) (any, error) {
	req, err := decodeBody[httpclient.LeasesRequest](r)
	if err != nil {
		return nil, err
	}
	leases, err := f.Leases(r.Context(), worker, req.Epoch)
	return httpclient.LeasesResponse{Leases: leases}, err
}

func (f *Fleet) handleReserve(r *http.Request, worker platform.Instance) (any, error) {
	req, err := decodeBody[platform.ReserveRequest](r)
	if err != nil {
		return nil, err
	}
	return nil, f.Reserve(r.Context(), worker, req)
}

func (f *Fleet) handleRelease(r *http.Request, worker platform.Instance) (any, error) {
	req, err := decodeBody[platform.LeaseRequest](r)
	if err != nil {
		return nil, err
	}
	return nil, f.Release(r.Context(), worker, req)
}

func (f *Fleet) handleUsage(r *http.Request, worker platform.Instance) (any, error) {
	reports, err := f.Usage(r.Context(), worker)
	return httpclient.UsageResponse{Usage: reports}, err
}

func handleChange(change changeFunc) operation {
	return func(r *http.Request, worker platform.Instance) (any, error) {
		req, err := decodeBody[platform.LeaseRequest](r)
		if err != nil {
			return nil, err
		}
		results, err := change(r.Context(), worker, req)
		return httpclient.ResultsResponse{Results: results}, err
	}
}

// changeFunc is the type of the methods of platform.Workers that change leases.
type changeFunc func(context.Context, platform.Instance, platform.LeaseRequest) ([]platform.LeaseResult, error)
