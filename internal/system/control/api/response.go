package api

import (
	"net/http"
	"strconv"

	"github.com/go-faster/jx"

	"cinderroad/internal/system/control/httpjson"
	"cinderroad/internal/system/validation"
)

// CodeNotFound is the error code of 404: there is no configuration yet, or no such zone.
const CodeNotFound = "not_found"

// Further error codes in response bodies. Operators' tools compare them.
const (
	codeInvalid     = "invalid"
	codeConflict    = "version_conflict"
	codeUnavailable = "no_majority" // also of outcomes that are unknown for another reason
	codeIncomplete  = "incomplete_body"
	codeTooLarge    = "too_large"
	codeBusy        = "busy"
)

// apiError is a response other than success. 4xx is definite; 503 leaves the outcome unknown.
type apiError struct {
	status   int
	code     string
	message  string
	problems []validation.Problem
}

// Error returns the message.
func (r *apiError) Error() string { return "api: " + r.message }

func invalidError(message string, problems ...validation.Problem) *apiError {
	return &apiError{status: http.StatusBadRequest, code: codeInvalid, message: message, problems: problems}
}

func versionConflict(current uint64) *apiError {
	return &apiError{
		status:  http.StatusPreconditionFailed,
		code:    codeConflict,
		message: "another version is in force: " + strconv.FormatUint(current, 10),
	}
}

func unavailableError(message string) *apiError {
	return &apiError{status: http.StatusServiceUnavailable, code: codeUnavailable, message: message}
}

func notFoundError(message string) *apiError {
	return &apiError{status: http.StatusNotFound, code: CodeNotFound, message: message}
}

// write sends the response.
func (r *apiError) write(w http.ResponseWriter) {
	response := httpjson.Error{Status: r.status, Code: r.code, Message: r.message, Problems: r.problems}
	response.Write(w)
}

func writeVersion(w http.ResponseWriter, version uint64) {
	var e jx.Encoder
	e.ObjStart()
	e.FieldStart("version")
	e.UInt64(version)
	e.ObjEnd()
	httpjson.Write(w, http.StatusOK, e.Bytes())
}

func writeEvacuation(w http.ResponseWriter, zone string, evacuated bool) {
	var e jx.Encoder
	e.ObjStart()
	e.FieldStart("zone")
	e.Str(zone)
	e.FieldStart("evacuated")
	e.Bool(evacuated)
	e.ObjEnd()
	httpjson.Write(w, http.StatusOK, e.Bytes())
}
