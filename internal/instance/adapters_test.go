package instance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/inventory"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/standin"
	"github.com/oleanderbend/oleanderbend/internal/state"
)

// fixedReader is a state.Reader of a state that only the test changes.
type fixedReader struct{ state *state.State }

func (f fixedReader) Read(read func(*state.State)) { read(f.state) }
func (f fixedReader) Changed() <-chan struct{}     { return nil }

// Guards against a burst of jobs that all go to one zone while the other zones are idle. This happens
// if the choice uses the leaders' reports, because they are older than the burst; it was seen with 24
// gangs.
func TestBurstSpreadsOverZones(t *testing.T) {
	var rows []platform.Instance
	for i := range 16 {
		rows = append(rows, platform.Instance{
			ID: fmt.Sprintf("w%02d", i), Kind: platform.KindWorker, State: platform.StateLive,
			Zone: fmt.Sprintf("z%d", i%4), Rack: fmt.Sprintf("z%d-r1", i%4), Accelerators: 8,
		})
	}
	s := state.New()
	zones := &zoneAdapter{
		instances: inventory.New(standin.NewInstances(nil, 0, rows), time.Now),
		reader:    fixedReader{s}, scheduler: newScheduler("n1"),
	}
	chosen := make(map[string]int)
	for i := range 16 {
		job := &resource.Job{
			Metadata: resource.Metadata{Name: fmt.Sprintf("j%d", i)},
			Spec:     resource.JobSpec{Organisation: "tumaini", Members: 1, AcceleratorsPerMember: 8},
		}
		zone, rejectReason, err := zones.ChooseZone(t.Context(), job)
		require.NoError(t, err)
		require.Empty(t, rejectReason)
		job.Status = resource.JobStatus{Phase: resource.PhaseQueued, Zone: zone}
		s.Jobs[job.Name] = job
		chosen[zone]++
	}
	require.Equal(t, map[string]int{"z0": 4, "z1": 4, "z2": 4, "z3": 4}, chosen)
}
