package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// bed is a small deployment: the stand-ins of the platform, and instances as separate processes.
type bed struct {
	dir       string
	rec       *recorder
	store     *store
	storeAddr string
	fleet     *fleet
	cloud     *cloud
	instances []*instance
	version   int
	ready     atomic.Bool
	routes    []map[string]any
	keys      []string
}

type instance struct {
	bed             *bed
	name, ip        string
	front, settings string
	mu              sync.Mutex
	cmd             *exec.Cmd
	exited          chan struct{}
	wanted          bool
}

func listen(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("listen: %v", err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// freePorts returns the first of n consecutive ports that are free at all addresses.
func freePorts(ips []string, n int) int {
	for base := 20000 + os.Getpid()%12000; base < 32700; base += n {
		free := true
		for _, ip := range ips {
			for p := base; p < base+n && free; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			return base
		}
	}
	fatal("no free ports")
	return 0
}

// newBed starts the stand-ins and the instances.
func newBed(dir string, instances int) *bed {
	temp, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fatal("%v", err)
	}
	b := &bed{dir: temp, rec: newRecorder(dir), store: newStore(), keys: []string{"key-one", "key-two"}}
	b.storeAddr = listen(b.store.handler())
	b.fleet = newFleet(b.store, b.rec)
	b.cloud = &cloud{bed: b, machines: make(map[string]*machine)}
	cloudAddr := listen(b.cloud)
	var ips []string
	// Each process of the stand-in has loopback addresses of its own, so that several can run at a time.
	pid := os.Getpid()
	for i := range instances {
		ips = append(ips, fmt.Sprintf("127.%d.%d.%d", 10+pid/250%200, pid%250, 11+i))
	}
	base := freePorts(ips, 20)
	for i, ip := range ips {
		in := &instance{bed: b, name: fmt.Sprintf("frontend-z0-%d", i+1), ip: ip, front: fmt.Sprintf("%s:%d", ip, base)}
		settings := map[string]any{
			"NodeName": in.name, "Role": "instance", "MachineClass": "frontend", "Serves": []string{"frontend"}, "Ip": ip,
			"Zone": "z0", "Region": "r", "Zones": map[string]string{"z0": "r"},
			"ListenAddrs":   map[string]string{"Front": in.front, "ReadyAddr": fmt.Sprintf("%s:%d", ip, base+1), "Control": fmt.Sprintf("%s:%d", ip, base+2)},
			"InternalPorts": []int{base + 3, base + 18}, "SeedNodes": []string{}, "Bootstrap": true, "InTolerance": false,
			"Limits":  map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
			"DataDir": nil, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1500,
			"Bounds": map[string]any{
				"ContactMs": 3000, "AckTimeoutMs": 4000, "DrainMs": 2000, "GracePeriodS": 6, "MaxHoldMs": 6000, "StopTimeoutMs": 200,
				"GangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "status_s": 120, "RemoteSlowdown": 3, "RequireFencing": true,
				"LeaseMs": 3000, "RevokeMs": 5000, "ConfigApplyMs": 2000, "UpkeepS": 2, "NoticeMs": 4500,
			},
			"CommandMode": "invocation",
			"platform":    map[string]any{"Address": b.storeAddr, "form": "log", "WritesPerS": 600, "ReadsPerS": 2000, "parts": 8, "AppendMs": 4.0, "keep_s": 300},
			"CloudApi":    map[string]any{"Address": cloudAddr, "RatePerS": 60.0, "Duties": []string{}, "DutyPerS": 60.0},
		}
		data, _ := json.Marshal(settings)
		in.settings = filepath.Join(temp, in.name+".json")
		if err := os.WriteFile(in.settings, data, 0o600); err != nil {
			fatal("%v", err)
		}
		b.instances = append(b.instances, in)
	}
	b.routes = []map[string]any{b.route("urgent", 0, 4), b.route("plain", 1, 2), b.route("bulk", 2, 4)}
	b.publish()
	atExit = append(atExit, b.close)
	return b
}

func (b *bed) route(name string, priority, attempts int) map[string]any {
	return map[string]any{
		"Name": name, "Host": "jobs.example", "PathPrefix": "/" + name + "/", "Type": "unsafe", "TimeoutMs": 3000, "TargetLatencyMs": 1000,
		"Priority": priority, "Service": "pool", "MaxAttempts": attempts, "Stretch": 3.0, "Public": false,
	}
}

// publish writes the next version of the configuration.
func (b *bed) publish() {
	b.version += 2
	b.store.put("keyed.op", "config", map[string]any{
		"Version": b.version, "Routes": b.routes,
		"Services": []any{map[string]any{"Name": "pool", "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1", "EnforcesCapacity": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "tenant", "ApiKeys": b.keys, "Guaranteed": map[string]any{"Gpu": 8}}},
	})
}

func (b *bed) startAll() {
	for _, in := range b.instances {
		in.start()
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, in := range b.instances {
		for {
			if status, _ := in.call("GET", "/plain/", "", time.Second); status == 200 {
				break
			}
			if time.Now().After(deadline) {
				fatal("instances do not become ready")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	b.ready.Store(true)
}

func (in *instance) start() {
	in.mu.Lock()
	defer in.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(in.bed.dir, in.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("%v", err)
	}
	cmd := exec.Command("target/oleanderbend", "instance")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "OLEANDERBEND_NODE_FILE=" + in.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		fatal("start instance: %v", err)
	}
	in.cmd, in.wanted, in.exited = cmd, true, make(chan struct{})
	in.bed.rec.logf("%s started, process %d", in.name, cmd.Process.Pid)
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		in.mu.Lock()
		own := in.wanted && in.cmd == cmd
		in.mu.Unlock()
		if own && !in.bed.ready.Load() {
			fatal("%s cannot start: %s", in.name, cmd.ProcessState)
		}
		if own {
			in.bed.rec.violation("Fault: the process of %s ended by itself: %s", in.name, cmd.ProcessState)
		}
		log.Close()
		close(exited)
	}(in.exited)
}

// signal sends a signal; after SIGKILL and SIGTERM the end of the process is expected.
func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		in.wanted = false
	}
	in.bed.rec.logf("%s gets %s", in.name, s)
	_ = in.cmd.Process.Signal(s)
}

func (in *instance) kill() {
	in.signal(syscall.SIGKILL)
	<-in.exited
}

func (b *bed) byName(name string) *instance {
	for _, in := range b.instances {
		if in.name == name {
			return in
		}
	}
	return nil
}

func (b *bed) close() {
	for _, in := range b.instances {
		in.mu.Lock()
		in.wanted = false
		cmd, exited := in.cmd, in.exited
		in.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGKILL)
			<-exited
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("logs in", b.dir)
	}
}

// call makes one call as a client. Status 0 means that there was no complete answer.
func (in *instance) call(method, path, body string, timeout time.Duration) (status int, answer string) {
	return in.callWithKey(method, path, body, "key-one", timeout)
}

func (in *instance) callWithKey(method, path, body, key string, timeout time.Duration) (status int, answer string) {
	request, err := http.NewRequest(method, "http://"+in.front+path, bytes.NewReader([]byte(body)))
	if err != nil {
		fatal("%v", err)
	}
	request.Host = "jobs.example"
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Deadline", fmt.Sprint(timeout.Milliseconds()))
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

// submit hands a job in and records the answer.
func (in *instance) submit(queue, id, steps string) int {
	status, text := in.call("POST", "/"+queue+"/"+id, `{"Spec":"`+specOf(steps)+`","Steps":`+stepsOf(steps)+`}`, 3*time.Second)
	in.bed.rec.logf("client: POST %s/%s at %s -> %d %s", queue, id, in.name, status, text)
	return status
}

// cancel cancels a job and records the answer.
func (in *instance) cancel(queue, id string) int {
	status, text := in.call("DELETE", "/"+queue+"/"+id, "", 3*time.Second)
	in.bed.rec.logf("client: DELETE %s/%s at %s -> %d %s", queue, id, in.name, status, text)
	return status
}

// state asks for a job's state and records the answer.
func (in *instance) state(queue, id string) (int, string) {
	status, text := in.call("GET", "/"+queue+"/"+id, "", 3*time.Second)
	in.bed.rec.logf("client: GET %s/%s at %s -> %d %s", queue, id, in.name, status, text)
	var body struct{ State string }
	_ = json.Unmarshal([]byte(text), &body)
	return status, body.State
}

// A job of one step is written as "SPEC|STEP", with the step in JSON.
func specOf(text string) string {
	before, _, _ := bytes.Cut([]byte(text), []byte("|"))
	return string(before)
}

func stepsOf(text string) string {
	_, after, _ := bytes.Cut([]byte(text), []byte("|"))
	return "[" + string(after) + "]"
}
