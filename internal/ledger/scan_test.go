package ledger

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// samePageLog returns one page again and again, as a log does for a key that the reader cannot name.
type samePageLog struct{ Log }

func (samePageLog) Latest(context.Context, string, string) (LatestPage, error) {
	return LatestPage{Entries: []Entry{{Record: Record{Key: "a\ufffd", Value: []byte("1")}}}, More: true, End: 1}, nil
}

// Guards against a scan that reads the same page for ever, and keeps all copies of it in memory.
func TestScanEndsWithoutProgress(t *testing.T) {
	scan := NewScan(samePageLog{}, "t")
	for range 10 {
		done, err := scan.Step(context.Background())
		require.NoError(t, err)
		if done {
			require.Len(t, scan.Entries, 1)
			return
		}
	}
	require.Fail(t, "the scan does not end")
}
