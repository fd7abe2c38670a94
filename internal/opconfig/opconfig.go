// Package opconfig holds the operator's configuration as the system uses it: queues,
// organisations with their keys and guarantees, and the limit of a request's body.
package opconfig

import (
	"strings"
	"time"
)

// Advice says how long the advice service of a queue takes, and how long its answers hold.
type Advice struct {
	BaseLatency      time.Duration
	LatencyPerWorker time.Duration
	TicketValidity   time.Duration
}

// Queue is a route whose requests are jobs.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Service is the pool of workers that runs the queue's tasks.
	Service string
	// Priority orders queues; 0 comes first and may preempt others.
	Priority int
	// MaxAttempts bounds the failed runs of a task or gang.
	MaxAttempts int
	// Stretch times the longest chain of work, plus Target, is the objective of a job.
	Stretch float64
	Target  time.Duration
	Timeout time.Duration
	// Public queues take calls without a key.
	Public bool
	// Advice is nil on queues without an advice service.
	Advice *Advice
}

// Org is an organisation.
type Org struct {
	Name string
	Keys []string
	// GuaranteedGPU is the number of accelerators that belong to its jobs of priority 0.
	GuaranteedGPU int64
}

// Config is one version of the configuration. It is not changed once published.
type Config struct {
	Version int64
	Queues  []Queue
	Orgs    []Org
	// MaxBodyBytes bounds the body of a request; 0 if the operator sets no limit.
	MaxBodyBytes int64

	byName map[string]*Queue
	byKey  map[string]string
	orgs   map[string]*Org
	hosts  map[string][]*Queue
}

// BuildIndexes prepares the look-ups of a decoded configuration.
func (c *Config) BuildIndexes() {
	c.byName = make(map[string]*Queue, len(c.Queues))
	c.byKey = make(map[string]string)
	c.orgs = make(map[string]*Org, len(c.Orgs))
	c.hosts = make(map[string][]*Queue)
	for i := range c.Queues {
		q := &c.Queues[i]
		c.byName[q.Name] = q
		host := strings.ToLower(q.Host)
		c.hosts[host] = append(c.hosts[host], q)
	}
	for i := range c.Orgs {
		o := &c.Orgs[i]
		c.orgs[o.Name] = o
		for _, key := range o.Keys {
			c.byKey[key] = o.Name
		}
	}
}

// Queue finds a queue by name, or nil.
func (c *Config) Queue(name string) *Queue { return c.byName[name] }

// Org finds an organisation by name, or nil.
func (c *Config) Org(name string) *Org { return c.orgs[name] }

// OrgOfKey finds the organisation that holds a key.
func (c *Config) OrgOfKey(key string) (string, bool) {
	org, ok := c.byKey[key]
	return org, ok
}

// Route finds the queue with the longest prefix of path on host, or nil.
func (c *Config) Route(host, path string) *Queue {
	var best *Queue
	for _, q := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}
