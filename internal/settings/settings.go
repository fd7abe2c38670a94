// Package settings reads the TOML settings of the processes. Reading is strict: all unknown
// keys and bad values of a file are reported together.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// ErrInvalid is wrapped by all errors about the content of a settings file.
var ErrInvalid = errors.New("settings: invalid")

// Problem is one violation in a settings file.
type Problem struct {
	Key  string
	Rule string
}

// Error reports all problems of one file.
type Error struct {
	File     string
	Problems []Problem
	// unknownKeys is set if the file was decoded and only has unknown keys.
	unknownKeys bool
}

// Error implements error.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = fmt.Sprintf("%s: %s: %s", e.File, p.Key, p.Rule)
	}
	return strings.Join(lines, "\n")
}

// Unwrap makes errors.Is(err, ErrInvalid) true.
func (e *Error) Unwrap() error { return ErrInvalid }

// Duration is a time.Duration written as in "1m30s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return eris.Wrap(ErrInvalid, err.Error())
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Peer is another instance of the system.
type Peer struct {
	ID string `toml:"id"`
	// Addr is the IP:port of the peer's net/rpc listener.
	Addr string `toml:"addr"`
	// OperatorAddr is the IP:port of the peer's resource API.
	OperatorAddr string `toml:"operator_addr"`
	Zone         string `toml:"zone"`
	Region       string `toml:"region"`
}

// Platform has the base URLs of the platform's services.
type Platform struct {
	LogURL       string `toml:"log_url"`
	InstancesURL string `toml:"instances_url"`
}

// Token is a bearer token of the operators' API.
type Token struct {
	Name string `toml:"name"`
	// Role is "read" or "operate".
	Role string `toml:"role"`
	// Secret is the token itself.
	Secret string `toml:"secret"`
}

// TLS names the certificate files of a listener; empty means plain HTTP.
type TLS struct {
	CertFile string `toml:"cert_file"`
	KeyFile  string `toml:"key_file"`
}

// CallerLimits protect the caller listener. A key that is left out has its default.
type CallerLimits struct {
	// Connections and ConnectionsPerAddress are the most open connections in all and of one
	// remote IP. Behind a balancer all connections come from few addresses.
	Connections           int `toml:"connections"`
	ConnectionsPerAddress int `toml:"connections_per_address"`
	// HeaderBytes and BodyBytes bound a request.
	HeaderBytes int   `toml:"header_bytes"`
	BodyBytes   int64 `toml:"body_bytes"`
	// HeaderTimeout bounds the time to send the headers, ReadIdle and WriteIdle the wait for the
	// next part of a body or of an answer, KeepAliveIdle the wait for the next request.
	HeaderTimeout Duration `toml:"header_timeout"`
	ReadIdle      Duration `toml:"read_idle"`
	WriteIdle     Duration `toml:"write_idle"`
	KeepAliveIdle Duration `toml:"keep_alive_idle"`
}

// Serve holds the settings of one instance.
type Serve struct {
	ID     string `toml:"id"`
	Region string `toml:"region"`
	Zone   string `toml:"zone"`
	// CallerAddr, OperatorAddr and PeerAddr are the IP:port of the three listeners.
	CallerAddr   string `toml:"caller_addr"`
	OperatorAddr string `toml:"operator_addr"`
	PeerAddr     string `toml:"peer_addr"`
	// PeerKey is the shared key of the net/rpc connections.
	PeerKey  string   `toml:"peer_key"`
	Peers    []Peer   `toml:"peers"`
	Platform Platform `toml:"platform"`
	Tokens   []Token  `toml:"tokens"`
	TLS      TLS      `toml:"tls"`
	// CallerLimits protect the caller listener.
	CallerLimits CallerLimits `toml:"caller_limits"`
	// StopTimeout bounds a graceful stop; default 10 minutes.
	StopTimeout Duration `toml:"stop_timeout"`
	// LogLevel is debug, info, warn or error; default info.
	LogLevel string `toml:"log_level"`
}

// defaultStopTimeout lets long answers finish during a graceful stop.
const defaultStopTimeout = 10 * time.Minute

// ReadServe reads and checks the settings of one instance.
func ReadServe(file string) (Serve, error) {
	var s Serve
	err := readChecked(file, &s, func() []Problem {
		setDefault(&s.StopTimeout, Duration(defaultStopTimeout))
		setDefault(&s.LogLevel, "info")
		return s.check()
	})
	if err != nil {
		return Serve{}, err
	}
	return s, nil
}

// readChecked reads a file and checks it. It reports unknown keys and broken rules together.
func readChecked(file string, into any, check func() []Problem) error {
	err := readStrict(file, into)
	var decoded *Error
	if err != nil && (!errors.As(err, &decoded) || !decoded.unknownKeys) {
		return err
	}
	result := &Error{File: file, Problems: check()}
	if decoded != nil {
		result.Problems = append(decoded.Problems, result.Problems...)
	}
	if len(result.Problems) == 0 {
		return nil
	}
	return result
}

func readStrict(file string, into any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "read settings")
	}
	return DecodeStrict(file, data, into)
}

// DecodeStrict decodes TOML and reports unknown keys and syntax errors as an *Error.
func DecodeStrict(file string, data []byte, into any) error {
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		return nil
	}
	result := &Error{File: file}
	var strict *toml.StrictMissingError
	var syntax *toml.DecodeError
	switch {
	case errors.As(err, &strict):
		result.unknownKeys = true
		for _, missing := range strict.Errors {
			result.Problems = append(result.Problems, Problem{Key: strings.Join(missing.Key(), "."), Rule: "unknown key"})
		}
	case errors.As(err, &syntax):
		row, column := syntax.Position()
		result.Problems = []Problem{{Key: fmt.Sprintf("line %d column %d", row, column), Rule: syntax.Error()}}
	default:
		result.Problems = []Problem{{Key: "file", Rule: err.Error()}}
	}
	return result
}

type problems []Problem

func (p *problems) require(ok bool, key, rule string) {
	if !ok {
		*p = append(*p, Problem{Key: key, Rule: rule})
	}
}

func (p *problems) addr(key, value string) {
	_, err := netip.ParseAddrPort(value)
	p.require(err == nil, key, "must be IP:port")
}

const minPeerKeyBytes = 16

func (s Serve) check() []Problem {
	var p problems
	p.require(s.ID != "", "id", "must be set")
	p.require(s.Zone != "", "zone", "must be set")
	p.addr("caller_addr", s.CallerAddr)
	p.addr("operator_addr", s.OperatorAddr)
	p.addr("peer_addr", s.PeerAddr)
	p.require(len(s.PeerKey) >= minPeerKeyBytes, "peer_key", fmt.Sprintf("must have at least %d bytes", minPeerKeyBytes))
	p.require(isURL(s.Platform.LogURL), "platform.log_url", "must begin with http:// or https://")
	p.require(isURL(s.Platform.InstancesURL), "platform.instances_url", "must begin with http:// or https://")
	p.require(s.StopTimeout > 0, "stop_timeout", "must be positive")
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		p.require(false, "log_level", "must be debug, info, warn or error")
	}
	p.peers(s)
	p.callerLimits(s.CallerLimits)
	for i, token := range s.Tokens {
		key := fmt.Sprintf("tokens[%d]", i)
		p.require(token.Role == "read" || token.Role == "operate", key+".role", "must be read or operate")
		p.require(len(token.Secret) >= minPeerKeyBytes, key+".secret", fmt.Sprintf("must have at least %d bytes", minPeerKeyBytes))
	}
	p.require((s.TLS.CertFile == "") == (s.TLS.KeyFile == ""), "tls", "cert_file and key_file must be set together")
	return p
}

func (p *problems) callerLimits(l CallerLimits) {
	notNegative := func(key string, value int64) {
		p.require(value >= 0, "caller_limits."+key, "must not be negative")
	}
	notNegative("connections", int64(l.Connections))
	notNegative("connections_per_address", int64(l.ConnectionsPerAddress))
	notNegative("header_bytes", int64(l.HeaderBytes))
	notNegative("body_bytes", l.BodyBytes)
	notNegative("header_timeout", int64(l.HeaderTimeout))
	notNegative("read_idle", int64(l.ReadIdle))
	notNegative("write_idle", int64(l.WriteIdle))
	notNegative("keep_alive_idle", int64(l.KeepAliveIdle))
}

func (p *problems) peers(s Serve) {
	seen := map[string]bool{s.ID: true}
	for i, peer := range s.Peers {
		key := fmt.Sprintf("peers[%d]", i)
		p.require(peer.ID != "" && !seen[peer.ID], key+".id", "must be set and unique")
		p.require(peer.Zone != "", key+".zone", "must be set")
		p.addr(key+".addr", peer.Addr)
		p.addr(key+".operator_addr", peer.OperatorAddr)
		seen[peer.ID] = true
	}
}

func isURL(s string) bool {
	return strings.HasPrefix(s, "http://") || strings.HasPrefix(s, "https://")
}
