package counterservice

import (
	"errors"
	"io"
	"net/http"

	"github.com/go-faster/jx"
	"go.uber.org/zap"

	"cinderroad/internal/system/control/httpjson"
	"cinderroad/internal/system/counter"
	"cinderroad/internal/system/validation"
)

// Paths of the calls. The name of a counter follows.
const (
	PathAdd  = "/-/Tallies.Change/"
	PathRead = "/-/Tallies.Read/"
)

const (
	// maxCalls bounds the concurrent calls; further ones get 503.
	maxCalls = 256
	// maxBodyBytes bounds the body of an addition. An ID with every byte escaped is well below it.
	maxBodyBytes = 64 << 10
)

// Error codes in response bodies. Callers may compare them.
const (
	codeInvalid     = "invalid"
	codeTooLarge    = "too_large"
	codeIncomplete  = "incomplete_body"
	codeConflict    = "id_conflict"
	codeUnavailable = "not_ready"
	codeFull        = "full"
	codeBusy        = "busy"
	codeUnknown     = "outcome_unknown"
)

// newMux routes the calls.
func (s *Service) newMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathAdd+"{name}", s.handleAdd)
	mux.HandleFunc("GET "+PathRead+"{name}", s.handleRead)
	return mux
}

// ServeHTTP implements http.Handler for the paths above.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		s.counts.unavailable.Add(1)
		busy := httpjson.Error{Status: http.StatusServiceUnavailable, Code: codeBusy, Message: "too many calls at once; nothing was done"}
		busy.Write(w)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// handleAdd serves PathAdd.
func (s *Service) handleAdd(w http.ResponseWriter, r *http.Request) {
	operation, err := readAddition(w, r)
	if err == nil {
		err = s.add(r.Context(), operation)
	}
	if err != nil {
		s.writeError(w, err)
		return
	}
	s.counts.acknowledged.Add(1)
	var body jx.Encoder
	body.ObjStart()
	body.FieldStart("id")
	body.Str(operation.ID)
	body.ObjEnd()
	httpjson.Write(w, http.StatusOK, body.Bytes())
}

// handleRead serves PathRead.
func (s *Service) handleRead(w http.ResponseWriter, r *http.Request) {
	total, err := s.total(r.PathValue("name"))
	if err != nil {
		s.writeError(w, err)
		return
	}
	s.counts.reads.Add(1)
	var body jx.Encoder
	body.ObjStart()
	body.FieldStart("total")
	body.Raw([]byte(total.String()))
	body.ObjEnd()
	httpjson.Write(w, http.StatusOK, body.Bytes())
}

// readBody reads the whole body. The error is an *httpjson.Error.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *httpjson.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &httpjson.Error{Status: http.StatusRequestEntityTooLarge, Code: codeTooLarge, Message: "the body is too long"}
	case err != nil:
		message := "the body did not arrive whole: " + err.Error()
		return nil, &httpjson.Error{Status: http.StatusRequestTimeout, Code: codeIncomplete, Message: message}
	}
	return body, nil
}

// writeError responds to a call that has failed, and counts it.
func (s *Service) writeError(w http.ResponseWriter, err error) {
	response := errorResponse(err)
	switch response.Status {
	case http.StatusServiceUnavailable:
		s.counts.unavailable.Add(1)
	case http.StatusGatewayTimeout:
		s.counts.unknown.Add(1)
	case http.StatusConflict:
		s.counts.conflicts.Add(1)
	default:
		s.counts.malformed.Add(1)
		s.log.Info("request rejected", zap.Int("status", response.Status), zap.String("cause", response.Message),
			zap.Int("problems", len(response.Problems)))
	}
	response.Write(w)
}

// errorResponse returns the response to an error. 503 says that nothing was done.
func errorResponse(err error) *httpjson.Error {
	var response *httpjson.Error
	var invalid *validation.Error
	var operation *counter.InvalidOperationError
	switch {
	case errors.As(err, &response):
		return response
	case errors.As(err, &invalid):
		message := "the addition is invalid; nothing was done"
		return &httpjson.Error{Status: http.StatusBadRequest, Code: codeInvalid, Message: message, Problems: invalid.Problems}
	case errors.As(err, &operation):
		return &httpjson.Error{Status: http.StatusBadRequest, Code: codeInvalid, Message: operation.Error()}
	case errors.Is(err, counter.ErrConflict):
		return &httpjson.Error{Status: http.StatusConflict, Code: codeConflict, Message: err.Error()}
	case errors.Is(err, errOutcomeUnknown):
		return &httpjson.Error{Status: http.StatusGatewayTimeout, Code: codeUnknown, Message: err.Error()}
	case errors.Is(err, counter.ErrFull):
		return &httpjson.Error{Status: http.StatusServiceUnavailable, Code: codeFull, Message: err.Error()}
	}
	return &httpjson.Error{Status: http.StatusServiceUnavailable, Code: codeUnavailable, Message: err.Error()}
}
