package load

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderbend/oleanderbend/internal/settings"
)

// arrival is one request of a flow.
type arrival struct {
	// at is the time since the start of the run.
	at time.Duration
	// url and other are indices of the instances for the request and for its resend.
	url, other int
}

// arrivals computes the requests of a flow, in order. They depend on the settings only, never
// on how fast the system answers.
func arrivals(config settings.Load, flow settings.LoadFlow, limit int) []arrival {
	name := strings.Join([]string{flow.Organisation, flow.Caller, flow.Kind}, "\x00")
	random := rand.New(rand.NewPCG(config.Seed, xxhash.Sum64String(name)))
	var list []arrival
	at := time.Duration(flow.Start)
	for {
		gap := 1.0
		if !flow.Even {
			gap = random.ExpFloat64()
		}
		at += time.Duration(gap / flow.Rate * float64(time.Second))
		if at >= time.Duration(flow.Stop) || len(list) >= limit {
			return list
		}
		next := arrival{at: at, url: random.IntN(len(config.URLs))}
		// The second instance differs from the first if there are several.
		next.other = (next.url + 1 + random.IntN(max(1, len(config.URLs)-1))) % len(config.URLs)
		list = append(list, next)
	}
}
