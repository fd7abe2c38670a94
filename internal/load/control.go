package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/oleanderbend/oleanderbend/internal/standin"
)

// maxResponseBytes bounds the response to one query for execution counts.
const maxResponseBytes = 4 << 20

// NewExecutionCounter returns an ExecutionCounter that queries the control address of the stand-ins at
// controlURL.
func NewExecutionCounter(controlURL string) ExecutionCounter {
	return func(ctx context.Context, ids []string) (map[string]int, error) {
		body, err := json.Marshal(standin.ExecutedRequest{IDs: ids})
		if err != nil {
			return nil, err
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, controlURL+standin.ExecutedPath, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return nil, err
		}
		defer resp.Body.Close()
		data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
		if err != nil {
			return nil, err
		}
		if resp.StatusCode != http.StatusOK {
			return nil, fmt.Errorf("control address returned status %d", resp.StatusCode)
		}
		var response standin.ExecutedResponse
		if err := json.Unmarshal(data, &response); err != nil {
			return nil, err
		}
		return response.Counts, nil
	}
}
