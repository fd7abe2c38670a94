package zoning

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
)

func worker(id, zone, rack string, state platform.InstanceState) platform.Instance {
	return platform.Instance{ID: id, Kind: platform.KindWorker, State: state, Zone: zone, Rack: rack, Accelerators: 8}
}

func noneQuarantined(string) bool { return false }

func gang(members int, adjacency resource.Adjacency) *resource.Job {
	return &resource.Job{Spec: resource.JobSpec{
		Organisation: "tumaini", Members: members, AcceleratorsPerMember: 8, Adjacency: adjacency,
	}}
}

// Guards against counting workers that are leaving or quarantined as capacity.
func TestInventoryCountsUsableWorkers(t *testing.T) {
	loads := ZoneCapacities([]platform.Instance{
		worker("w1", "a", "r1", platform.StateLive),
		worker("w2", "a", "r1", platform.StateLeaving),
		worker("w3", "a", "r2", platform.StateLive),
		worker("w4", "a", "r2", platform.StateLive),
	}, func(w string) bool { return w == "w4" })
	require.Equal(t, Load{Zone: "a", Total: 16, LargestWorker: 8, LargestRack: 8}, loads["a"])
}

// Guards against a job that is assigned to a zone in which no worker or rack is large enough for its
// adjacency.
func TestJobGoesToZoneThatFits(t *testing.T) {
	loads := map[string]Load{
		"a": {Zone: "a", Total: 64, Free: 64, LargestWorker: 8, LargestRack: 16},
		"b": {Zone: "b", Total: 32, Free: 0, Queued: 64, LargestWorker: 8, LargestRack: 32},
	}
	require.Equal(t, "b", ChooseForJob(gang(4, resource.AdjacentRack), loads, nil))
	require.Equal(t, "a", ChooseForJob(gang(4, resource.AdjacentZone), loads, nil))
	require.Equal(t, "a", ChooseForJob(gang(40, resource.AdjacentZone), loads, nil))
}

// Guards against a job that waits in another zone while its organisation's guarantee is unused.
func TestJobGoesToZoneOfGuarantee(t *testing.T) {
	loads := map[string]Load{
		"a": {Zone: "a", Total: 64, Free: 64, LargestWorker: 8, LargestRack: 32},
		"b": {Zone: "b", Total: 64, Free: 0, LargestWorker: 8, LargestRack: 32},
	}
	g := &resource.Guarantee{
		Spec:   resource.GuaranteeSpec{Organisation: "tumaini", Gangs: 1, Members: 2, AcceleratorsPerMember: 8},
		Status: resource.GuaranteeStatus{Zone: "b"},
	}
	guarantees := map[string]*resource.Guarantee{"g": g}
	require.Equal(t, "b", ChooseForJob(gang(2, resource.AdjacentZone), loads, guarantees))
	require.Equal(t, []string{"a", "b"}, OrderForGuarantee(&resource.Guarantee{}, loads, guarantees))
}

// Guards against a search that does not end when there are no workers.
func TestNoWorkers(t *testing.T) {
	require.Empty(t, ChooseForJob(gang(1, ""), ZoneCapacities(nil, noneQuarantined), nil))
}
