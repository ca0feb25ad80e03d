package client

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"cinderroad/internal/system/control/api"
	"cinderroad/internal/system/retry"
)

const (
	// maxRedirects is the number of redirects that an attempt follows. The API's callers follow them by its protocol, so that
	// a control machine may send them; those of this release respond themselves.
	maxRedirects = 2
	// maxRejections is the number of responses with an unspecific 4xx status after which a call ends.
	maxRejections = 3
	// maxResponseBytes is the size up to which a response body is read. A longer one is an error.
	maxResponseBytes = 64 << 20

	// callTimeout bounds a request to one machine until the head of its response, and then each pause in the response's body.
	// Sending a body adds transferTimePerMiB, and handling it the machine's own allowance, api.ParseAllowance.
	callTimeout        = time.Second
	transferTimePerMiB = time.Second

	// The pause between attempts doubles from initialBackoff up to maxBackoff.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 1500 * time.Millisecond
)

// DefaultTimeout is the value of a zero Client.Timeout, for a call without a large body.
const DefaultTimeout = 15 * time.Second

// Client calls control machines. It is not safe for concurrent use.
type Client struct {
	// Addresses are the addresses of the operator's API, host:port. They are tried in turn, from the first one.
	Addresses []string
	// Timeout bounds a call with all its attempts; 0: DefaultTimeout, and more for a large body.
	Timeout time.Duration
	// MaxAttempts bounds the attempts of a call; 0: only Timeout does.
	MaxAttempts int
	// Sleep waits between two attempts, no longer than the context lasts; nil: by the clock.
	Sleep func(ctx context.Context, d time.Duration)

	http        http.Client
	nextAddress int // index modulo the number of addresses
}

// Call is a call of the operator's API.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// EscapedPath is Path with the slashes of its last segment escaped, if it has any.
	EscapedPath string
	// NothingDone lists the statuses by which a machine promises that it has done nothing.
	NothingDone []int
}

// isHarmless reports whether an attempt, which has failed, has certainly done nothing.
func (c *Call) isHarmless(response *Response, err error) bool {
	if response != nil {
		return slices.Contains(c.NothingDone, response.Status)
	}
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial"
}

// Response is a machine's response to a call.
type Response struct {
	Machine  string // host:port of the machine that responded
	Status   int    // HTTP status
	Header   http.Header
	Body     []byte
	Attempts int // that the call took
}

// Do repeats the call until there is a definite response. Its error is a *RejectedError, a *ResponseTooLargeError, an
// *UnavailableError or ErrNoAddresses.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	if len(c.Addresses) == 0 {
		return nil, ErrNoAddresses
	}
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout + bodyAllowance(len(call.Body))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	backoff := initialBackoff
	rejections := 0
	mayBeDone := false
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
				return nil, &RejectedError{Response: *response, Details: ParseError(response), MayBeDone: mayBeDone}
			}
			err = errors.Newf("%s responded %d: %s", response.Machine, response.Status, ParseError(response).Message)
		}
		mayBeDone = mayBeDone || !call.isHarmless(response, err)
		var tooLarge *ResponseTooLargeError
		if errors.As(err, &tooLarge) {
			return nil, tooLarge
		}
		c.nextAddress++
		if attempts == c.MaxAttempts {
			return nil, &UnavailableError{Attempts: attempts, MayBeDone: mayBeDone, LastError: err}
		}
		c.sleep(ctx, max(withJitter(backoff), retryAfter(response)))
		if ctx.Err() != nil {
			return nil, &UnavailableError{Attempts: attempts, MayBeDone: mayBeDone, LastError: err}
		}
		backoff = min(maxBackoff, 2*backoff)
	}
}

// outcome is what a response means for the call.
type outcome uint8

const (
	outcomeAccepted     outcome = iota
	outcomeRejected             // for good
	outcomeRejectedOnce         // the call ends after maxRejections
	outcomeUnknown              // another machine may succeed
)

// classify returns the outcome of a response with the HTTP status.
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

// attempt calls one machine, and those that it redirects to.
func (c *Client) attempt(ctx context.Context, call *Call) (*Response, error) {
	machine := c.Addresses[c.nextAddress%len(c.Addresses)]
	target := url.URL{Scheme: "http", Host: machine, Path: call.Path, RawPath: call.EscapedPath}
	for redirects := 0; ; redirects++ {
		response, err := c.send(ctx, call, &target)
		if err != nil || response.Status != http.StatusTemporaryRedirect {
			return response, err
		}
		location, err := target.Parse(response.Header.Get("Location"))
		if err != nil {
			return nil, errors.Wrapf(err, "%s redirects to an invalid location", target.Host)
		}
		if redirects == maxRedirects {
			return nil, errors.Newf("%s redirects once more than is followed; no machine may lead now", target.Host)
		}
		target = *location
	}
}

// bodyAllowance is the time that a request takes for its body: to send it, and to be handled by the machine. A client that
// gave up sooner than the machine would send again what is still being committed.
func bodyAllowance(bodyBytes int) time.Duration {
	transfer := transferTimePerMiB * time.Duration(bodyBytes) >> 20 // per MiB to per byte
	return transfer + api.ParseAllowance(bodyBytes)
}

// send makes one attempt of a call at one machine, which may have handled the call even if there is an error.
func (c *Client) send(ctx context.Context, call *Call, target *url.URL) (*Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(callTimeout+bodyAllowance(len(call.Body)), cancel)
	defer timer.Stop()
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
	progress := &idleTimeoutReader{source: response.Body, timer: timer, timeout: callTimeout}
	body, err := io.ReadAll(io.LimitReader(progress, maxResponseBytes+1))
	if err := errors.CombineErrors(err, response.Body.Close()); err != nil {
		return nil, errors.Wrapf(err, "response of %s", target.Host)
	}
	if len(body) > maxResponseBytes {
		return nil, &ResponseTooLargeError{Machine: target.Host, LimitBytes: maxResponseBytes}
	}
	return &Response{Machine: target.Host, Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// idleTimeoutReader restarts a timer before each read, so that a long transfer may go on as long as it makes progress.
type idleTimeoutReader struct {
	source  io.Reader
	timer   *time.Timer
	timeout time.Duration
}

// Read implements io.Reader.
func (r *idleTimeoutReader) Read(p []byte) (int, error) {
	r.timer.Reset(r.timeout)
	return r.source.Read(p)
}

func (c *Client) sleep(ctx context.Context, d time.Duration) {
	if c.Sleep != nil {
		c.Sleep(ctx, d)
		return
	}
	retry.Sleep(ctx, d)
}

// withJitter returns a pause between d/2 and d, so that callers do not synchronize.
func withJitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// retryAfter is the pause that a response asks for, at most maxBackoff; 0 for none.
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
