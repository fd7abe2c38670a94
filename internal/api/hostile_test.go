package api

import (
	"bufio"
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/certs"
	"github.com/oleanderbend/oleanderbend/internal/logging"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/settings"
)

// pipeListener accepts in-memory connections, which work with the virtual time of synctest.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	select {
	case <-l.done:
	default:
		close(l.done)
	}
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// dial returns the client end of a new connection.
func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

// inVirtualTime runs f against the HTTP server in a synctest bubble.
func inVirtualTime(t *testing.T, f func(t *testing.T, l *pipeListener, fixture *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		fixture, l := newFixture(t), newPipeListener()
		serve, err := fixture.api.serveOn(t.Context(), l)
		require.NoError(t, err)
		done := make(chan error, 1)
		go func() { done <- serve(t.Context()) }()
		f(t, l, fixture)
		require.NoError(t, fixture.api.Stop(t.Context()))
		require.NoError(t, <-done)
	})
}

// TestSlowSendersAreCutOff guards against callers that keep connections open by sending a request
// slowly.
func TestSlowSendersAreCutOff(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, l *pipeListener, _ *fixture) {
		for _, tc := range []struct {
			text  string
			limit time.Duration
		}{
			{"GET /v1/jobs HTTP/1.1\r\nHost: x\r\n", headerTimeout},
			{"PUT /v1/jobs/a HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n{", bodyTimeout},
		} {
			conn := l.dial()
			go func() { _, _ = io.WriteString(conn, tc.text) }()
			started := time.Now()
			_, _ = io.Copy(io.Discard, conn)
			require.LessOrEqual(t, time.Since(started), tc.limit+time.Second)
			require.NoError(t, conn.Close())
		}
	})
}

// TestLargeHeaderIsRejected guards against unlimited memory use for request headers.
func TestLargeHeaderIsRejected(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, l *pipeListener, _ *fixture) {
		conn := l.dial()
		go func() {
			_, _ = io.WriteString(conn, "GET /v1/jobs HTTP/1.1\r\nHost: x\r\nX: "+strings.Repeat("a", 2*maxHeaderBytes)+"\r\n\r\n")
		}()
		line, err := bufio.NewReader(conn).ReadString('\n')
		require.NoError(t, err)
		require.Contains(t, line, "431")
		require.NoError(t, conn.Close())
	})
}

// TestSlowReaderOfAWatchIsCutOff guards against a caller that opens a watch and does not read it, and
// so keeps memory and a connection of the instance in use.
func TestSlowReaderOfAWatchIsCutOff(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, l *pipeListener, f *fixture) {
		conn := l.dial()
		_, err := io.WriteString(conn, "GET /v1/organisations?watch=1 HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		line, err := bufio.NewReader(conn).ReadString('\n')
		require.NoError(t, err)
		require.Contains(t, line, "200")
		f.succeeds(nil, "PUT", "/v1/organisations/org", orgBody)
		time.Sleep(responseTimeout + syncPeriod + time.Second)
		synctest.Wait()
		require.Zero(t, f.api.watches.Load())
		require.NoError(t, conn.Close())
	})
}

// TestConnectionsAreBounded guards against callers that use up all file descriptors of the process.
func TestConnectionsAreBounded(t *testing.T) {
	l := newPipeListener()
	limited := limitListener(l, 2)
	first := acceptOne(t, l, limited)
	acceptOne(t, l, limited)
	accepted := make(chan net.Conn)
	go func() {
		conn, _ := limited.Accept()
		accepted <- conn
	}()
	select {
	case l.conns <- nil:
		require.Fail(t, "a third connection was accepted")
	case <-time.After(20 * time.Millisecond):
	}
	require.NoError(t, first.Close())
	require.NoError(t, first.Close(), "a second close must not free a second slot")
	l.dial()
	require.NotNil(t, <-accepted)
	require.NoError(t, limited.Close())
	_, err := limited.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}

func acceptOne(t *testing.T, l *pipeListener, limited net.Listener) net.Conn {
	t.Helper()
	go l.dial()
	conn, err := limited.Accept()
	require.NoError(t, err)
	return conn
}

// TestHostileRequests guards against input that crashes the instance or exhausts its memory.
func TestHostileRequests(t *testing.T) {
	f := newFixture(t)
	f.rejected(413, "PUT", "/v1/jobs/a", strings.Repeat(" ", maxBodyBytes+1))
	f.rejected(400, "PUT", "/v1/jobs/a", strings.Repeat("[", 50_000))
	f.rejected(400, "PUT", "/v1/jobs/a", "\x00\xff")
	f.rejected(422, "PUT", "/v1/jobs/"+strings.Repeat("a", 500), jobBody)
	f.rejected(422, "PUT", "/v1/jobs/..%2f..%2fetc", jobBody)
	labels := make([]string, 0, 40)
	for i := range 40 {
		labels = append(labels, fmt.Sprintf(`"l%d":"v"`, i))
	}
	p := f.rejected(422, "PUT", "/v1/organisations/a", `{"metadata":{"labels":{`+strings.Join(labels, ",")+`}},"spec":{}}`)
	require.Equal(t, "metadata.labels", p.Fields[0].Field)
	f.rejected(422, "PUT", "/v1/jobs/a", `{"spec":{"organisation":"org","members":1e9}}`)
	f.rejected(400, "GET", "/v1/timeline?since=yesterday", "")
	require.LessOrEqual(t, len(f.logs.String()), 20_000, "hostile input must not fill the log")
}

// TestUnprotectedAddressIsRejected guards against an operator address that anyone on the network can
// use without a token.
func TestUnprotectedAddressIsRejected(t *testing.T) {
	for addr, ok := range map[string]bool{"127.0.0.1:0": true, "[::1]:0": true, "0.0.0.0:0": false, "192.0.2.1:80": false, ":80": false} {
		f := newFixture(t)
		f.api.deps.Addr = addr
		err := f.api.Provision(nil)
		require.Equal(t, ok, err == nil, addr)
		require.True(t, ok || errors.Is(err, ErrUnprotectedAddress))
	}
}

// writePair writes a new self-signed certificate for 127.0.0.1 with the given serial number, and its
// key. modified becomes the modification time of both files.
func writePair(t *testing.T, files settings.TLS, serial int64, modified time.Time) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(files.CertFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), 0o600))
	require.NoError(t, os.WriteFile(files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}), 0o600))
	require.NoError(t, os.Chtimes(files.CertFile, modified, modified))
	require.NoError(t, os.Chtimes(files.KeyFile, modified, modified))
}

// TestCertificateIsReloaded guards against an instance that needs a restart to use a new
// certificate, and against one that stops serving while the files are being replaced.
func TestCertificateIsReloaded(t *testing.T) {
	files := settings.TLS{CertFile: filepath.Join(t.TempDir(), "c.pem"), KeyFile: filepath.Join(t.TempDir(), "k.pem")}
	now := time.Now()
	writePair(t, files, 1, now.Add(-time.Hour))
	replica := newFakeReplica()
	a := New(Dependencies{ID: "a", Reader: replica, Writer: replica, Ready: replica, Now: func() time.Time { return now }, Logger: logging.Discard(), Addr: "127.0.0.1:0", TLS: files})
	require.NoError(t, a.Start(t.Context()))
	serial := func() int64 {
		conn, err := tls.Dial("tcp", a.Addr().String(), &tls.Config{InsecureSkipVerify: true})
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	require.Equal(t, int64(1), serial())
	writePair(t, files, 2, now.Add(-time.Minute))
	now = now.Add(certs.CheckPeriod)
	require.Equal(t, int64(2), serial())
	require.NoError(t, os.WriteFile(files.KeyFile, []byte("half"), 0o600))
	now = now.Add(certs.CheckPeriod)
	require.Equal(t, int64(2), serial(), "the last valid pair stays in use")
	require.NoError(t, a.Stop(context.Background()))
	files.CertFile = "/does/not/exist"
	a = New(Dependencies{ID: "a", Reader: replica, Writer: replica, Ready: replica, Now: time.Now, Logger: logging.Discard(), Addr: "127.0.0.1:0", TLS: files})
	require.Error(t, a.Start(t.Context()))
}

// FuzzDecodeObject guards against a body that crashes the instance, and against an object that
// changes when it is encoded and decoded again.
func FuzzDecodeObject(f *testing.F) {
	for _, seed := range []string{jobBody, orgBody, fmt.Sprintf(guaranteeBody, 1), `null`, `{"kind":"jobs"}`, `{"spec":{"admission":{"kindWeights":{"a":1e308}}}}`, `{"metadata":null}`} {
		f.Add("jobs", []byte(seed))
		f.Add("policies", []byte(seed))
	}
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		object, err := DecodeObject(resource.Kind(kind), data)
		var p *Problem
		if err != nil {
			if !errors.As(err, &p) || p.Status < 400 || p.Status > 499 {
				t.Fatalf("not a problem with status 4xx: %v", err)
			}
			return
		}
		first, err := EncodeObject(object)
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodeObject(resource.Kind(kind), first)
		if err != nil {
			t.Fatalf("encoded object is rejected: %v: %s", err, first)
		}
		second, err := EncodeObject(again)
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("%s was encoded again as %s", first, second)
		}
	})
}

// FuzzQueries guards against query values and headers that crash the instance.
func FuzzQueries(f *testing.F) {
	f.Add("selector=a=b&limit=3", "k", `"1"`)
	f.Add("continue=am9icy9h&selector=!=", "", "*")
	f.Add("watch=1&from=99999999999999999999", "\x00", "W/\"1\"")
	f.Fuzz(func(t *testing.T, query, id, match string) {
		fixture := newFixture(t)
		request := func(method, target, body string) {
			r, err := http.NewRequest(method, "http://x"+target, strings.NewReader(body))
			if err != nil {
				return
			}
			r.Header.Set("Idempotency-Key", id)
			r.Header.Set("If-Match", match)
			w := &discard{header: http.Header{}}
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			fixture.api.Handler().ServeHTTP(w, r.WithContext(ctx))
			if w.status >= 500 {
				t.Fatalf("%s %s: status %d", method, target, w.status)
			}
		}
		request("GET", "/v1/jobs?"+query, "")
		request("GET", "/v1/timeline?"+query, "")
		request("PUT", "/v1/organisations/a", orgBody)
	})
}

// discard is a response writer that discards the body.
type discard struct {
	header http.Header
	status int
}

// Header implements http.ResponseWriter.
func (d *discard) Header() http.Header { return d.header }

// WriteHeader implements http.ResponseWriter.
func (d *discard) WriteHeader(status int) { d.status = status }

// Write implements http.ResponseWriter.
func (d *discard) Write(data []byte) (int, error) { return len(data), nil }
