// Package scenarios runs scripts against separate processes of the real command: one process
// for the platform's stand-ins and one for each instance. README.md lists the script commands.
package scenarios

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/api"
	"github.com/oleanderbend/oleanderbend/internal/cli"
	"github.com/oleanderbend/oleanderbend/internal/platform"
)

const (
	// settleTimeout bounds the wait for a condition of the cluster. It is long because the machine may
	// be loaded; it is not a requirement on the system.
	settleTimeout = 60 * time.Second
	pollPeriod    = 50 * time.Millisecond
	// pollTimeout bounds one request to an instance, which may be frozen.
	pollTimeout = time.Second
)

var pollClient = &http.Client{Timeout: pollTimeout}

// clusterKey is the key of the clusterHolder in the values of a script.
type clusterKey struct{}

// clusterHolder refers to the cluster of a script. It exists before the script's cluster command
// creates the cluster.
type clusterHolder struct{ cluster *cluster }

// crashed is set if the output of an instance shows a crash.
var crashed atomic.Bool

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"oleanderbend": func() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// Guards against the failures that the first lines of the scripts describe.
func TestScenarios(t *testing.T) {
	t.Cleanup(func() { require.False(t, crashed.Load(), "an instance crashed") })
	testscript.Run(t, testscript.Params{
		Dir: ".",
		Setup: func(env *testscript.Env) error {
			env.Values[clusterKey{}] = &clusterHolder{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"cluster":    cmdCluster,
			"start":      cmdStart,
			"crash":      signalCommand(syscall.SIGKILL),
			"term":       signalCommand(syscall.SIGTERM),
			"freeze":     signalCommand(syscall.SIGSTOP),
			"thaw":       signalCommand(syscall.SIGCONT),
			"ended":      cmdEnded,
			"fault":      cmdFault,
			"mark":       cmdMark,
			"leader":     cmdLeader,
			"eventually": cmdEventually,
			"during":     cmdDuring,
			"request":    cmdRequest,
			"outcome":    cmdOutcome,
			"executed":   cmdExecuted,
			"gangs-ok":   cmdGangsOK,
			"subst":      cmdSubst,
			"race":       cmdRace,
		},
	})
}

func clusterOf(ts *testscript.TestScript) *cluster {
	holder := ts.Value(clusterKey{}).(*clusterHolder)
	if holder.cluster == nil {
		ts.Fatalf("no cluster; the script must begin with the cluster command")
	}
	return holder.cluster
}

// cmdCluster starts the stand-ins and N instances: cluster N [key=value...].
func cmdCluster(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	options := parseOptions(ts, args[1:])
	zones := strings.Split(valueOr(options, "zones", "a,b,c"), ",")
	size := fleetSize{Retention: valueOr(options, "retention", "1h")}
	size.Workers, err = strconv.Atoi(valueOr(options, "workers", "4"))
	ts.Check(err)
	size.Targets, err = strconv.Atoi(valueOr(options, "targets", "2"))
	ts.Check(err)
	c, err := newCluster(ts.MkAbs("."), findBinary(ts), n, zones)
	ts.Check(err)
	holder := ts.Value(clusterKey{}).(*clusterHolder)
	holder.cluster = c
	ts.Defer(func() {
		if err := c.close(); err != nil {
			ts.Logf("crash: %v", err)
			crashed.Store(true)
		}
	})
	ts.Check(c.writeStandinSettings(zones, size))
	ts.Check(c.writeSettings())
	ts.Check(c.start("standin", "standin", "--config", c.settingsFile("standin")))
	var operators []string
	for _, in := range c.instances {
		operators = append(operators, in.Operator)
		ts.Setenv(in.ID, in.Operator)
		// Wait until the stand-ins respond. Only the first instance has to wait.
		ts.Check(waitFor(func() error { return c.control(http.MethodGet, "/faults/", nil, nil) }))
		ts.Check(c.start(in.ID, "serve", "--first-start", "--config", c.settingsFile(in.ID)))
	}
	ts.Setenv("SERVERS", strings.Join(operators, ","))
	ts.Setenv("CONTROL", c.standin.ControlURL)
	ts.Setenv("CALLERS", c.callerList())
	for _, in := range c.instances {
		ts.Check(waitFor(func() error { return ready(in) }))
	}
	for _, zone := range zones {
		ts.Check(waitFor(func() error {
			_, err := c.leader(zone)
			return err
		}))
	}
}

// cmdStart starts an instance that has exited: start ID.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	c := clusterOf(ts)
	ts.Check(c.start(args[0], "serve", "--config", c.settingsFile(args[0])))
}

func signalCommand(sig syscall.Signal) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		c := clusterOf(ts)
		for _, name := range args {
			ts.Check(c.signal(name, sig))
			if sig == syscall.SIGKILL {
				ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
				_ = c.wait(ctx, name)
				cancel()
			}
		}
	}
}

// cmdEnded waits until an instance has exited with exit code 0: ended ID.
func cmdEnded(ts *testscript.TestScript, _ bool, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	ts.Check(clusterOf(ts).wait(ctx, args[0]))
}

// cmdFault sets or clears faults of the stand-ins: fault PATH JSON, or ! fault PATH.
func cmdFault(ts *testscript.TestScript, neg bool, args []string) {
	c := clusterOf(ts)
	if neg {
		ts.Check(c.control(http.MethodDelete, "/faults/"+args[0], nil, nil))
		return
	}
	ts.Check(c.control(http.MethodPut, "/faults/"+args[0], []byte(args[1]), nil))
}

// cmdMark sets the state of an instance in the platform's list: mark ID live|leaving.
func cmdMark(ts *testscript.TestScript, _ bool, args []string) {
	body, err := json.Marshal(map[string]string{"state": args[1]})
	ts.Check(err)
	ts.Check(clusterOf(ts).control(http.MethodPut, "/instances/"+args[0], body, nil))
}

// cmdLeader waits until a zone has a leader, other than ID if given, and stores its id in a variable:
// leader ZONE VAR [not ID].
func cmdLeader(ts *testscript.TestScript, _ bool, args []string) {
	c := clusterOf(ts)
	unwanted := ""
	if len(args) == 4 {
		unwanted = args[3]
	}
	ts.Check(waitFor(func() error {
		leader, err := c.leader(args[0])
		if err == nil && leader == unwanted {
			err = fmt.Errorf("zone %s is still led by %s", args[0], leader)
		}
		if err == nil {
			ts.Setenv(args[1], leader)
		}
		return err
	}))
}

// cmdEventually repeats a command until its output matches: eventually REGEXP COMMAND...
func cmdEventually(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile(args[0])
	binary := findBinary(ts)
	ts.Check(waitFor(func() error {
		out, err := runCommand(ts, binary, args[1:])
		if !pattern.MatchString(out) {
			return fmt.Errorf("%s: no match for %s (%v) in %s", strings.Join(args[1:], " "), args[0], err, out)
		}
		return nil
	}))
}

// cmdDuring repeats a command for a duration and checks that its output always matches:
// during DURATION REGEXP COMMAND...
// With ! it checks that the output never matches.
func cmdDuring(ts *testscript.TestScript, neg bool, args []string) {
	length, err := time.ParseDuration(args[0])
	ts.Check(err)
	pattern := regexp.MustCompile(args[1])
	binary := findBinary(ts)
	for deadline := time.Now().Add(length); time.Now().Before(deadline); time.Sleep(pollPeriod) {
		out, _ := runCommand(ts, binary, args[2:])
		if pattern.MatchString(out) == neg {
			ts.Fatalf("%s: match for %s is %t in %s", strings.Join(args[2:], " "), args[1], !neg, out)
		}
	}
}

func runCommand(ts *testscript.TestScript, binary string, args []string) (string, error) {
	if len(args) > 0 && args[0] == "oleanderbend" {
		args = args[1:]
	}
	cmd := exec.Command(binary, args...)
	cmd.Dir = ts.MkAbs(".")
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// cmdRequest sends a request in the background: request NAME INSTANCE [key=value...].
func cmdRequest(ts *testscript.TestScript, _ bool, args []string) {
	c := clusterOf(ts)
	p, err := c.sendRequest(args[1], parseOptions(ts, args[2:]))
	ts.Check(err)
	c.requests[args[0]] = p
}

// cmdOutcome waits until a request has ended and checks that its result begins with a match of the
// pattern: outcome NAME REGEXP.
func cmdOutcome(ts *testscript.TestScript, neg bool, args []string) {
	p, found := clusterOf(ts).requests[args[0]]
	if !found {
		ts.Fatalf("no request %q", args[0])
	}
	<-p.done
	if regexp.MustCompile("^("+args[1]+")").MatchString(p.result) == neg {
		ts.Fatalf("request %s ended with %q, want match %s is %t", args[0], p.result, args[1], !neg)
	}
}

// cmdExecuted checks the number of times that the targets ran a request: executed ID COUNT.
func cmdExecuted(ts *testscript.TestScript, _ bool, args []string) {
	n, err := clusterOf(ts).executed(args[0])
	ts.Check(err)
	if strconv.Itoa(n) != args[1] {
		ts.Fatalf("request %s ran %d times, want %s", args[0], n, args[1])
	}
}

// cmdGangsOK checks that no gang ran partially for longer than partialBound and no member of an
// attempt ran twice: gangs-ok.
func cmdGangsOK(ts *testscript.TestScript, _ bool, _ []string) {
	ts.Check(clusterOf(ts).checkGangs())
}

// cmdRace applies files at the same time, each through a different instance: race FILE...
// Each apply may be accepted or rejected, but its outcome must not be unknown.
func cmdRace(ts *testscript.TestScript, _ bool, args []string) {
	c := clusterOf(ts)
	binary := findBinary(ts)
	codes := make([]int, len(args))
	var wg sync.WaitGroup
	for i, file := range args {
		server := c.instances[i%len(c.instances)].Operator
		wg.Go(func() {
			var exit *exec.ExitError
			if _, err := runCommand(ts, binary, []string{"apply", "--server", server, "-f", file}); errors.As(err, &exit) {
				codes[i] = exit.ExitCode()
			}
		})
	}
	wg.Wait()
	for i, code := range codes {
		if code != cli.ExitOK && code != cli.ExitFailure {
			ts.Fatalf("apply of %s ended with exit code %d", args[i], code)
		}
	}
}

// cmdSubst replaces ${NAME} in a file with the script's variable NAME: subst FILE.
func cmdSubst(ts *testscript.TestScript, _ bool, args []string) {
	path := ts.MkAbs(args[0])
	data, err := os.ReadFile(path)
	ts.Check(err)
	ts.Check(os.WriteFile(path, []byte(os.Expand(string(data), ts.Getenv)), 0o600))
}

func parseOptions(ts *testscript.TestScript, args []string) map[string]string {
	options := make(map[string]string)
	for _, arg := range args {
		key, value, found := strings.Cut(arg, "=")
		if !found {
			ts.Fatalf("%q is not key=value", arg)
		}
		options[key] = value
	}
	return options
}

func valueOr(options map[string]string, key, fallback string) string {
	if value, found := options[key]; found {
		return value
	}
	return fallback
}

// waitFor repeats check until it returns nil or settleTimeout has passed, and returns its last error.
func waitFor(check func() error) error {
	deadline := time.Now().Add(settleTimeout)
	for {
		err := check()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollPeriod)
	}
}

func ready(in instance) error {
	res, err := pollClient.Get("http://" + in.Operator + "/-/ready")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", in.ID, res.Status)
	}
	return nil
}

// leader returns the holder of the newest epoch of a zone that is known to an instance that responds.
func (c *cluster) leader(zone string) (string, error) {
	var newest platform.Epoch
	for _, in := range c.instances {
		res, err := pollClient.Get("http://" + in.Operator + "/v1/instances")
		if err != nil {
			continue
		}
		var list api.Instances
		err = json.NewDecoder(res.Body).Decode(&list)
		res.Body.Close()
		if err != nil {
			continue
		}
		for _, m := range list.Members {
			if epoch := m.Info.Epochs[zone]; epoch.Compare(newest) > 0 {
				newest = epoch
			}
		}
	}
	if newest.Holder == "" {
		return "", fmt.Errorf("zone %s has no leader", zone)
	}
	return newest.Holder, nil
}
