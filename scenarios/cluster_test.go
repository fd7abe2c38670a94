package scenarios

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/oleanderbend/oleanderbend/internal/loopback"
)

// exitTimeout bounds the wait for the exit of all processes at the end of a scenario.
const exitTimeout = 10 * time.Second

// cluster is the set of processes of one scenario.
type cluster struct {
	dir    string
	binary string

	mu        sync.Mutex
	instances []instance
	standin   standinAddrs
	processes map[string]*process
	requests  map[string]*pendingRequest
}

// instance contains the id, zone and addresses of one serve process.
type instance struct {
	ID       string
	Zone     string
	Caller   string
	Operator string
	Peer     string
}

// process is one started process.
type process struct {
	cmd *exec.Cmd
	// done is closed when the process has exited; err is its result from then on.
	done chan struct{}
	err  error
}

const serveTemplate = `id = "{{.Self.ID}}"
region = "central"
zone = "{{.Self.Zone}}"
caller_addr = "{{.Self.Caller}}"
operator_addr = "{{.Self.Operator}}"
peer_addr = "{{.Self.Peer}}"
peer_key = "scenario-shared-key"
stop_timeout = "20s"

[platform]
log_url = "{{.Standin.LogURL}}"
instances_url = "{{.Standin.InstancesURL}}"
{{range .Peers}}
[[peers]]
id = "{{.ID}}"
zone = "{{.Zone}}"
region = "central"
addr = "{{.Peer}}"
operator_addr = "{{.Operator}}"
{{end}}`

// newCluster returns a cluster of n instances, which are assigned to the zones in turn. It starts no
// process.
func newCluster(dir, binary string, n int, zones []string) (*cluster, error) {
	c := &cluster{
		dir:       dir,
		binary:    binary,
		processes: make(map[string]*process),
		requests:  make(map[string]*pendingRequest),
	}
	for i := range n {
		addrs, err := loopback.FreeAddrs(3)
		if err != nil {
			return nil, err
		}
		c.instances = append(c.instances, instance{
			ID:       fmt.Sprintf("n%d", i+1),
			Zone:     zones[i%len(zones)],
			Caller:   addrs[0],
			Operator: addrs[1],
			Peer:     addrs[2],
		})
	}
	return c, nil
}

// writeSettings writes the settings file of each instance.
func (c *cluster) writeSettings() error {
	tmpl := template.Must(template.New("serve").Parse(serveTemplate))
	for _, self := range c.instances {
		var peers []instance
		for _, other := range c.instances {
			if other.ID != self.ID {
				peers = append(peers, other)
			}
		}
		var out bytes.Buffer
		data := map[string]any{"Self": self, "Peers": peers, "Standin": c.standin}
		if err := tmpl.Execute(&out, data); err != nil {
			return err
		}
		if err := os.WriteFile(c.settingsFile(self.ID), out.Bytes(), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) settingsFile(id string) string { return filepath.Join(c.dir, id+".toml") }

// find returns the instance with the given id.
func (c *cluster) find(id string) (instance, error) {
	for _, in := range c.instances {
		if in.ID == id {
			return in, nil
		}
	}
	return instance{}, fmt.Errorf("no instance %q", id)
}

// callerList returns the URLs of the caller listeners as a TOML list.
func (c *cluster) callerList() string {
	var urls []string
	for _, in := range c.instances {
		urls = append(urls, strconv.Quote("http://"+in.Caller))
	}
	return "[" + strings.Join(urls, ", ") + "]"
}

// start starts a process and appends its output to the file NAME.log.
func (c *cluster) start(name string, args ...string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, running := c.processes[name]; running {
		return fmt.Errorf("%s is already running", name)
	}
	out, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(c.binary, args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	c.processes[name] = p
	return nil
}

// signal sends a signal to a running process.
func (c *cluster) signal(name string, sig syscall.Signal) error {
	c.mu.Lock()
	p, running := c.processes[name]
	c.mu.Unlock()
	if !running {
		return fmt.Errorf("%s is not running", name)
	}
	return p.cmd.Process.Signal(sig)
}

// wait waits for the exit of a process and returns its error.
func (c *cluster) wait(ctx context.Context, name string) error {
	c.mu.Lock()
	p, running := c.processes[name]
	c.mu.Unlock()
	if !running {
		return fmt.Errorf("%s is not running", name)
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		return fmt.Errorf("%s did not exit: %w", name, ctx.Err())
	}
	c.mu.Lock()
	delete(c.processes, name)
	c.mu.Unlock()
	return p.err
}

// close kills all processes and returns an error if the output of an instance shows a crash.
func (c *cluster) close() error {
	c.mu.Lock()
	names := make([]string, 0, len(c.processes))
	for name := range c.processes {
		names = append(names, name)
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), exitTimeout)
	defer cancel()
	for _, name := range names {
		_ = c.signal(name, syscall.SIGKILL)
		_ = c.wait(ctx, name)
	}
	return c.findCrashes()
}

// findCrashes returns an error for each kind of panic, fatal error or data race in the output of each
// instance.
func (c *cluster) findCrashes() error {
	var errs []error
	for _, in := range c.instances {
		data, err := os.ReadFile(filepath.Join(c.dir, in.ID+".log"))
		if err != nil {
			continue
		}
		for _, marker := range []string{"panic:", "fatal error:", "DATA RACE", "service panicked"} {
			if strings.Contains(string(data), marker) {
				errs = append(errs, fmt.Errorf("%s: output contains %s", in.ID, marker))
			}
		}
	}
	return errors.Join(errs...)
}

// findBinary returns the path of the oleanderbend command that testscript put on PATH.
func findBinary(ts *testscript.TestScript) string {
	for _, dir := range filepath.SplitList(ts.Getenv("PATH")) {
		path := filepath.Join(dir, "oleanderbend")
		if _, err := os.Stat(path); err == nil {
			return path
		}
	}
	ts.Fatalf("oleanderbend is not on PATH")
	return ""
}
