package state

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
)

func compress(t testing.TB, data []byte) []byte {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	_, err := w.Write(data)
	require.NoError(t, err)
	require.NoError(t, w.Close())
	return buf.Bytes()
}

// workload is the size of a simulated system.
type workload struct{ organisations, liveJobs, jobsPerDay int }

// dayOfRecords returns the encoded records of a day: one for each organisation and guarantee, and
// for each job one when it is queued, one when it is placed and one when it ends. The last
// liveJobs jobs do not end.
func dayOfRecords(b *testing.B, n workload) [][]byte {
	var entries [][]byte
	add := func(r Record) {
		r.Version, r.ID, r.Writer, r.Time = RecordVersion, fmt.Sprintf("0190b3c4-5f0c-7d8e-8a41-%012d", len(entries)), "entry-1", testTime.Add(time.Duration(len(entries))*time.Second)
		r.Base = platform.Offset(len(entries))
		data, err := r.Encode()
		require.NoError(b, err)
		entries = append(entries, data)
	}
	put := func(object resource.Object, revision uint64) {
		data, err := json.Marshal(object)
		require.NoError(b, err)
		add(Record{Put: &Put{Kind: object.Kind(), Object: data, IfGuaranteeRevision: revision}})
	}
	add(Record{Claim: &ZoneClaim{Zone: "z1", Epoch: epoch1}})
	for i := range n.organisations {
		name := fmt.Sprintf("organisation-%d", i)
		put(&resource.Organisation{Metadata: resource.Metadata{Name: name}, Spec: resource.OrganisationSpec{Weight: 1, AcceleratorQuota: 64}}, 0)
		put(&resource.Guarantee{
			Metadata: resource.Metadata{Name: name}, Status: resource.GuaranteeStatus{Zone: "z1"},
			Spec: resource.GuaranteeSpec{Organisation: name, Gangs: 1, Members: 4, AcceleratorsPerMember: 8},
		}, uint64(i))
	}
	status := func(i, offset int, phase resource.Phase) {
		workers := []string{fmt.Sprintf("worker-%d", i%800), fmt.Sprintf("worker-%d", (i+1)%800), fmt.Sprintf("worker-%d", (i+2)%800)}
		update := JobUpdate{Name: fmt.Sprintf("job-%d", i), UID: fmt.Sprintf("0190b3c4-5f0c-7d8e-8a41-%012d", offset), Status: resource.JobStatus{
			Phase: phase, Zone: "z1", Attempt: 1 << 40, Workers: workers, Checkpoint: fmt.Sprintf("ck-%d-7", i), Starts: 1, StartedAt: testTime,
		}}
		add(Record{ZoneUpdate: &ZoneUpdate{Zone: "z1", Epoch: epoch1, Jobs: []JobUpdate{update}}})
	}
	for i := range n.jobsPerDay {
		created := len(entries)
		put(&resource.Job{
			Metadata: resource.Metadata{Name: fmt.Sprintf("job-%d", i), Labels: map[string]string{"team": "a"}}, Status: resource.JobStatus{Zone: "z1"},
			Spec: resource.JobSpec{
				Organisation: fmt.Sprintf("organisation-%d", i%n.organisations), Members: 3, AcceleratorsPerMember: 1, CoresPerMember: 16,
				MemoryMBPerMember: 32_000, Adjacency: resource.AdjacentRack, Urgency: 3, DeclaredSeconds: 7200, Checkpointable: true, Payload: "forecast --region norrbotten --hours 72",
			},
		}, 0)
		status(i, created, resource.PhaseRunning)
		if i < n.jobsPerDay-n.liveJobs {
			status(i, created, resource.PhaseSucceeded)
		}
	}
	return entries
}

// BenchmarkCapacityState measures the state after a day at four sizes. The largest has 8,400
// running tasks: 2,800 jobs of three members. apply_us is the time in microseconds to decode and
// apply one record.
func BenchmarkCapacityState(b *testing.B) {
	for _, n := range []workload{{4, 48, 48}, {32, 350, 700}, {65, 1400, 1450}, {130, 2800, 2900}} {
		b.Run(fmt.Sprintf("jobs=%d", n.jobsPerDay), func(b *testing.B) {
			entries := dayOfRecords(b, n)
			for b.Loop() {
				before := heapBytes()
				started := time.Now()
				s := New()
				for i, data := range entries {
					r, err := DecodeRecord(data)
					require.NoError(b, err)
					s.Apply(platform.Offset(i+1), r)
				}
				applied := time.Since(started)
				after := heapBytes()
				require.Len(b, s.Jobs, min(n.jobsPerDay, n.liveJobs+maxEndedJobs))
				started = time.Now()
				data, err := s.EncodeSnapshot()
				require.NoError(b, err)
				snapshot := time.Since(started)
				b.ReportMetric(float64(after-before)/(1<<20), "state_MiB")
				b.ReportMetric(float64(applied.Microseconds())/float64(len(entries)), "apply_us")
				b.ReportMetric(float64(len(data))/1024, "snapshot_KiB")
				b.ReportMetric(float64(snapshot.Microseconds())/1000, "encode_ms")
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
