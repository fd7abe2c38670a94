package resource

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func validJob() *Job {
	return &Job{
		Metadata: Metadata{Name: "forecast", Labels: map[string]string{"team": "plan"}},
		Spec:     JobSpec{Organisation: "lulea", Members: 2, AcceleratorsPerMember: 8, Adjacency: AdjacentRack},
	}
}

// Guards against rules that are not checked, and against errors that name the wrong field or quote a
// value at full length.
func TestJobValidation(t *testing.T) {
	require.Empty(t, validJob().Validate())
	cases := map[string]func(*Job){
		"metadata.name":              func(j *Job) { j.Name = "Forecast!" },
		"metadata.labels.team":       func(j *Job) { j.Labels["team"] = strings.Repeat("x", MaxLabelBytes+1) },
		"spec.organisation":          func(j *Job) { j.Spec.Organisation = "" },
		"spec.members":               func(j *Job) { j.Spec.Members = 0 },
		"spec.acceleratorsPerMember": func(j *Job) { j.Spec.AcceleratorsPerMember = MaxAcceleratorsPerMember + 1 },
		"spec.adjacency":             func(j *Job) { j.Spec.Adjacency = "row" },
		"spec.urgency":               func(j *Job) { j.Spec.Urgency = 8 },
		"spec.declaredSeconds":       func(j *Job) { j.Spec.DeclaredSeconds = math.NaN() },
		"spec.restart":               func(j *Job) { j.Spec.Restart = "twice" },
		"spec.payload":               func(j *Job) { j.Spec.Payload = strings.Repeat("x", MaxPayloadBytes+1) },
	}
	for field, makeInvalid := range cases {
		job := validJob()
		makeInvalid(job)
		errs := job.Validate()
		require.Len(t, errs, 1, field)
		require.Equal(t, field, errs[0].Field)
		// Values are truncated to 100 bytes and "...".
		require.LessOrEqual(t, len(errs[0].Value), 110)
	}
}

// Guards against clones that share their labels with the original.
func TestCloneIsDeepCopy(t *testing.T) {
	job := validJob()
	copied := job.Clone().(*Job)
	copied.Labels["team"] = "other"
	require.Equal(t, "plan", job.Labels["team"])
	require.Equal(t, job.Spec, copied.Spec)
}

// Guards against losing the default of a policy parameter, and against replacing an explicit zero.
func TestPolicyDefaults(t *testing.T) {
	zero := 0
	p := PolicySpec{Placement: PlacementPolicy{UrgentAtMost: &zero}}.WithDefaults()
	require.Equal(t, 0, *p.Placement.UrgentAtMost)
	require.Equal(t, DefaultQueueLimit, p.Admission.QueueLimit)
	require.Equal(t, DefaultUrgentAtMost, *PolicySpec{}.WithDefaults().Placement.UrgentAtMost)
}

// Guards against a kind that New does not support or for which it returns an object of another kind.
func TestNewCoversAllKinds(t *testing.T) {
	for _, kind := range Kinds() {
		object, err := New(kind)
		require.NoError(t, err)
		require.Equal(t, kind, object.Kind())
	}
	_, err := New("pods")
	require.ErrorIs(t, err, ErrUnknownKind)
}
