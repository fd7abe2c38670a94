package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// errRejected is wrapped by the error for a response of the resource API with an error status.
var errRejected = errors.New("demo: rejected by the resource API")

// put creates or replaces a resource.
func (c *cluster) put(ctx context.Context, object resource.Object) error {
	body, err := json.Marshal(object)
	if err != nil {
		return err
	}
	path := fmt.Sprintf("/v1/%s/%s", object.Kind(), object.Meta().Name)
	return c.call(ctx, http.MethodPut, path, bytes.NewReader(body), nil)
}

// job returns the job with the given name.
func (c *cluster) job(ctx context.Context, name string) (*resource.Job, error) {
	job := &resource.Job{}
	return job, c.call(ctx, http.MethodGet, "/v1/jobs/"+name, nil, job)
}

// call sends a request to the resource API of the first live instance and decodes the response
// into the value that into points to, unless into is nil.
func (c *cluster) call(ctx context.Context, method, path string, body io.Reader, into any) error {
	n := c.liveInstances()[0]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.settings.OperatorAddr+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode >= http.StatusBadRequest {
		return eris.Wrapf(errRejected, "%s %s: %s: %s", method, path, res.Status, bytes.TrimSpace(data))
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(data, into)
}

func newOrganisation(name string, weight float64) *resource.Organisation {
	return &resource.Organisation{
		Metadata: resource.Metadata{Name: name},
		Spec:     resource.OrganisationSpec{Weight: weight},
	}
}

// newRackGuarantee returns a guarantee of one gang with 16 accelerators in one rack.
func newRackGuarantee(name, org string) *resource.Guarantee {
	return &resource.Guarantee{
		Metadata: resource.Metadata{Name: name},
		Spec: resource.GuaranteeSpec{
			Organisation: org, Gangs: 1, Members: 2, AcceleratorsPerMember: 8, Adjacency: resource.AdjacentRack,
		},
	}
}

// newJob returns a checkpointable job whose members each use all accelerators of a worker.
func newJob(name, org string, members int, adjacency resource.Adjacency, payload string) *resource.Job {
	return &resource.Job{
		Metadata: resource.Metadata{Name: name},
		Spec: resource.JobSpec{
			Organisation: org, Members: members, AcceleratorsPerMember: acceleratorsPerWorker, Adjacency: adjacency,
			Urgency: 3, Checkpointable: true, Payload: payload,
		},
	}
}
