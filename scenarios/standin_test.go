package scenarios

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"text/template"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/loopback"
	"github.com/oleanderbend/oleanderbend/internal/standin"
)

// standinAddrs contains the base URLs of the stand-ins of one scenario.
type standinAddrs struct {
	ControlURL   string
	LogURL       string
	InstancesURL string
}

// fleetSize is the number of workers and targets in each zone, and the retention time of the log.
type fleetSize struct {
	Workers   int
	Targets   int
	Retention string
}

const standinTemplate = `name = "scenario"
control_addr = "{{index .Addrs 0}}"
log_addr = "{{index .Addrs 1}}"
instances_addr = "{{index .Addrs 2}}"
workers_addr = "127.0.0.1:0"
targets_addr = "127.0.0.1:0"
instances_lag = "500ms"
usage_lag = "1s"

[log]
retention = "{{.Size.Retention}}"

[worker]
cores = 64
memory_mb = 131072
accelerators = 8
per_rack = 4

[target]
slots = 8
connections = 64
{{range .Zones}}
[[zones]]
name = "{{.}}"
region = "central"
workers = {{$.Size.Workers}}
targets = {{$.Size.Targets}}
{{end}}`

// writeStandinSettings chooses the stand-ins' addresses and writes their settings file.
func (c *cluster) writeStandinSettings(zones []string, size fleetSize) error {
	addrs, err := loopback.FreeAddrs(3)
	if err != nil {
		return err
	}
	c.standin = standinAddrs{
		ControlURL:   "http://" + addrs[0],
		LogURL:       "http://" + addrs[1],
		InstancesURL: "http://" + addrs[2],
	}
	tmpl := template.Must(template.New("standin").Parse(standinTemplate))
	var out bytes.Buffer
	if err := tmpl.Execute(&out, map[string]any{"Addrs": addrs, "Zones": zones, "Size": size}); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.dir, "standin.toml"), out.Bytes(), 0o600)
}

// control sends a request to the control address of the stand-ins and decodes the response into value
// unless value is nil.
func (c *cluster) control(method, path string, body []byte, value any) error {
	req, err := http.NewRequest(method, c.standin.ControlURL+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
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
		return fmt.Errorf("%s %s: %s: %s", method, path, res.Status, data)
	}
	if value == nil {
		return nil
	}
	return json.Unmarshal(data, value)
}

// executed returns the number of times that the targets ran the request with the given id.
func (c *cluster) executed(id string) (int, error) {
	body, err := json.Marshal(standin.ExecutedRequest{IDs: []string{id}})
	if err != nil {
		return 0, err
	}
	var response standin.ExecutedResponse
	if err := c.control(http.MethodPost, standin.ExecutedPath, body, &response); err != nil {
		return 0, err
	}
	return response.Counts[id], nil
}

// partialBound is the longest time for which only some members of a gang may run after the loss of a
// member or of the leader. It is the duration of the lease of a run.
const partialBound = 10 * time.Second

// checkGangs returns an error if a gang ran partially for longer than partialBound or a member of an
// attempt ran twice.
func (c *cluster) checkGangs() error {
	var partial []standin.PartialGang
	if err := c.control(http.MethodGet, standin.PartialGangsPath, nil, &partial); err != nil {
		return err
	}
	for _, row := range partial {
		if row.Seconds > partialBound.Seconds() {
			return fmt.Errorf("attempt %d of job %s was partial for %.1f s", row.Attempt, row.JobUID, row.Seconds)
		}
	}
	var runs []standin.Run
	if err := c.control(http.MethodGet, standin.RunsPath, nil, &runs); err != nil {
		return err
	}
	seen := make(map[any]bool)
	for _, run := range runs {
		if seen[run.ID] {
			return fmt.Errorf("member %d of attempt %d of job %s ran twice", run.ID.Member, run.ID.Attempt, run.ID.JobUID)
		}
		seen[run.ID] = true
	}
	return nil
}
