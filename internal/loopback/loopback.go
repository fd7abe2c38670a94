// Package loopback finds free loopback addresses for the demo and for tests.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/rotisserie/eris"
)

// The ports are below the range of ephemeral ports, which on Linux begins at 32768 by default. A listener on
// port 0 or an outgoing connection therefore never takes a port between the call of FreeAddrs and its
// use. Other processes that choose fixed ports in this range, as the test of the first-hour page in
// scenarios does, may take one.
const (
	firstPort = 18_000
	portCount = 14_000
	// pidStride makes processes that run at the same time start at different ports of the range.
	pidStride = 97
)

// ErrNoPort is returned by FreeAddrs if the range has too few free ports.
var ErrNoPort = errors.New("loopback: no free port")

var (
	mu         sync.Mutex
	nextOffset = os.Getpid() * pidStride % portCount
)

// FreeAddrs returns n addresses on 127.0.0.1 whose ports are free at the time of the call. No port is
// returned twice to a process before the whole range has been tried. It returns ErrNoPort if fewer
// than n ports are free.
func FreeAddrs(n int) ([]string, error) {
	mu.Lock()
	defer mu.Unlock()
	addrs := make([]string, 0, n)
	for range portCount {
		if len(addrs) == n {
			return addrs, nil
		}
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+nextOffset)
		nextOffset = (nextOffset + 1) % portCount
		if isFree(addr) {
			addrs = append(addrs, addr)
		}
	}
	return nil, eris.Wrapf(ErrNoPort, "%d of %d found", len(addrs), n)
}

func isFree(addr string) bool {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
