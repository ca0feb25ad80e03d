// Package httpjson writes the JSON responses that the calls at the control address have in common.
package httpjson

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/jx"

	"cinderroad/internal/system/validation"
)

// retryAfter is sent as the header Retry-After of 503.
const retryAfter = 300 * time.Millisecond

// Error is a response other than success.
type Error struct {
	Status   int
	Code     string // operators' tools compare it
	Message  string
	Problems []validation.Problem // of the request's body
}

// Error returns the message.
func (e *Error) Error() string { return "control: " + e.Message }

// Write sends the response.
func (e *Error) Write(w http.ResponseWriter) {
	if e.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
	Write(w, e.Status, e.encode())
}

// encode returns the body. Its field names are part of the API.
func (e *Error) encode() []byte {
	var encoder jx.Encoder
	encoder.ObjStart()
	encoder.FieldStart("error")
	encoder.ObjStart()
	encoder.FieldStart("code")
	encoder.Str(e.Code)
	encoder.FieldStart("message")
	encoder.Str(e.Message)
	encoder.FieldStart("findings")
	encoder.ArrStart()
	for _, problem := range e.Problems {
		encoder.ObjStart()
		encoder.FieldStart("place")
		encoder.Str(problem.Path)
		encoder.FieldStart("problem")
		encoder.Str(problem.Message)
		encoder.ObjEnd()
	}
	encoder.ArrEnd()
	encoder.ObjEnd()
	encoder.ObjEnd()
	return encoder.Bytes()
}

// Write sends a response with a JSON body.
func Write(w http.ResponseWriter, status int, body []byte) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body) //nolint:errcheck // the caller has disconnected
}
