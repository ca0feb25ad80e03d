package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"cinderroad/internal/system/retry"
)

// Paths and headers of the control API, and bounds of calls.
const (
	replacePath     = "/-/Settings.Replace"
	changePath      = "/-/Settings.Change"
	readPath        = "/-/Settings.Read"
	beginPath       = "/-/DrainZone.Begin/"
	finishPath      = "/-/DrainZone.Finish/"
	basedOnHeader   = "X-Based-On"
	operatorTimeout = time.Second
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = time.Second
)

// operator sends orders to the control machines. It is not safe for concurrent use: each fault has one of its own.
type operator struct {
	addresses []string
	client    http.Client
	attempts  int // that failed, of all orders; the next one goes to the address with this number, modulo theirs
}

func (d *deployment) operator() *operator {
	return &operator{addresses: d.seedAddresses(), client: http.Client{Timeout: operatorTimeout}}
}

// rejectedError says that an order was rejected for good.
type rejectedError struct {
	Path   string
	Status int
	Text   string
}

// Error names the order, the status and the response.
func (e *rejectedError) Error() string {
	return fmt.Sprintf("operator: %s was answered with %d: %s", e.Path, e.Status, e.Text)
}

// send sends an order, to one control machine after the other and with backoff, until it has a final response.
func (o *operator) send(ctx context.Context, method, path string, base int, body []byte) ([]byte, error) {
	wait := minBackoff
	for {
		text, status, err := o.sendOnce(ctx, method, path, base, body)
		switch {
		case err == nil && status >= http.StatusOK && status < http.StatusMultipleChoices:
			return text, nil
		case err == nil && isFinal(status):
			return nil, &rejectedError{Path: path, Status: status, Text: string(text)}
		}
		o.attempts++
		if !retry.Sleep(ctx, wait) {
			return nil, fmt.Errorf("operator: the outcome of %s is unknown: last status %d, %w", path, status, ctx.Err())
		}
		wait = min(2*wait, maxBackoff)
	}
}

// isFinal reports whether an error status ends an order: sent again it would be rejected again.
func isFinal(status int) bool {
	switch status {
	case http.StatusBadRequest,
		http.StatusConflict,
		http.StatusPreconditionFailed,
		http.StatusRequestEntityTooLarge,
		http.StatusUnprocessableEntity:
		return true
	}
	return false
}

// sendOnce sends an order to one control machine; any status is no error.
func (o *operator) sendOnce(ctx context.Context, method, path string, base int,
	body []byte) (text []byte, status int, err error) {
	url := "http://" + o.addresses[o.attempts%len(o.addresses)] + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set(basedOnHeader, fmt.Sprint(base))
	}
	response, err := o.client.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	text, err = io.ReadAll(response.Body)
	return text, response.StatusCode, err
}

// replaceConfiguration sends a whole configuration that is based on the given version.
func (o *operator) replaceConfiguration(ctx context.Context, d configurationDocument, base int) error {
	body, err := json.Marshal(d)
	if err != nil {
		return err
	}
	_, err = o.send(ctx, http.MethodPost, replacePath, base, body)
	return err
}

// changeConfiguration sends a change that is based on the given version.
func (o *operator) changeConfiguration(ctx context.Context, c changeDocument, base int) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	_, err = o.send(ctx, http.MethodPost, changePath, base, body)
	return err
}

// readConfiguration returns the configuration in force.
func (o *operator) readConfiguration(ctx context.Context) (*configurationDocument, error) {
	text, err := o.send(ctx, http.MethodGet, readPath, 0, nil)
	if err != nil {
		return nil, err
	}
	var d configurationDocument
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, fmt.Errorf("operator: the configuration that was read: %w", err)
	}
	return &d, nil
}

// setEvacuation begins or ends the evacuation of a zone.
func (o *operator) setEvacuation(ctx context.Context, zone string, begin bool) error {
	path := finishPath
	if begin {
		path = beginPath
	}
	_, err := o.send(ctx, http.MethodPost, path+zone, 0, nil)
	return err
}
