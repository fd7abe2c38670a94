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

// Config contains the settings and the dependencies of a gateway.
type Config struct {
	// ID is the id of this instance.
	ID string
	// Addr is the IP:port of the caller listener.
	Addr string
	// TLS is the TLS configuration of the caller listener; nil means plain HTTP.
	TLS *tls.Config
	// Instances, Targets, View, Caller, Registrar and State are required. Caller calls RPC
	// methods of other instances, Registrar registers those of this one.
	Instances platform.Instances
	Targets   platform.Targets
	View      membership.View
	Caller    peer.Caller
	Registrar peer.Registrar
	State     state.Reader
	// Recorder records timeline events. If it is nil, they are dropped.
	Recorder *timeline.Recorder
	// Logger may be nil. Log lines are then dropped.
	Logger *log.Logger
	// Now returns the current time; default time.Now.
	Now func() time.Time
	// Seed makes random choices reproducible in tests; 0 means a random seed.
	Seed uint64
	// NoEarlierKeys states that no request was sent to the system within the last
	// idempotency.Retention (10 minutes), for example at the first start of a new system. If it
	// is false, non-idempotent requests with an idempotency key get the outcome unknown until a
	// majority of the replicas of the key can exclude that an earlier request used it.
	NoEarlierKeys bool
	Limits        Limits
}

// Limits protect the caller listener from overload. A field that is zero means its default.
type Limits struct {
	// Connections is the maximum number of open connections; default 4096.
	Connections int
	// ConnectionsPerAddress is the maximum number of open connections of one remote IP address;
	// default 1024.
	ConnectionsPerAddress int
	// HeaderBytes limits the size of the request line and headers; default 16 KiB. net/http
	// accepts 4 KiB more than this limit.
	HeaderBytes int
	// BodyBytes limits the size of a request body; default 1 GiB. Bodies are streamed, and at
	// most replayLimit bytes of each are buffered.
	BodyBytes int64
	// HeaderTimeout limits how long a caller may take to send the headers; default 5 s.
	HeaderTimeout time.Duration
	// ReadIdle limits the wait for the next bytes of a request body; default 30 s.
	ReadIdle time.Duration
	// WriteIdle limits the wait for the caller to receive the next part of a response; default
	// 60 s.
	WriteIdle time.Duration
	// KeepAliveIdle limits the wait for the next request on a connection; default 90 s.
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
