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

// ErrorDetails is what an answer other than success says.
type ErrorDetails struct {
	Code     string    `json:"code"`
	Message  string    `json:"message"`
	Problems []Problem `json:"findings"`
}

// Problem is one thing that is wrong with a configuration.
type Problem struct {
	Path    string `json:"place"`
	Message string `json:"problem"`
}

// ParseError returns what an answer says; of one that is not of the API, its status alone.
func ParseError(response *Response) ErrorDetails {
	var body struct {
		Error ErrorDetails `json:"error"`
	}
	if json.Unmarshal(response.Body, &body) != nil || body.Error.Message == "" {
		return ErrorDetails{Message: http.StatusText(response.Status)}
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
	response, err := c.Do(ctx, Call{Method: http.MethodGet, Path: api.PathRead})
	var rejected *RejectedError
	if errors.As(err, &rejected) && rejected.Response.Status == http.StatusNotFound {
		return &Document{}, nil
	}
	if err != nil {
		return nil, err
	}
	version, err := strconv.ParseUint(response.Header.Get(api.HeaderVersion), 10, 64)
	if err != nil {
		return nil, errors.Wrapf(err, "answer of %s without a version", response.Machine)
	}
	return &Document{Version: version, Body: response.Body}, nil
}

// Acknowledgement is the acknowledgement of an order.
type Acknowledgement struct {
	Machine  string `json:"machine"`
	Attempts int    `json:"attempts"`
	Version  uint64 `json:"version,omitempty"`
}

// Replace has a whole configuration put in force on top of the version that is named.
func (c *Client) Replace(ctx context.Context, basedOn uint64, body []byte) (*Acknowledgement, error) {
	return c.change(ctx, api.PathReplace, basedOn, body)
}

// Change has items altered on top of the version that is named.
func (c *Client) Change(ctx context.Context, basedOn uint64, body []byte) (*Acknowledgement, error) {
	return c.change(ctx, api.PathChange, basedOn, body)
}

func (c *Client) change(ctx context.Context, path string, basedOn uint64, body []byte) (*Acknowledgement, error) {
	header := http.Header{}
	header.Set(api.HeaderBasedOn, strconv.FormatUint(basedOn, 10))
	header.Set("Content-Type", "application/json")
	return c.submit(ctx, Call{Method: http.MethodPost, Path: path, Header: header, Body: body})
}

// Drain has a zone's runners left, or taken back.
func (c *Client) Drain(ctx context.Context, zone string, begin bool) (*Acknowledgement, error) {
	path := api.PathDrainFinish
	if begin {
		path = api.PathDrainBegin
	}
	return c.submit(ctx, Call{Method: http.MethodPost, Path: path + zone})
}

func (c *Client) submit(ctx context.Context, call Call) (*Acknowledgement, error) {
	response, err := c.Do(ctx, call)
	if err != nil {
		return nil, err
	}
	acknowledgement := Acknowledgement{Machine: response.Machine, Attempts: response.Attempts}
	if err := json.Unmarshal(response.Body, &acknowledgement); err != nil {
		return nil, errors.Wrapf(err, "answer of %s", response.Machine)
	}
	return &acknowledgement, nil
}

// Status returns how the first machine that answers sees the system, and its address.
func (c *Client) Status(ctx context.Context) (machine string, seen *status.Control, err error) {
	response, err := c.Do(ctx, Call{Method: http.MethodGet, Path: api.PathStatus})
	if err != nil {
		return "", nil, err
	}
	var out status.Control
	if err := json.Unmarshal(response.Body, &out); err != nil {
		return "", nil, errors.Wrapf(err, "status of %s", response.Machine)
	}
	return response.Machine, &out, nil
}
