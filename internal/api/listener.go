package api

import (
	"crypto/tls"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/settings"
)

// limitedListener accepts a bounded number of connections at a time.
type limitedListener struct {
	net.Listener
	slots chan struct{}
	done  chan struct{}
	once  sync.Once
}

func limitListener(l net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, limit), done: make(chan struct{})}
}

// Accept waits for a free slot first, so that the kernel's backlog holds what exceeds the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

// certificateCheckPeriod is how often the certificate files are looked at for a change.
const certificateCheckPeriod = 10 * time.Second

// certificates loads a certificate again when its file changes.
type certificates struct {
	files settings.TLS
	now   func() time.Time

	mu       sync.Mutex
	current  *tls.Certificate
	modified time.Time
	checked  time.Time
}

func newCertificates(files settings.TLS, now func() time.Time) *certificates {
	return &certificates{files: files, now: now}
}

// get returns the current certificate. While the files on disk are not a valid pair, for
// example because only one of them has been replaced, the last valid one stays in use.
func (c *certificates) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if c.current != nil && now.Sub(c.checked) < certificateCheckPeriod {
		return c.current, nil
	}
	c.checked = now
	modified, err := newest(c.files.CertFile, c.files.KeyFile)
	if err == nil && c.current != nil && modified.Equal(c.modified) {
		return c.current, nil
	}
	pair, err := tls.LoadX509KeyPair(c.files.CertFile, c.files.KeyFile)
	if err != nil {
		if c.current != nil {
			return c.current, nil
		}
		return nil, eris.Wrap(err, "load the operators' certificate")
	}
	c.current, c.modified = &pair, modified
	return c.current, nil
}

// newest returns the later modification time of the files.
func newest(files ...string) (time.Time, error) {
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
