package gateway

import (
	"crypto/tls"
	"errors"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/membership"
	"github.com/oleanderbend/oleanderbend/internal/peer"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/state"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

// ErrConfig means that a required dependency or setting is missing.
var ErrConfig = errors.New("gateway: invalid configuration")

// Config has the settings and the dependencies of a gateway.
type Config struct {
	// ID is the id of this instance.
	ID string
	// Addr is the IP:port of the caller listener.
	Addr string
	// TLS is the configuration of the caller listener; nil means plain HTTP.
	TLS *tls.Config
	// Instances, Targets, View, Caller, Registrar and State are required.
	Instances platform.Instances
	Targets   platform.Targets
	View      membership.View
	Caller    peer.Caller
	Registrar peer.Registrar
	State     state.Reader
	// Recorder may be nil; events are then dropped.
	Recorder *timeline.Recorder
	// Logger may be nil; log lines are then dropped.
	Logger *log.Logger
	// Now is the clock; default time.Now.
	Now func() time.Time
	// Seed makes random choices repeatable in tests; 0 takes a random seed.
	Seed uint64
	// NoEarlierKeys states that no request was sent to the system in the last 10 minutes, for
	// example at the first start of a new system. Without it, keyed non-idempotent requests
	// are answered unknown until the homes of their keys can vouch for them.
	NoEarlierKeys bool
	Limits        Limits
}

// Limits protect the caller listener. A zero value means the default.
type Limits struct {
	// Connections is the most open connections; default 4096.
	Connections int
	// ConnectionsPerAddress is the most open connections of one remote IP; default 1024.
	ConnectionsPerAddress int
	// HeaderBytes bounds the request line and headers; default 16 KiB.
	HeaderBytes int
	// BodyBytes bounds a request body; default 1 GiB. Bodies are streamed, not held.
	BodyBytes int64
	// HeaderTimeout bounds the time to send the headers; default 5 s.
	HeaderTimeout time.Duration
	// ReadIdle bounds the wait for the next byte of a request body; default 30 s.
	ReadIdle time.Duration
	// WriteIdle bounds the wait for the caller to take the next part of an answer; default 60 s.
	WriteIdle time.Duration
	// KeepAliveIdle bounds the wait for the next request on a connection; default 90 s.
	KeepAliveIdle time.Duration
}

const (
	defaultConnections           = 4096
	defaultConnectionsPerAddress = 1024
	defaultHeaderBytes           = 16 << 10
	defaultBodyBytes             = 1 << 30
	defaultHeaderTimeout         = 5 * time.Second
	defaultReadIdle              = 30 * time.Second
	defaultWriteIdle             = time.Minute
	defaultKeepAliveIdle         = 90 * time.Second
)

func (l Limits) withDefaults() Limits {
	setDefault(&l.Connections, defaultConnections)
	setDefault(&l.ConnectionsPerAddress, defaultConnectionsPerAddress)
	setDefault(&l.HeaderBytes, defaultHeaderBytes)
	setDefault(&l.BodyBytes, defaultBodyBytes)
	setDefault(&l.HeaderTimeout, defaultHeaderTimeout)
	setDefault(&l.ReadIdle, defaultReadIdle)
	setDefault(&l.WriteIdle, defaultWriteIdle)
	setDefault(&l.KeepAliveIdle, defaultKeepAliveIdle)
	return l
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

func (c Config) check() error {
	missing := map[string]bool{
		"ID": c.ID == "", "Addr": c.Addr == "", "Instances": c.Instances == nil, "Targets": c.Targets == nil,
		"View": c.View == nil, "Caller": c.Caller == nil, "Registrar": c.Registrar == nil, "State": c.State == nil,
	}
	for name, isMissing := range missing {
		if isMissing {
			return eris.Wrapf(ErrConfig, "%s must be set", name)
		}
	}
	return nil
}
