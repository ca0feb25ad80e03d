package client

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"cinderroad/internal/system/control/api"
	"cinderroad/internal/system/control/status"
)

// Problem is what an answer other than success says.
type Problem struct {
	Code     string    `json:"code"`
	Message  string    `json:"message"`
	Findings []Finding `json:"findings"`
}

// Finding is one thing that is wrong with a configuration.
type Finding struct {
	Place   string `json:"place"`
	Problem string `json:"problem"`
}

// ReadProblem returns what an answer says; of one that is not of the API, its status alone.
func ReadProblem(answer *Answer) Problem {
	var body struct {
		Error Problem `json:"error"`
	}
	if json.Unmarshal(answer.Body, &body) != nil || body.Error.Message == "" {
		return Problem{Message: http.StatusText(answer.Status)}
	}
	return body.Error
}

// Document is a configuration as it is in force.
type Document struct {
	Version uint64
	Body    []byte
}

// Read returns the newest configuration; of a system without one, version 0 and no body.
func (c *Client) Read(ctx context.Context) (*Document, error) {
	answer, err := c.Do(ctx, Call{Method: http.MethodGet, Path: api.PathRead})
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Answer.Status == http.StatusNotFound {
		return &Document{}, nil
	}
	if err != nil {
		return nil, err
	}
	version, err := strconv.ParseUint(answer.Header.Get(api.HeaderVersion), 10, 64)
	if err != nil {
		return nil, errors.Wrapf(err, "answer of %s without a version", answer.Machine)
	}
	return &Document{Version: version, Body: answer.Body}, nil
}

// Receipt is the acknowledgement of an order.
type Receipt struct {
	Machine  string `json:"machine"`
	Attempts int    `json:"attempts"`
	Version  uint64 `json:"version,omitempty"`
}

// Replace has a whole configuration put in force on top of the version that is named.
func (c *Client) Replace(ctx context.Context, basedOn uint64, body []byte) (*Receipt, error) {
	return c.change(ctx, api.PathReplace, basedOn, body)
}

// Change has items altered on top of the version that is named.
func (c *Client) Change(ctx context.Context, basedOn uint64, body []byte) (*Receipt, error) {
	return c.change(ctx, api.PathChange, basedOn, body)
}

func (c *Client) change(ctx context.Context, path string, basedOn uint64, body []byte) (*Receipt, error) {
	header := http.Header{}
	header.Set(api.HeaderBasedOn, strconv.FormatUint(basedOn, 10))
	header.Set("Content-Type", "application/json")
	return c.order(ctx, Call{Method: http.MethodPost, Path: path, Header: header, Body: body})
}

// Drain has a zone's runners left, or taken back.
func (c *Client) Drain(ctx context.Context, zone string, begin bool) (*Receipt, error) {
	path := api.PathDrainFinish
	if begin {
		path = api.PathDrainBegin
	}
	return c.order(ctx, Call{Method: http.MethodPost, Path: path + zone})
}

func (c *Client) order(ctx context.Context, call Call) (*Receipt, error) {
	answer, err := c.Do(ctx, call)
	if err != nil {
		return nil, err
	}
	receipt := Receipt{Machine: answer.Machine, Attempts: answer.Attempts}
	if err := json.Unmarshal(answer.Body, &receipt); err != nil {
		return nil, errors.Wrapf(err, "answer of %s", answer.Machine)
	}
	return &receipt, nil
}

// Status returns how the first machine that answers sees the system, and its address.
func (c *Client) Status(ctx context.Context) (machine string, seen *status.Control, err error) {
	answer, err := c.Do(ctx, Call{Method: http.MethodGet, Path: api.PathStatus})
	if err != nil {
		return "", nil, err
	}
	var out status.Control
	if err := json.Unmarshal(answer.Body, &out); err != nil {
		return "", nil, errors.Wrapf(err, "status of %s", answer.Machine)
	}
	return answer.Machine, &out, nil
}
