// Package loopback finds free loopback addresses for demonstrations and tests.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/rotisserie/eris"
)

// Ports below the range that the system takes for port 0, so that no other listener or
// outgoing connection takes an address between its choice and its use.
const (
	firstPort = 18_000
	ports     = 14_000
	// pidStride spreads processes that run at the same time over the range.
	pidStride = 97
)

// ErrNoPort means that all ports of the range are taken.
var ErrNoPort = errors.New("loopback: no free port")

var (
	mu   sync.Mutex
	next = os.Getpid() * pidStride % ports
)

// FreeAddrs returns n addresses on 127.0.0.1 with ports that are free now. A process is given
// each port once until the range is used up.
func FreeAddrs(n int) ([]string, error) {
	mu.Lock()
	defer mu.Unlock()
	addrs := make([]string, 0, n)
	for range ports {
		if len(addrs) == n {
			return addrs, nil
		}
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+next)
		next = (next + 1) % ports
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
