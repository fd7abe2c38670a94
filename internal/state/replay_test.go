package state

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
)

var testTime = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// generatedLog is a random log. Some records are appended again, some long after their base.
type generatedLog struct {
	nextID  int
	sent    []Record
	entries [][]byte
}

// newRecord draws a record. Names and zones come from small sets, so records often conflict.
func (g *generatedLog) newRecord(t *rapid.T, applied platform.Offset) Record {
	g.nextID++
	r := Record{
		Version: RecordVersion, ID: fmt.Sprintf("id-%d", g.nextID), Writer: "w",
		Base: applied - min(applied, platform.Offset(rapid.SampledFrom([]int{0, 1, 3, AppendWindow, AppendWindow + 1}).Draw(t, "lag"))),
		Time: testTime.Add(time.Duration(g.nextID) * time.Second),
	}
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	zone := rapid.SampledFrom([]string{"z1", "z2"}).Draw(t, "zone")
	epoch := platform.Epoch{Number: rapid.Uint64Range(1, 3).Draw(t, "epoch"), Holder: "i"}
	switch rapid.SampledFrom([]string{"put", "put", "put", "delete", "claim", "release", "update", "part"}).Draw(t, "payload") {
	case "put":
		r.Put = drawPut(t, name, zone)
	case "delete":
		r.Delete = &Delete{Kind: rapid.SampledFrom(resource.Kinds()).Draw(t, "kind"), Name: name, IfVersion: drawExpectedVersion(t)}
	case "claim":
		r.Claim = &ZoneClaim{Zone: zone, Epoch: epoch, Provisional: rapid.Bool().Draw(t, "provisional")}
	case "release":
		r.Release = &ZoneRelease{Zone: zone, Epoch: epoch, Successor: "j"}
	case "update":
		r.ZoneUpdate = drawUpdate(t, zone, epoch, name)
	case "part":
		r.SnapshotPart = &SnapshotPart{Snapshot: "s", Parts: 2}
	}
	return r
}

func drawExpectedVersion(t *rapid.T) *uint64 {
	if rapid.Bool().Draw(t, "unconditional") {
		return nil
	}
	version := rapid.Uint64Range(0, 30).Draw(t, "version")
	return &version
}

func drawPut(t *rapid.T, name, zone string) *Put {
	kind := rapid.SampledFrom(resource.Kinds()).Draw(t, "kind")
	n := rapid.IntRange(0, 3).Draw(t, "n")
	spec := map[string]any{
		"organisation": rapid.SampledFrom([]string{"a", "b"}).Draw(t, "organisation"),
		"members":      n, "gangs": n, "acceleratorsPerMember": 1, "urgency": n, "weight": n,
		"restart": rapid.SampledFrom([]string{"", "never"}).Draw(t, "restart"), "payload": "x",
		"admission": map[string]any{"queueLimit": n, "kindWeights": map[string]float64{}},
	}
	object, err := json.Marshal(map[string]any{
		"metadata": map[string]any{"name": name, "labels": map[string]string{}}, "spec": spec, "status": map[string]any{"zone": zone},
	})
	if err != nil {
		t.Fatal(err)
	}
	revision := rapid.Uint64Range(0, 3).Draw(t, "revision")
	return &Put{Kind: kind, Object: object, IfVersion: drawExpectedVersion(t), IfGuaranteeRevision: revision}
}

func drawUpdate(t *rapid.T, zone string, epoch platform.Epoch, name string) *ZoneUpdate {
	phase := rapid.SampledFrom([]resource.Phase{resource.PhaseQueued, resource.PhaseRunning, resource.PhaseSucceeded}).Draw(t, "phase")
	status := resource.JobStatus{Phase: phase, Zone: zone, Attempt: rapid.Uint64Range(0, 4).Draw(t, "attempt")}
	uid := fmt.Sprintf("id-%d", rapid.IntRange(1, 30).Draw(t, "uid"))
	return &ZoneUpdate{
		Zone: zone, Epoch: epoch,
		Jobs:       []JobUpdate{{Name: name, UID: uid, Status: status}},
		Guarantees: []GuaranteeUpdate{{Name: name, Zone: rapid.SampledFrom([]string{"z1", "z2"}).Draw(t, "to")}},
		Workers:    []WorkerHealth{{Worker: name, Quarantined: rapid.Bool().Draw(t, "quarantined")}},
	}
}

// step appends to the log a new record, an earlier record again, an entry that cannot be decoded,
// or a series of empty entries.
func (g *generatedLog) step(t *rapid.T) {
	applied := platform.Offset(len(g.entries))
	switch rapid.SampledFrom([]string{"new", "new", "new", "new", "new", "new", "again", "again", "garbage", "gap"}).Draw(t, "step") {
	case "new":
		r := g.newRecord(t, applied)
		data, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		g.sent = append(g.sent, r)
		g.entries = append(g.entries, data)
	case "again":
		if len(g.sent) == 0 {
			return
		}
		data, err := rapid.SampledFrom(g.sent).Draw(t, "repeated").Encode()
		if err != nil {
			t.Fatal(err)
		}
		g.entries = append(g.entries, data)
	case "garbage":
		g.entries = append(g.entries, []byte("{"))
	case "gap":
		for range rapid.SampledFrom([]int{1, AppendWindow - 2, AppendWindow}).Draw(t, "entries") {
			g.entries = append(g.entries, nil)
		}
	}
}

// apply applies entry i as package replica does, and reports whether the entry was decoded.
func (g *generatedLog) apply(s *State, i int) (Record, Verdict, bool) {
	offset := platform.Offset(i + 1)
	if len(g.entries[i]) == 0 {
		s.Skip(offset)
		return Record{}, Verdict{}, false
	}
	r, err := DecodeRecord(g.entries[i])
	if err != nil {
		s.Skip(offset)
		return r, Verdict{}, false
	}
	return r, s.Apply(offset, r), true
}

func encodeSnapshot(t require.TestingT, s *State) []byte {
	data, err := s.EncodeSnapshot()
	require.NoError(t, err)
	return data
}

// TestReplayMatchesSnapshotRestore guards against a replica whose state depends on where it
// started: a state restored from a snapshot at any offset and the records after it must equal one
// that applied all records. It also guards against a record that takes effect twice and against
// versions that decrease.
func TestReplayMatchesSnapshotRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g generatedLog
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			g.step(t)
		}
		cut := rapid.IntRange(0, len(g.entries)).Draw(t, "cut")
		s := New()
		checker := replayChecker{accepted: make(map[string]platform.Offset), versions: make(map[string]uint64)}
		var restored *State
		for i := range g.entries {
			if i == cut {
				parts := s.SplitSnapshot("s", encodeSnapshot(t, s))
				joined, err := JoinSnapshot(parts)
				require.NoError(t, err)
				restored = joined
			}
			r, v, decoded := g.apply(s, i)
			if decoded {
				checker.check(t, s, r, v, platform.Offset(i+1))
			}
			if restored != nil {
				_, again, _ := g.apply(restored, i)
				if v != again {
					t.Fatalf("verdict at %d is %v, after a snapshot at %d it is %v", i+1, v, cut, again)
				}
			}
		}
		if restored != nil {
			require.Equal(t, encodeSnapshot(t, s), encodeSnapshot(t, restored), "state after a snapshot at %d", cut)
		}
		require.LessOrEqual(t, len(s.Verdicts), AppendWindow+1)
		require.Len(t, s.VerdictOrder, len(s.Verdicts))
	})
}

// replayChecker checks invariants after each record.
type replayChecker struct {
	accepted map[string]platform.Offset
	versions map[string]uint64
	policy   platform.Offset
}

func (c *replayChecker) check(t *rapid.T, s *State, r Record, v Verdict, offset platform.Offset) {
	require.GreaterOrEqual(t, s.PolicyVersion, c.policy, "the policy version decreased")
	c.policy = s.PolicyVersion
	if v.Code != Accepted || v.Offset != offset || r.SnapshotPart != nil {
		return
	}
	require.NotContains(t, c.accepted, r.ID, "record %s took effect twice", r.ID)
	c.accepted[r.ID] = offset
	if r.Put == nil || v.Version != uint64(offset) {
		return
	}
	var meta struct {
		Metadata resource.Metadata `json:"metadata"`
	}
	require.NoError(t, json.Unmarshal(r.Put.Object, &meta))
	object, found := s.Lookup(r.Put.Kind, meta.Metadata.Name)
	require.True(t, found, "an accepted put was lost")
	require.Equal(t, uint64(offset), object.Meta().ResourceVersion)
	key := string(r.Put.Kind) + "/" + meta.Metadata.Name
	require.Greater(t, object.Meta().ResourceVersion, c.versions[key])
	c.versions[key] = object.Meta().ResourceVersion
}
