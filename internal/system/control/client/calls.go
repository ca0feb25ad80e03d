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

// Document is the configuration in force.
type Document struct {
	Version uint64 // 0: there is none yet
	Body    []byte
}

// Read returns the configuration in force; version 0 and no body if there is none yet.
func (c *Client) Read(ctx context.Context) (*Document, error) {
	response, err := c.Do(ctx, Call{Method: http.MethodGet, Path: api.PathRead})
	var rejected *RejectedError
	if errors.As(err, &rejected) && rejected.isNoConfiguration() {
		return &Document{}, nil
	}
	if err != nil {
		return nil, err
	}
	version, err := strconv.ParseUint(response.Header.Get(api.HeaderVersion), 10, 64)
	if err != nil {
		return nil, errors.Wrapf(err, "response of %s without a version", response.Machine)
	}
	return &Document{Version: version, Body: response.Body}, nil
}

// Acknowledgement is the response to a change that is in force.
type Acknowledgement struct {
	Machine  string `json:"machine"`
	Attempts int    `json:"attempts"`
	Version  uint64 `json:"version,omitempty"` // of the configuration; 0 for an evacuation
}

// Replace replaces the complete configuration, based on the version given; the errors are those of Do.
func (c *Client) Replace(ctx context.Context, basedOn uint64, body []byte) (*Acknowledgement, error) {
	return c.change(ctx, api.PathReplace, basedOn, body)
}

// Change replaces and removes single items, based on the version given; the errors are those of Do.
func (c *Client) Change(ctx context.Context, basedOn uint64, body []byte) (*Acknowledgement, error) {
	return c.change(ctx, api.PathChange, basedOn, body)
}

func (c *Client) change(ctx context.Context, path string, basedOn uint64, body []byte) (*Acknowledgement, error) {
	header := http.Header{}
	header.Set(api.HeaderBasedOn, strconv.FormatUint(basedOn, 10))
	header.Set("Content-Type", "application/json")
	return c.submit(ctx, Call{Method: http.MethodPost, Path: path, Header: header, Body: body})
}

// Drain evacuates a zone (begin), or ends its evacuation; the errors are those of Do.
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
		return nil, errors.Wrapf(err, "response of %s", response.Machine)
	}
	return &acknowledgement, nil
}

// Status returns the status of the first machine that responds, and its address.
func (c *Client) Status(ctx context.Context) (machine string, description *status.Control, err error) {
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
