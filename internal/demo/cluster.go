package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/instance"
	"github.com/oleanderbend/oleanderbend/internal/loopback"
	"github.com/oleanderbend/oleanderbend/internal/settings"
	"github.com/oleanderbend/oleanderbend/internal/standin"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

const (
	instanceCount  = 6
	workersPerZone = 8
	targetsPerZone = 4
	peerKey        = "demo shared key of six instances"
	stopTimeout    = 10 * time.Second
	// logRetention and logAppendsPerSecond are the defaults of standin.LogConfig.
	logRetention        = time.Hour
	logAppendsPerSecond = 300
	// instanceListLag is the delay until a change appears in the list of instances.
	instanceListLag       = 500 * time.Millisecond
	workersPerRack        = 4
	acceleratorsPerWorker = 8
)

var zones = []string{"nb-1", "nb-2", "nb-3"}

// cluster contains the stand-ins and the instances of one demonstration.
type cluster struct {
	standins  *standin.Server
	instances []*demoInstance
}

// demoInstance is one instance that runs in this process.
type demoInstance struct {
	settings settings.Serve
	instance *instance.Instance
	// stop starts a graceful stop, abort ends it early.
	stop  context.CancelFunc
	abort context.CancelFunc
	done  chan error

	mu      sync.Mutex
	stopped bool
}

// startCluster starts the stand-ins and all instances. The instances write their log lines to
// logs.
func startCluster(logs io.Writer) (*cluster, error) {
	standins, err := standin.Start(standinSettings())
	if err != nil {
		return nil, err
	}
	c := &cluster{standins: standins}
	all, err := instanceSettings(standins)
	if err != nil {
		c.close()
		return nil, err
	}
	for _, s := range all {
		n, err := startInstance(s, logs)
		if err != nil {
			c.close()
			return nil, err
		}
		c.instances = append(c.instances, n)
	}
	return c, nil
}

func startInstance(s settings.Serve, logs io.Writer) (*demoInstance, error) {
	i, err := instance.New(s, logs, instance.WithNoEarlierKeys())
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	abortCtx, abort := context.WithCancel(context.Background())
	n := &demoInstance{settings: s, instance: i, stop: stop, abort: abort, done: make(chan error, 1)}
	go func() { n.done <- i.Run(ctx, abortCtx) }()
	return n, nil
}

// kill stops an instance and ends its graceful stop early, by abort. The process continues.
func (n *demoInstance) kill() error {
	n.abort()
	return n.shutdown()
}

// shutdown stops an instance gracefully and waits until it has ended, with n.mu locked. It returns
// the error with which the instance ended, or nil if it was already stopped.
func (n *demoInstance) shutdown() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return nil
	}
	n.stopped = true
	n.stop()
	return <-n.done
}

// isLive reports whether the instance has not been stopped or killed. During a stop it blocks until
// the instance has ended.
func (n *demoInstance) isLive() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.stopped
}

func (c *cluster) liveInstances() []*demoInstance {
	var live []*demoInstance
	for _, n := range c.instances {
		if n.isLive() {
			live = append(live, n)
		}
	}
	return live
}

// leader returns the live instance that leads a zone, or nil.
func (c *cluster) leader(zone string) *demoInstance {
	for _, n := range c.liveInstances() {
		if n.instance.Leads(zone) {
			return n
		}
	}
	return nil
}

// timeline returns the events of all instances, merged by time.
func (c *cluster) timeline() []timeline.Event {
	var eventLists [][]timeline.Event
	for _, n := range c.instances {
		eventLists = append(eventLists, n.instance.Events())
	}
	return timeline.Merge(eventLists...)
}

// close kills the live instances and stops the stand-ins.
func (c *cluster) close() {
	for _, n := range c.instances {
		_ = n.kill()
	}
	c.standins.Close()
}

func standinSettings() settings.Standin {
	const anyPort = "127.0.0.1:0"
	s := settings.Standin{
		Name: "demo", ControlAddr: anyPort, LogAddr: anyPort, InstancesAddr: anyPort,
		WorkersAddr: anyPort, TargetsAddr: anyPort,
		InstancesLag: settings.Duration(instanceListLag), UsageLag: settings.Duration(time.Second),
		Log:    settings.StandinLog{Retention: settings.Duration(logRetention), AppendsPerSecond: logAppendsPerSecond},
		Worker: settings.StandinWorker{Cores: 64, MemoryMB: 128 << 10, Accelerators: acceleratorsPerWorker, PerRack: workersPerRack},
		Target: settings.StandinTarget{Slots: 8, Connections: 64},
	}
	for _, zone := range zones {
		s.Zones = append(s.Zones, settings.StandinZone{
			Name: zone, Region: "norrbotten", Workers: workersPerZone, Targets: targetsPerZone,
		})
	}
	return s
}

func instanceSettings(standins *standin.Server) ([]settings.Serve, error) {
	addrs, err := loopback.FreeAddrs(3 * instanceCount)
	if err != nil {
		return nil, err
	}
	all := make([]settings.Serve, instanceCount)
	for i := range all {
		all[i] = settings.Serve{
			ID: fmt.Sprintf("n%d", i+1), Region: "norrbotten", Zone: zones[i%len(zones)],
			CallerAddr: addrs[3*i], OperatorAddr: addrs[3*i+1], PeerAddr: addrs[3*i+2],
			PeerKey:     peerKey,
			Platform:    settings.Platform{LogURL: standins.LogURL, InstancesURL: standins.InstancesURL},
			StopTimeout: settings.Duration(stopTimeout), LogLevel: "info",
		}
	}
	for i := range all {
		for j, other := range all {
			if i == j {
				continue
			}
			all[i].Peers = append(all[i].Peers, settings.Peer{
				ID: other.ID, Addr: other.PeerAddr, OperatorAddr: other.OperatorAddr, Zone: other.Zone, Region: other.Region,
			})
		}
	}
	return all, nil
}
