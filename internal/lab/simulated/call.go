package simulated

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Call sends one operator request to the replicas, with body encoded as JSON. It tries the replicas in turn and follows X-Leader until
// one answers with another status than 503, for at most a minute. unknown reports that the outcome of an earlier attempt is unknown, so
// that the request may already have taken effect.
func Call(replicas []string, method, path string, body any) (code int, text string, unknown bool, err error) {
	raw, _ := json.Marshal(body)
	to := 0
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		req, _ := http.NewRequest(method, "http://"+replicas[to]+path, bytes.NewReader(raw))
		resp, err := client.Do(req)
		if err == nil {
			text, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode != http.StatusServiceUnavailable {
				return resp.StatusCode, string(text), unknown, nil
			}
			unknown = unknown || strings.Contains(string(text), "not committed")
			if i := slices.Index(replicas, resp.Header.Get("X-Leader")); i >= 0 && i != to {
				to = i
				continue
			}
		} else {
			unknown = true
		}
		to = (to + 1) % len(replicas)
	}
	return 0, "", unknown, fmt.Errorf("%s %s: no leader answers", method, path)
}
