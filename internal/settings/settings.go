// Package settings reads and validates the TOML settings files of the commands serve, standin and
// load. It reports all unknown keys and invalid values of a file in one error.
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

// ErrInvalid is wrapped by all errors that concern the content of a settings file.
var ErrInvalid = errors.New("settings: invalid content")

// Problem is one invalid key or value in a settings file.
type Problem struct {
	// Key is the key, or the place in the file if the file cannot be decoded.
	Key  string
	Rule string
}

// Error lists all problems of one settings file. It wraps ErrInvalid.
type Error struct {
	File     string
	Problems []Problem
	// onlyUnknownKeys is set if unknown keys are the only problem and all other keys were decoded.
	onlyUnknownKeys bool
}

// Error implements error.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = fmt.Sprintf("%s: %s: %s", e.File, p.Key, p.Rule)
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns ErrInvalid.
func (e *Error) Unwrap() error { return ErrInvalid }

// Duration is a time.Duration that is written in the form "1m30s" in TOML.
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
	// OperatorAddr is the IP:port of the peer's listener for operators, which serves the resource
	// API.
	OperatorAddr string `toml:"operator_addr"`
	Zone         string `toml:"zone"`
	Region       string `toml:"region"`
}

// Platform holds the base URLs of the platform's log and instance list.
type Platform struct {
	LogURL       string `toml:"log_url"`
	InstancesURL string `toml:"instances_url"`
}

// Token is a bearer token of the resource API.
type Token struct {
	Name string `toml:"name"`
	// Role is "read" or "operate".
	Role string `toml:"role"`
	// Secret is the token itself.
	Secret string `toml:"secret"`
}

// TLS holds the paths of the certificate and key files of a listener. If both are empty, the
// listener serves plain HTTP.
type TLS struct {
	CertFile string `toml:"cert_file"`
	KeyFile  string `toml:"key_file"`
}

// CallerLimits bounds the use of the caller listener. A value of 0 selects the default.
type CallerLimits struct {
	// Connections and ConnectionsPerAddress are the maximum numbers of open connections in total
	// and per remote IP. Behind a load balancer all connections come from few addresses, so
	// ConnectionsPerAddress must be higher there.
	Connections           int `toml:"connections"`
	ConnectionsPerAddress int `toml:"connections_per_address"`
	// HeaderBytes and BodyBytes are the maximum sizes of the headers and the body of a request.
	HeaderBytes int   `toml:"header_bytes"`
	BodyBytes   int64 `toml:"body_bytes"`
	// HeaderTimeout is the maximum time to receive the headers. ReadIdle and WriteIdle are the
	// maximum waits for the next part of a request body and of a response. KeepAliveIdle is the
	// maximum wait for the next request of a connection.
	HeaderTimeout Duration `toml:"header_timeout"`
	ReadIdle      Duration `toml:"read_idle"`
	WriteIdle     Duration `toml:"write_idle"`
	KeepAliveIdle Duration `toml:"keep_alive_idle"`
}

// Serve holds the settings of the serve command, which runs one instance.
type Serve struct {
	ID     string `toml:"id"`
	Region string `toml:"region"`
	Zone   string `toml:"zone"`
	// CallerAddr, OperatorAddr and PeerAddr are the IP:port addresses of the listeners for
	// callers, for operators (resource API) and for other instances.
	CallerAddr   string `toml:"caller_addr"`
	OperatorAddr string `toml:"operator_addr"`
	PeerAddr     string `toml:"peer_addr"`
	// PeerKey is the shared key that authenticates the net/rpc connections between instances.
	PeerKey      string       `toml:"peer_key"`
	Peers        []Peer       `toml:"peers"`
	Platform     Platform     `toml:"platform"`
	Tokens       []Token      `toml:"tokens"`
	TLS          TLS          `toml:"tls"`
	CallerLimits CallerLimits `toml:"caller_limits"`
	// StopTimeout is the maximum duration of a graceful stop; default 10 minutes.
	StopTimeout Duration `toml:"stop_timeout"`
	// LogLevel is debug, info, warn or error; default info.
	LogLevel string `toml:"log_level"`
}

// defaultStopTimeout is long enough for long responses to finish during a graceful stop.
const defaultStopTimeout = 10 * time.Minute

// ReadServe reads and validates the settings of one instance. Invalid content is reported as an
// *Error.
func ReadServe(file string) (Serve, error) {
	var s Serve
	err := readAndCheck(file, &s, func() []Problem {
		setDefault(&s.StopTimeout, Duration(defaultStopTimeout))
		setDefault(&s.LogLevel, "info")
		return s.check()
	})
	if err != nil {
		return Serve{}, err
	}
	return s, nil
}

// readAndCheck decodes a file into the struct that into points to and validates it with check. It
// reports unknown keys and the problems that check returns in one *Error.
func readAndCheck(file string, into any, check func() []Problem) error {
	err := readStrict(file, into)
	var decodeErr *Error
	if err != nil && (!errors.As(err, &decodeErr) || !decodeErr.onlyUnknownKeys) {
		return err
	}
	result := &Error{File: file, Problems: check()}
	if decodeErr != nil {
		result.Problems = append(decodeErr.Problems, result.Problems...)
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

// DecodeStrict decodes TOML data into the value that into points to. It reports unknown keys and
// syntax errors as an *Error; file is only used in that error.
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
		result.onlyUnknownKeys = true
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

func (p *problems) requireAddr(key, value string) {
	_, err := netip.ParseAddrPort(value)
	p.require(err == nil, key, "must be IP:port")
}

// minSecretBytes is the minimum length of the peer key and of the token secrets.
const minSecretBytes = 16

func (s Serve) check() []Problem {
	var p problems
	p.require(s.ID != "", "id", "must be set")
	p.require(s.Zone != "", "zone", "must be set")
	p.requireAddr("caller_addr", s.CallerAddr)
	p.requireAddr("operator_addr", s.OperatorAddr)
	p.requireAddr("peer_addr", s.PeerAddr)
	p.require(len(s.PeerKey) >= minSecretBytes, "peer_key", fmt.Sprintf("must have at least %d bytes", minSecretBytes))
	p.require(hasHTTPScheme(s.Platform.LogURL), "platform.log_url", "must begin with http:// or https://")
	p.require(hasHTTPScheme(s.Platform.InstancesURL), "platform.instances_url", "must begin with http:// or https://")
	p.require(s.StopTimeout > 0, "stop_timeout", "must be positive")
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		p.require(false, "log_level", "must be debug, info, warn or error")
	}
	p.checkPeers(s)
	p.checkCallerLimits(s.CallerLimits)
	for i, token := range s.Tokens {
		key := fmt.Sprintf("tokens[%d]", i)
		p.require(token.Role == "read" || token.Role == "operate", key+".role", "must be read or operate")
		p.require(len(token.Secret) >= minSecretBytes, key+".secret", fmt.Sprintf("must have at least %d bytes", minSecretBytes))
	}
	p.require((s.TLS.CertFile == "") == (s.TLS.KeyFile == ""), "tls", "cert_file and key_file must be set together")
	return p
}

func (p *problems) checkCallerLimits(l CallerLimits) {
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

func (p *problems) checkPeers(s Serve) {
	seen := map[string]bool{s.ID: true}
	for i, peer := range s.Peers {
		key := fmt.Sprintf("peers[%d]", i)
		p.require(peer.ID != "" && !seen[peer.ID], key+".id", "must be set and unique")
		p.require(peer.Zone != "", key+".zone", "must be set")
		p.requireAddr(key+".addr", peer.Addr)
		p.requireAddr(key+".operator_addr", peer.OperatorAddr)
		seen[peer.ID] = true
	}
}

func hasHTTPScheme(s string) bool {
	return strings.HasPrefix(s, "http://") || strings.HasPrefix(s, "https://")
}
