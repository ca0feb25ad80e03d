package client

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"cinderroad/internal/system/control/api"
)

// ErrNoAddresses means that the client has no address to call.
var ErrNoAddresses = errors.New("no control machine is known: name one with --seed, or a settings file with --settings")

// RejectedError means that the call was rejected for good.
type RejectedError struct {
	Response  Response
	Details   ErrorDetails
	MayBeDone bool // by an earlier attempt of the call
}

// Error returns the machine, the status and the message of the response.
func (e *RejectedError) Error() string {
	return "refused by " + e.Response.Machine + " with " + strconv.Itoa(e.Response.Status) + ": " + e.Details.Message
}

// isNoConfiguration reports whether a read was rejected because there is no configuration yet. The status alone does not
// say so: a server that is no control machine responds 404 as well.
func (e *RejectedError) isNoConfiguration() bool {
	return e.Response.Status == http.StatusNotFound && e.Details.Code == api.CodeNotFound
}

// ResponseTooLargeError means that the response of a machine was longer than the client reads.
type ResponseTooLargeError struct {
	Machine    string
	LimitBytes int
}

// Error says what the operator can do.
func (e *ResponseTooLargeError) Error() string {
	return "the response of " + e.Machine + " is longer than " + strconv.Itoa(e.LimitBytes) +
		" bytes; check that the address is that of a control machine"
}

// UnavailableError means that no machine gave a definite response. A change may be in force all the same: send it again
// unchanged.
type UnavailableError struct {
	Attempts  int
	MayBeDone bool  // not every attempt has certainly done nothing, see Call.NothingDone
	LastError error // of the last attempt
}

// Error says what the operator can do.
func (e *UnavailableError) Error() string {
	return "no definite response after " + strconv.Itoa(e.Attempts) + " attempts; a change may have been committed: send the same " +
		"one again, and check with status that a majority of the control machines runs; last: " + e.LastError.Error()
}

// Unwrap returns the error of the last attempt.
func (e *UnavailableError) Unwrap() error { return e.LastError }

// ErrorDetails is the body of a response other than success.
type ErrorDetails struct {
	Code     string    `json:"code"`
	Message  string    `json:"message"`
	Problems []Problem `json:"findings"`
}

// Problem is one thing that is wrong with a configuration.
type Problem struct {
	Path    string `json:"place"` // such as routes[3].timeout_ms
	Message string `json:"problem"`
}

// ParseError returns the details of a response; only the text of its status if the body is not the API's.
func ParseError(response *Response) ErrorDetails {
	var body struct {
		Error ErrorDetails `json:"error"`
	}
	if json.Unmarshal(response.Body, &body) != nil || body.Error.Message == "" {
		return ErrorDetails{Message: http.StatusText(response.Status)}
	}
	return body.Error
}
