// Package opconfig defines the decoded configuration of the operator: queues, organisations with
// their keys and guarantees, and the limits of requests.
package opconfig

import (
	"strings"
	"time"
)

// AdviceService describes the advice service of a queue. A call takes BaseLatency, plus LatencyPerWorker
// for each worker that it names.
type AdviceService struct {
	BaseLatency      time.Duration
	LatencyPerWorker time.Duration
	// TicketValidity is how long the tickets in a response are valid.
	TicketValidity time.Duration
}

// Queue is a queue as the operator configures it: it selects requests for jobs by host and path, and sets
// the rules for its jobs.
type Queue struct {
	Name string
	// Host and Prefix select the requests of the queue by host name and path prefix.
	Host   string
	Prefix string
	// Service is the name of the group of workers that runs the queue's tasks.
	Service string
	// Priority orders queues; 0 is the most urgent.
	Priority int
	// MaxFailedRuns is the number of failed runs of a task or gang at which its job fails; 0 for no
	// limit. It does not apply to long-running tasks.
	MaxFailedRuns int
	// DurationFactor and DurationOffset give the objective for the duration of a job: DurationFactor
	// times the estimated duration of its longest chain of dependent steps, plus DurationOffset.
	DurationFactor float64
	DurationOffset time.Duration
	// Timeout is the maximum time for responding to a request; 0 if the queue sets no limit.
	Timeout time.Duration
	// Public queues accept requests without an API key.
	Public bool
	// Advice is nil on queues without an advice service.
	Advice *AdviceService
}

// Org is an organisation.
type Org struct {
	Name string
	// Keys are the API keys of the organisation.
	Keys []string
	// GuaranteedGPU is the number of accelerators guaranteed to its jobs of priority 0.
	GuaranteedGPU int64
}

// Config is one version of the configuration. It must not be changed after BuildIndexes, because goroutines
// share it.
type Config struct {
	Version int64
	Queues  []Queue
	Orgs    []Org
	// MaxBodyBytes is the maximum size of a request body; 0 if the operator sets no limit.
	MaxBodyBytes int64
	// MaxHeaderBytes is the maximum size of the header of a request, HeaderTimeout the time within which it must
	// arrive, and IdleTimeout the time after which a connection without a request is closed; 0 if the operator
	// sets no limit.
	MaxHeaderBytes             int64
	HeaderTimeout, IdleTimeout time.Duration

	queueByName  map[string]*Queue
	orgByKey     map[string]string
	orgByName    map[string]*Org
	queuesByHost map[string][]*Queue
}

// BuildIndexes builds the lookup maps. It must be called once, before any of the other methods.
func (c *Config) BuildIndexes() {
	c.queueByName = make(map[string]*Queue, len(c.Queues))
	c.orgByKey = make(map[string]string)
	c.orgByName = make(map[string]*Org, len(c.Orgs))
	c.queuesByHost = make(map[string][]*Queue)
	for i := range c.Queues {
		q := &c.Queues[i]
		c.queueByName[q.Name] = q
		host := strings.ToLower(q.Host)
		c.queuesByHost[host] = append(c.queuesByHost[host], q)
	}
	for i := range c.Orgs {
		o := &c.Orgs[i]
		c.orgByName[o.Name] = o
		for _, key := range o.Keys {
			c.orgByKey[key] = o.Name
		}
	}
}

// Queue returns the queue with a name, or nil.
func (c *Config) Queue(name string) *Queue { return c.queueByName[name] }

// Org returns the organisation with a name, or nil.
func (c *Config) Org(name string) *Org { return c.orgByName[name] }

// OrgOfKey returns the name of the organisation that an API key belongs to; false if the key is unknown.
func (c *Config) OrgOfKey(key string) (string, bool) {
	org, ok := c.orgByKey[key]
	return org, ok
}

// Route returns the queue of the host whose path prefix is the longest match for path, or nil.
func (c *Config) Route(host, path string) *Queue {
	var best *Queue
	for _, q := range c.queuesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}
