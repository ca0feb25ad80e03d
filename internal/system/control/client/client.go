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
	mostRedirects = 2
	mostRefusals  = 3 // of 4xx answers that do not end a call at once
	mostAnswer    = 64 << 20

	silence       = time.Second             // without an answer, for a call without a body
	silencePerMiB = time.Second             // on top of it, for what the call carries
	firstPause    = 50 * time.Millisecond   // between two attempts
	longestPause  = 1500 * time.Millisecond // that pauses grow to
)

// DefaultWithin is how long a call is tried for.
const DefaultWithin = 15 * time.Second

// Client calls control machines. It is not safe for concurrent use.
type Client struct {
	// Machines are the addresses of the operator's API, host:port; they are asked in turn, from the first one.
	Machines []string
	// Within is how long a call is tried for; 0: DefaultWithin.
	Within time.Duration
	// MostAttempts is how often a call is tried; 0: as often as there is time for.
	MostAttempts int
	// Pause waits between two attempts; nil: for the time given, or until the context ends.
	Pause func(ctx context.Context, d time.Duration)

	http http.Client
	next int // machine that is asked next
}

// Call is a call of the operator's API.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Answer is a machine's answer to a call.
type Answer struct {
	Machine  string // that gave it
	Status   int
	Header   http.Header
	Body     []byte
	Attempts int // that it took
}

// RefusedError says that the call was answered, and refused for good.
type RefusedError struct {
	Answer  Answer
	Problem Problem
}

// Error is the answer's message.
func (e *RefusedError) Error() string {
	return "refused by " + e.Answer.Machine + " with " + strconv.Itoa(e.Answer.Status) + ": " + e.Problem.Message
}

// UnansweredError says that no machine gave a clear answer. An order may still have been taken: send it again unchanged.
type UnansweredError struct {
	Attempts int
	Last     error
}

// Error says what to do.
func (e *UnansweredError) Error() string {
	return "no clear answer after " + strconv.Itoa(e.Attempts) + " attempts; an order may have been taken: send the same " +
		"one again, and check with status that a majority of the control machines runs; last: " + e.Last.Error()
}

// Unwrap is what the last attempt came to.
func (e *UnansweredError) Unwrap() error { return e.Last }

// ErrNoMachines says that there is nobody to ask.
var ErrNoMachines = errors.New("no control machine is known: name one with --seed, or a settings file with --settings")

// Do calls until there is a clear answer. Its error is a *RefusedError, an *UnansweredError or ErrNoMachines.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, error) {
	if len(c.Machines) == 0 {
		return nil, ErrNoMachines
	}
	within := c.Within
	if within == 0 {
		within = DefaultWithin
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	pause, refusals := firstPause, 0
	for attempts := 1; ; attempts++ {
		answer, err := c.attempt(ctx, &call)
		if err == nil {
			answer.Attempts = attempts
			outcome := judge(answer.Status)
			if outcome == refusedOnce {
				refusals++
			}
			switch {
			case outcome == accepted:
				return answer, nil
			case outcome == refusedForGood, refusals >= mostRefusals:
				return nil, &RefusedError{Answer: *answer, Problem: ReadProblem(answer)}
			}
			err = errors.Newf("%s answered %d: %s", answer.Machine, answer.Status, ReadProblem(answer).Message)
		}
		c.next++
		if attempts == c.MostAttempts {
			return nil, &UnansweredError{Attempts: attempts, Last: err}
		}
		c.wait(ctx, max(drawn(pause), retryAfter(answer)))
		if ctx.Err() != nil {
			return nil, &UnansweredError{Attempts: attempts, Last: err}
		}
		pause = min(longestPause, 2*pause)
	}
}

// outcome is what an answer means for the call.
type outcome uint8

const (
	accepted outcome = iota
	refusedForGood
	refusedOnce // other refusals: the call ends with the third one
	unclear     // another machine may do better
)

func judge(status int) outcome {
	switch {
	case status >= 200 && status < 300:
		return accepted
	case status >= 500, status == http.StatusRequestTimeout, status == http.StatusTooManyRequests:
		return unclear
	}
	switch status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusConflict, http.StatusPreconditionFailed,
		http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return refusedForGood
	}
	return refusedOnce
}

// attempt asks one machine, and those that it refers to.
func (c *Client) attempt(ctx context.Context, call *Call) (*Answer, error) {
	machine := c.Machines[c.next%len(c.Machines)]
	target := url.URL{Scheme: "http", Host: machine, Path: call.Path}
	for redirects := 0; ; redirects++ {
		answer, err := c.send(ctx, call, &target)
		if err != nil || answer.Status != http.StatusTemporaryRedirect {
			return answer, err
		}
		location, err := target.Parse(answer.Header.Get("Location"))
		if err != nil {
			return nil, errors.Wrapf(err, "%s refers to a place that makes no sense", target.Host)
		}
		if redirects == mostRedirects {
			return nil, errors.Newf("%s refers to another machine for the third time; no machine may lead now", target.Host)
		}
		target = *location
	}
}

func (c *Client) send(ctx context.Context, call *Call, target *url.URL) (*Answer, error) {
	patience := silence + silencePerMiB*time.Duration(len(call.Body))/(1<<20)
	ctx, cancel := context.WithTimeout(ctx, patience)
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
	body, err := io.ReadAll(io.LimitReader(response.Body, mostAnswer))
	if err := errors.CombineErrors(err, response.Body.Close()); err != nil {
		return nil, errors.Wrapf(err, "answer of %s", target.Host)
	}
	return &Answer{Machine: target.Host, Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

func (c *Client) wait(ctx context.Context, d time.Duration) {
	if c.Pause != nil {
		c.Pause(ctx, d)
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// drawn is a pause between half and the whole of the time, so that callers do not come in step.
func drawn(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// retryAfter is the wait that an answer asks for, if there is one.
func retryAfter(answer *Answer) time.Duration {
	if answer == nil {
		return 0
	}
	seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
	if err != nil || seconds <= 0 {
		return 0
	}
	return min(longestPause, time.Duration(seconds*float64(time.Second)))
}
