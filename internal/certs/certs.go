// Package certs provides TLS certificates that can be replaced without a restart of the listeners that use
// them.
package certs

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/settings"
)

// CheckPeriod is the shortest time between two checks of the certificate files for changes. Checks
// happen only at TLS handshakes.
const CheckPeriod = 10 * time.Second

// Source provides a certificate and reloads its files if the later one of their two modification times
// has changed. It is safe for concurrent use.
type Source struct {
	files settings.TLS
	now   func() time.Time

	mu       sync.Mutex
	current  *tls.Certificate
	modified time.Time
	checked  time.Time
}

// New returns a source for the given files. It does not read them; the first call of Get does.
func New(files settings.TLS, now func() time.Time) *Source {
	return &Source{files: files, now: now}
}

// ServerConfig returns a TLS configuration for a listener. It returns an error if the files are not
// a valid pair of certificate and key at the time of the call.
func ServerConfig(files settings.TLS, now func() time.Time) (*tls.Config, error) {
	source := New(files, now)
	if _, err := source.Get(nil); err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: source.Get}, nil
}

// Get returns the current certificate; it has the signature of tls.Config.GetCertificate. While the
// files are not a valid pair, for example because only one of them has been replaced, it returns the
// last valid certificate. It returns an error only if no valid pair has been read yet.
func (c *Source) Get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if c.current != nil && now.Sub(c.checked) < CheckPeriod {
		return c.current, nil
	}
	c.checked = now
	modified, err := latestModTime(c.files.CertFile, c.files.KeyFile)
	if err == nil && c.current != nil && modified.Equal(c.modified) {
		return c.current, nil
	}
	pair, err := tls.LoadX509KeyPair(c.files.CertFile, c.files.KeyFile)
	if err != nil {
		if c.current != nil {
			return c.current, nil
		}
		return nil, eris.Wrap(err, "load certificate")
	}
	c.current, c.modified = &pair, modified
	return c.current, nil
}

// latestModTime returns the latest modification time of the files.
func latestModTime(files ...string) (time.Time, error) {
	var latest time.Time
	for _, file := range files {
		info, err := os.Stat(file)
		if err != nil {
			return time.Time{}, err
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}
