package measure

import (
	"fmt"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/admission"
)

// requestSeed is the seed of the benchmarks.
const requestSeed = 20260101

const (
	// requestWarmup is the time at the start that is excluded from the results.
	requestWarmup = 8 * time.Second
	// requestRunTime is the length of a simulation, including the warm-up.
	requestRunTime = 24 * time.Second
	// requestSigma is the sigma of the log-normal service times: their 99th percentile is about
	// 4 times the median.
	requestSigma = 0.6
)

// requestKind is a kind of requests in the ordinary load.
type requestKind struct {
	name string
	// urgency is lower for more urgent requests.
	urgency int
	// service is the mean service time.
	service time.Duration
	// loadShare is the fraction of the ordinary load that is of this kind.
	loadShare float64
}

func requestKinds() []requestKind {
	return []requestKind{
		{"approval", 1, 50 * time.Millisecond, 0.2},
		{"plan", 3, 200 * time.Millisecond, 0.4},
		{"forecast", 5, time.Second, 0.4},
	}
}

// ordinaryLoad returns sources of all kinds and organisations that together need the given
// fraction of the capacity. One caller of each organisation sends half of the organisation's
// work, nine callers send the rest in equal parts.
func ordinaryLoad(d requestDeployment, fraction float64) []requestSource {
	var sources []requestSource
	const callers = 10
	for org := range d.orgs {
		for _, kind := range requestKinds() {
			load := d.capacity() * fraction * kind.loadShare / float64(d.orgs)
			for caller := range callers {
				share := 0.5 / (callers - 1)
				if caller == 0 {
					share = 0.5
				}
				sources = append(sources, requestSource{
					flow:    admission.Flow{Organisation: fmt.Sprintf("org-%03d", org), Kind: kind.name, Caller: fmt.Sprintf("caller-%d", caller)},
					urgency: kind.urgency, rate: load * share / kind.service.Seconds(), service: kind.service,
					sigma: requestSigma, deadline: 10 * time.Second, idempotent: true, group: "others",
				})
			}
		}
	}
	return sources
}

// floodLoad returns sources of one kind that together need ten times the capacity. They are five
// callers in each of half of the organisations.
func floodLoad(d requestDeployment, urgency int) []requestSource {
	const (
		factor  = 10
		callers = 5
		service = 500 * time.Millisecond
	)
	orgs := max(1, d.orgs/2)
	rate := factor * d.capacity() / service.Seconds() / float64(orgs*callers)
	var sources []requestSource
	for org := range orgs {
		for caller := range callers {
			sources = append(sources, requestSource{
				flow:    admission.Flow{Organisation: fmt.Sprintf("org-%03d", org), Kind: "surge", Caller: fmt.Sprintf("caller-%d", caller)},
				urgency: urgency, rate: rate, service: service, sigma: requestSigma,
				deadline: 10 * time.Second, idempotent: true, group: "flood", from: requestWarmup / 2,
			})
		}
	}
	return sources
}

// requestMetrics contains the values that one benchmark reports, by unit.
type requestMetrics map[string]float64

// runRequests simulates the sources with a policy until the given time. In the result, the groups,
// busy and useful leave out the warm-up; the other counters include it.
func runRequests(d requestDeployment, policy string, seed uint64, sources []requestSource, until time.Duration) requestResult {
	s := newRequestSim(d, seed)
	s.warmup = requestWarmup
	newRequestPolicies(s, policy, seed)
	return s.run(sources, until)
}

// measureFlood compares the results of the ordinary load with and without a flood of requests of
// one kind. kept_share is the fraction of ordinary requests answered with the flood, divided by
// that without it; p99_ratio is the ratio of the 99th percentiles of their latencies. utilisation and
// useful are requestResult.busy and requestResult.useful with the flood, as fractions of the
// capacity.
func measureFlood(d requestDeployment, policy string, seed uint64, urgency int) requestMetrics {
	const ordinaryFraction = 0.5
	quiet := runRequests(d, policy, seed, ordinaryLoad(d, ordinaryFraction), requestRunTime)
	sources := append(ordinaryLoad(d, ordinaryFraction), floodLoad(d, urgency)...)
	flooded := runRequests(d, policy, seed, sources, requestRunTime)
	before, after := quiet.groups["others"], flooded.groups["others"]
	measured := (requestRunTime - requestWarmup).Seconds()
	return requestMetrics{
		"kept_share":  float64(after.answered) / float64(after.sent) / (float64(before.answered) / float64(before.sent)),
		"p99_ratio":   float64(after.p99()) / float64(before.p99()),
		"utilisation": flooded.busy.Seconds() / measured / d.capacity(),
		"useful":      flooded.useful.Seconds() / measured / d.capacity(),
		"over_limit":  float64(flooded.overLimit),
	}
}

// smallCallerLoad returns the sources of callers with little load that together need 5 % of the
// capacity. Each uses one instance only.
func smallCallerLoad(d requestDeployment) []requestSource {
	const (
		callers  = 20
		fraction = 0.05
		service  = 100 * time.Millisecond
	)
	var sources []requestSource
	for caller := range callers {
		sources = append(sources, requestSource{
			flow:    admission.Flow{Organisation: "org-000", Kind: "approval", Caller: fmt.Sprintf("officer-%02d", caller)},
			urgency: 3, rate: d.capacity() * fraction / service.Seconds() / callers, service: service,
			sigma: requestSigma, deadline: 5 * time.Second, idempotent: true, group: "small",
			instances: []int{caller % d.instances},
		})
	}
	return sources
}

// measureSmallCallers compares small callers alone with the same callers beside a large one of the
// same organisation and kind. The large caller sends 50 times their work, which is 2.5 times the
// capacity, through all instances.
func measureSmallCallers(d requestDeployment, policy string, seed uint64) requestMetrics {
	const factor = 50
	small := smallCallerLoad(d)
	alone := runRequests(d, policy, seed, smallCallerLoad(d), requestRunTime)
	total := 0.0
	for _, src := range small {
		total += src.load()
	}
	const batchService = 400 * time.Millisecond
	large := requestSource{
		flow:    admission.Flow{Organisation: "org-000", Kind: "approval", Caller: "clinic-batch"},
		urgency: 3, rate: factor * total / batchService.Seconds(), service: batchService,
		sigma: requestSigma, deadline: time.Minute, idempotent: true, group: "large", from: requestWarmup / 2,
	}
	crowded := runRequests(d, policy, seed, append(small, large), requestRunTime)
	before, after := alone.groups["small"], crowded.groups["small"]
	return requestMetrics{
		"small_p99_ratio":     float64(after.p99()) / float64(before.p99()),
		"small_refused_share": float64(after.rejected+after.failed) / float64(after.sent),
		"over_limit":          float64(crowded.overLimit),
	}
}

// measureRetry lets all targets fail for 20 s and half of them for the remaining 40 s.
// goodput_share is the work answered in the last 20 s, divided by the capacity of the healthy
// half, and busy_share the service time in the last 20 s, divided by the same. failed_share is the
// fraction of the requests sent in the last 20 s that failed. attempts_ratio is the number of all
// attempts divided by that of first attempts, over the whole 60 s. The offered load exceeds the
// capacity of the healthy half.
func measureRetry(d requestDeployment, policy string, seed uint64) requestMetrics {
	const (
		allFail      = 20 * time.Second
		settle       = 20 * time.Second
		end          = 60 * time.Second
		offeredLoad  = 0.65
		healthyShare = 0.5
	)
	s := newRequestSim(d, seed)
	s.warmup = allFail + settle
	newRequestPolicies(s, policy, seed)
	rows := d.targetRows()
	for _, t := range s.targets {
		t.failing = true
	}
	s.after(allFail, func() {
		for i, row := range rows {
			s.targets[row.ID].failing = i%2 == 0
		}
	})
	result := s.run(ordinaryLoad(d, offeredLoad), end)
	g := result.groups["others"]
	measured := (end - allFail - settle).Seconds()
	return requestMetrics{
		"attempts_ratio": float64(result.attempts) / float64(max(1, result.firstAttempts)),
		"goodput_share":  result.useful.Seconds() / measured / (d.capacity() * healthyShare),
		"busy_share":     result.busy.Seconds() / measured / (d.capacity() * healthyShare),
		"failed_share":   float64(g.failed) / float64(g.sent),
		"over_limit":     float64(result.overLimit),
	}
}

// measureSharing sends a load of 60 % of the capacity through a third of the instances.
func measureSharing(d requestDeployment, policy string, seed uint64) requestMetrics {
	const fraction = 0.6
	sources := ordinaryLoad(d, fraction)
	for i := range sources {
		for instance := range max(1, d.instances/3) {
			sources[i].instances = append(sources[i].instances, instance)
		}
	}
	result := runRequests(d, policy, seed, sources, requestRunTime)
	g := result.groups["others"]
	return requestMetrics{
		"answered_share": float64(g.answered) / float64(g.sent),
		"p99_ms":         float64(g.p99().Milliseconds()),
		"over_limit":     float64(result.overLimit),
	}
}
