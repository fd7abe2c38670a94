package load

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderbend/oleanderbend/internal/settings"
)

// arrival is the scheduled send of one request of a flow.
type arrival struct {
	// at is the send time, relative to the start of the run.
	at time.Duration
	// instance and resendInstance are indices of the instances for the request and for its resend.
	instance, resendInstance int
}

// arrivals returns the first requests of a flow, at most limit, in the order of their times. They
// depend only on the settings, not on the response times of the system.
func arrivals(config settings.Load, flow settings.LoadFlow, limit int) []arrival {
	name := strings.Join([]string{flow.Organisation, flow.Caller, flow.Kind}, "\x00")
	random := rand.New(rand.NewPCG(config.Seed, xxhash.Sum64String(name)))
	var list []arrival
	at := time.Duration(flow.Start)
	for {
		interval := 1.0
		if !flow.Even {
			interval = random.ExpFloat64()
		}
		at += time.Duration(interval / flow.Rate * float64(time.Second))
		if at >= time.Duration(flow.Stop) || len(list) >= limit {
			return list
		}
		next := arrival{at: at, instance: random.IntN(len(config.URLs))}
		// The instance for the resend differs from the first one if there are several instances.
		next.resendInstance = (next.instance + 1 + random.IntN(max(1, len(config.URLs)-1))) % len(config.URLs)
		list = append(list, next)
	}
}
