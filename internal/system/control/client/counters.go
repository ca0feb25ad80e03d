package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"cinderroad/internal/system/control/counterservice"
)

// Addition adds an amount to a counter. Additions of one ID count once, at whichever machines they arrive.
type Addition struct {
	ID     string `json:"id"`
	Amount int64  `json:"changed_by"`
}

// Add adds to a replicated counter; the errors are those of Do. After a *RejectedError or an *UnavailableError without MayBeDone
// nothing was counted; otherwise the addition may be counted, and the same one may be sent again.
func (c *Client) Add(ctx context.Context, counter string, addition Addition) (*Acknowledgement, error) {
	body, err := json.Marshal(&addition)
	if err != nil {
		return nil, errors.Wrap(err, "addition")
	}
	call := counterCall(http.MethodPost, counterservice.PathAdd, counter)
	call.Header = http.Header{"Content-Type": {"application/json"}}
	call.Body = body
	call.NothingDone = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}
	return c.submit(ctx, call)
}

// CounterTotal is the value of a replicated counter at one machine.
type CounterTotal struct {
	Machine string      `json:"machine"`
	Total   json.Number `json:"total"` // may exceed 64 bits
}

// ReadCounter returns the total of a replicated counter at the first machine that responds; the errors are those of Do.
func (c *Client) ReadCounter(ctx context.Context, counter string) (*CounterTotal, error) {
	response, err := c.Do(ctx, counterCall(http.MethodGet, counterservice.PathRead, counter))
	if err != nil {
		return nil, err
	}
	total := CounterTotal{Machine: response.Machine}
	if err := json.Unmarshal(response.Body, &total); err != nil || total.Total == "" {
		return nil, errors.Newf("response of %s has no total; check that the address is that of a control machine", response.Machine)
	}
	return &total, nil
}

// counterCall is a call about a counter. The path's prefix ends with a slash.
func counterCall(method, prefix, counter string) Call {
	return Call{Method: method, Path: prefix + counter, EscapedPath: prefix + url.PathEscape(counter)}
}
