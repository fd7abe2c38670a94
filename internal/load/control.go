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

// maxExecutedBytes bounds the answer to one question for what ran.
const maxExecutedBytes = 4 << 20

// NewExecutionCounter returns a function that asks the control address of the stand-ins.
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
		data, err := io.ReadAll(io.LimitReader(resp.Body, maxExecutedBytes))
		if err != nil {
			return nil, err
		}
		if resp.StatusCode != http.StatusOK {
			return nil, fmt.Errorf("control address answered status %d", resp.StatusCode)
		}
		var answer standin.ExecutedResponse
		if err := json.Unmarshal(data, &answer); err != nil {
			return nil, err
		}
		return answer.Counts, nil
	}
}
