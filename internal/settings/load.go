package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"
)

// Load holds the settings of the load command, which sends generated requests to instances or
// targets.
type Load struct {
	Name string `toml:"name"`
	// Seed is the random seed for the arrival times and the choice of the instance for each
	// request.
	Seed uint64 `toml:"seed"`
	// Duration is the time during which requests arrive; at most one hour.
	Duration Duration `toml:"duration"`
	// MaxRequests is the maximum number of requests of the run. Settings are rejected
	// if their flows are expected to send more.
	MaxRequests int `toml:"max_requests"`
	// MaxInFlight is the maximum number of requests in flight per flow; default 1000. Further
	// arrivals wait, and their waiting time counts as latency.
	MaxInFlight int `toml:"max_in_flight"`
	// Timeout is the timeout of each request; default 30s.
	Timeout Duration `toml:"timeout"`
	// Settle is the wait after the last outcome, before it is checked which requests the targets
	// ran; default 1s.
	Settle Duration `toml:"settle"`
	// URLs are the base URLs of the instances in the form http://IP:port.
	URLs []string `toml:"urls"`
	// Direct is set if URLs are targets instead of instances. Responses of targets have no
	// outcome header.
	Direct bool `toml:"direct"`
	// ControlURL is the base URL of the stand-ins' control API, which reports the requests that
	// the targets ran.
	ControlURL string `toml:"control_url"`
	// Unverified allows a run without ControlURL, which cannot verify what the targets ran.
	Unverified bool       `toml:"unverified"`
	Flows      []LoadFlow `toml:"flows"`
}

// LoadFlow describes the requests of one kind that one caller sends.
type LoadFlow struct {
	Organisation string `toml:"organisation"`
	Caller       string `toml:"caller"`
	Kind         string `toml:"kind"`
	// Rate is the mean number of arrivals per second.
	Rate float64 `toml:"rate"`
	// Even selects evenly spaced arrivals instead of a Poisson process.
	Even bool `toml:"even"`
	// Start and Stop are the begin and the end of the flow, counted from the start of the run.
	// Stop defaults to the end of the run.
	Start Duration `toml:"start"`
	Stop  Duration `toml:"stop"`
	// ServiceTime is the time that the stand-in target takes for a request, and ResponseBytes the
	// size of its response.
	ServiceTime   Duration `toml:"service"`
	ResponseBytes int64    `toml:"answer_bytes"`
	BodyBytes     int      `toml:"body_bytes"`
	// Urgency is 0 (most urgent) to 7, as in RFC 9218; default 3.
	Urgency *int `toml:"urgency"`
	// Deadline is sent with each request; 0 means that none is sent.
	Deadline   Duration `toml:"deadline"`
	Idempotent bool     `toml:"idempotent"`
	// WithIdempotencyKey is set if each request has its own Idempotency-Key header.
	WithIdempotencyKey bool `toml:"key"`
	// Resend is "never" (default), "unknown" to send a request whose outcome is unknown once
	// more to another instance, or "always" to send each request to two instances at once.
	Resend string `toml:"resend"`
}

// Values of LoadFlow.Resend.
const (
	ResendNever   = "never"
	ResendUnknown = "unknown"
	ResendAlways  = "always"
)

// Defaults and bounds of a load run.
const (
	defaultMaxInFlight = 1000
	defaultTimeout     = 30 * time.Second
	defaultSettle      = time.Second
	defaultUrgency     = 3
	maxUrgency         = 7
	maxLoadDuration    = time.Hour
	maxLoadRequests    = 1_000_000
	maxLoadInFlight    = 20_000
	maxLoadBodyBytes   = 16 << 20
)

// ReadLoad reads and validates the settings of a load run. Invalid content is reported as an
// *Error. Addresses other than loopback are rejected unless allowRemote is set.
func ReadLoad(file string, allowRemote bool) (Load, error) {
	var l Load
	err := readAndCheck(file, &l, func() []Problem {
		l.setDefaults()
		return l.check(allowRemote)
	})
	if err != nil {
		return Load{}, err
	}
	return l, nil
}

func (l *Load) setDefaults() {
	setDefault(&l.MaxInFlight, defaultMaxInFlight)
	setDefault(&l.Timeout, Duration(defaultTimeout))
	setDefault(&l.Settle, Duration(defaultSettle))
	for i := range l.Flows {
		flow := &l.Flows[i]
		setDefault(&flow.Stop, l.Duration)
		setDefault(&flow.Resend, ResendNever)
		if flow.Urgency == nil {
			flow.Urgency = new(int)
			*flow.Urgency = defaultUrgency
		}
	}
}

func (l Load) check(allowRemote bool) []Problem {
	var p problems
	p.require(l.Name != "", "name", "must be set")
	p.requireBetween("duration", time.Duration(l.Duration), time.Millisecond, maxLoadDuration)
	p.require(l.MaxRequests > 0 && l.MaxRequests <= maxLoadRequests, "max_requests", fmt.Sprintf("must be between 1 and %d", maxLoadRequests))
	p.require(l.MaxInFlight > 0 && l.MaxInFlight <= maxLoadInFlight, "max_in_flight", fmt.Sprintf("must be between 1 and %d", maxLoadInFlight))
	p.requireBetween("timeout", time.Duration(l.Timeout), time.Millisecond, maxLoadDuration)
	p.requireBetween("settle", time.Duration(l.Settle), 0, time.Minute)
	p.require(len(l.URLs) > 0, "urls", "must not be empty")
	for i, u := range l.URLs {
		p.checkLoadURL(fmt.Sprintf("urls[%d]", i), u, allowRemote)
	}
	if l.ControlURL != "" || !l.Unverified {
		p.checkLoadURL("control_url", l.ControlURL, allowRemote)
	}
	p.require(len(l.Flows) > 0, "flows", "must not be empty")
	total := 0.0
	for i, flow := range l.Flows {
		p.checkLoadFlow(fmt.Sprintf("flows[%d]", i), flow, l)
		total += flow.Rate * time.Duration(flow.Stop-flow.Start).Seconds()
	}
	p.require(total <= float64(l.MaxRequests), "flows", fmt.Sprintf("add up to %.0f requests on average, more than max_requests", total))
	return p
}

func (p *problems) checkLoadFlow(key string, f LoadFlow, l Load) {
	p.require(f.Organisation != "", key+".organisation", "must be set")
	p.require(f.Caller != "", key+".caller", "must be set")
	p.require(f.Kind != "", key+".kind", "must be set")
	p.require(f.Rate > 0, key+".rate", "must be positive")
	p.require(f.Start >= 0 && f.Start < f.Stop, key+".start", "must not be negative and must be before stop")
	p.require(f.Stop <= l.Duration, key+".stop", "must not be after duration")
	p.requireBetween(key+".service", time.Duration(f.ServiceTime), 0, maxLoadDuration)
	p.require(f.ResponseBytes >= 0, key+".answer_bytes", "must not be negative")
	p.require(f.BodyBytes >= 0 && f.BodyBytes <= maxLoadBodyBytes, key+".body_bytes", fmt.Sprintf("must be between 0 and %d", maxLoadBodyBytes))
	p.require(*f.Urgency >= 0 && *f.Urgency <= maxUrgency, key+".urgency", "must be between 0 and 7")
	p.requireBetween(key+".deadline", time.Duration(f.Deadline), 0, maxLoadDuration)
	switch f.Resend {
	case ResendNever, ResendUnknown, ResendAlways:
	default:
		p.require(false, key+".resend", "must be never, unknown or always")
	}
	p.require(f.Resend == ResendNever || f.Idempotent || f.WithIdempotencyKey, key+".key", "must be set to resend a request that is not idempotent")
}

func (p *problems) requireBetween(key string, d, low, high time.Duration) {
	p.require(d >= low && d <= high, key, fmt.Sprintf("must be between %v and %v", low, high))
}

func (p *problems) checkLoadURL(key, value string, allowRemote bool) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Path != "" || u.RawQuery != "" {
		p.require(false, key, "must be http://IP:port")
		return
	}
	addr, err := netip.ParseAddrPort(u.Host)
	switch {
	case err != nil:
		p.require(false, key, "must be http://IP:port")
	case !allowRemote:
		p.require(addr.Addr().IsLoopback(), key, "must be a loopback address unless --allow-remote is set")
	}
}
