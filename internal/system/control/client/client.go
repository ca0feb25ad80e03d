// Package client calls the operator's API of the control machines as any caller has to: it follows redirections, moves on
// to another machine after a failure, and sends an order whose outcome is not known again, unchanged, which the API takes
// for the same order.
package client

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of calls.
const (
	maxRedirects     = 2
	maxRejections    = 3 // of 4xx answers that do not end a call at once
	maxResponseBytes = 64 << 20

	callTimeout       = time.Second             // without an answer, for a call without a body
	callTimeoutPerMiB = time.Second             // on top of it, for what the call carries
	initialBackoff    = 50 * time.Millisecond   // between two attempts
	maxBackoff        = 1500 * time.Millisecond // that pauses grow to
)

// DefaultTimeout is how long a call is tried for.
const DefaultTimeout = 15 * time.Second

// Client calls control machines. It is not safe for concurrent use.
type Client struct {
	// Addresses are the addresses of the operator's API, host:port; they are asked in turn, from the first one.
	Addresses []string
	// Timeout is how long a call is tried for; 0: DefaultTimeout.
	Timeout time.Duration
	// MaxAttempts is how often a call is tried; 0: as often as there is time for.
	MaxAttempts int
	// Sleep waits between two attempts; nil: for the time given, or until the context ends.
	Sleep func(ctx context.Context, d time.Duration)

	http        http.Client
	nextAddress int // machine that is asked next
}

// Call is a call of the operator's API.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Response is a machine's answer to a call.
type Response struct {
	Machine  string // that gave it
	Status   int
	Header   http.Header
	Body     []byte
	Attempts int // that it took
}

// RejectedError says that the call was answered, and refused for good.
type RejectedError struct {
	Response Response
	Details  ErrorDetails
}

// Error is the answer's message.
func (e *RejectedError) Error() string {
	return "refused by " + e.Response.Machine + " with " + strconv.Itoa(e.Response.Status) + ": " + e.Details.Message
}

// UnavailableError says that no machine gave a clear answer. An order may still have been taken: send it again unchanged.
type UnavailableError struct {
	Attempts  int
	LastError error
}

// Error says what to do.
func (e *UnavailableError) Error() string {
	return "no clear answer after " + strconv.Itoa(e.Attempts) + " attempts; an order may have been taken: send the same " +
		"one again, and check with status that a majority of the control machines runs; last: " + e.LastError.Error()
}

// Unwrap is what the last attempt came to.
func (e *UnavailableError) Unwrap() error { return e.LastError }

// ErrNoAddresses says that there is nobody to ask.
var ErrNoAddresses = errors.New("no control machine is known: name one with --seed, or a settings file with --settings")

// Do calls until there is a clear answer. Its error is a *RejectedError, an *UnavailableError or ErrNoAddresses.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	if len(c.Addresses) == 0 {
		return nil, ErrNoAddresses
	}
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	backoff, rejections := initialBackoff, 0
	for attempts := 1; ; attempts++ {
		response, err := c.attempt(ctx, &call)
		if err == nil {
			response.Attempts = attempts
			outcome := classify(response.Status)
			if outcome == outcomeRejectedOnce {
				rejections++
			}
			switch {
			case outcome == outcomeAccepted:
				return response, nil
			case outcome == outcomeRejected, rejections >= maxRejections:
				return nil, &RejectedError{Response: *response, Details: ParseError(response)}
			}
			err = errors.Newf("%s answered %d: %s", response.Machine, response.Status, ParseError(response).Message)
		}
		c.nextAddress++
		if attempts == c.MaxAttempts {
			return nil, &UnavailableError{Attempts: attempts, LastError: err}
		}
		c.sleep(ctx, max(withJitter(backoff), retryAfter(response)))
		if ctx.Err() != nil {
			return nil, &UnavailableError{Attempts: attempts, LastError: err}
		}
		backoff = min(maxBackoff, 2*backoff)
	}
}

// outcome is what an answer means for the call.
type outcome uint8

const (
	outcomeAccepted outcome = iota
	outcomeRejected
	outcomeRejectedOnce // other refusals: the call ends with the third one
	outcomeUnknown      // another machine may do better
)

func classify(status int) outcome {
	switch {
	case status >= 200 && status < 300:
		return outcomeAccepted
	case status >= 500, status == http.StatusRequestTimeout, status == http.StatusTooManyRequests:
		return outcomeUnknown
	}
	switch status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusConflict, http.StatusPreconditionFailed,
		http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return outcomeRejected
	}
	return outcomeRejectedOnce
}

// attempt asks one machine, and those that it refers to.
func (c *Client) attempt(ctx context.Context, call *Call) (*Response, error) {
	machine := c.Addresses[c.nextAddress%len(c.Addresses)]
	target := url.URL{Scheme: "http", Host: machine, Path: call.Path}
	for redirects := 0; ; redirects++ {
		response, err := c.send(ctx, call, &target)
		if err != nil || response.Status != http.StatusTemporaryRedirect {
			return response, err
		}
		location, err := target.Parse(response.Header.Get("Location"))
		if err != nil {
			return nil, errors.Wrapf(err, "%s refers to a place that makes no sense", target.Host)
		}
		if redirects == maxRedirects {
			return nil, errors.Newf("%s refers to another machine for the third time; no machine may lead now", target.Host)
		}
		target = *location
	}
}

func (c *Client) send(ctx context.Context, call *Call, target *url.URL) (*Response, error) {
	timeout := callTimeout + callTimeoutPerMiB*time.Duration(len(call.Body))/(1<<20)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.Method, target.String(), bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrapf(err, "call of %s", target.Host)
	}
	for name, values := range call.Header {
		request.Header[name] = values
	}
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "call of %s", target.Host)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err := errors.CombineErrors(err, response.Body.Close()); err != nil {
		return nil, errors.Wrapf(err, "answer of %s", target.Host)
	}
	return &Response{Machine: target.Host, Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

func (c *Client) sleep(ctx context.Context, d time.Duration) {
	if c.Sleep != nil {
		c.Sleep(ctx, d)
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// withJitter is a pause between half and the whole of the time, so that callers do not come in step.
func withJitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// retryAfter is the wait that an answer asks for, if there is one.
func retryAfter(response *Response) time.Duration {
	if response == nil {
		return 0
	}
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || seconds <= 0 {
		return 0
	}
	return min(maxBackoff, time.Duration(seconds*float64(time.Second)))
}
