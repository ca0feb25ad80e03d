package api

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"cinderroad/internal/system/control/httpjson"
)

// handleChange serves PathReplace and PathChange.
func (a *API) handleChange(kind requestKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		version, size, err := a.commitChange(w, r, kind)
		if err != nil {
			a.writeError(w, err)
			return
		}
		a.options.Log.Info("configuration accepted", zap.Uint64("version", version), zap.Int("bytes", size))
		writeVersion(w, version)
	}
}

// commitChange reads a change from the request and commits it. It returns the committed version and the size of the body
// in bytes.
func (a *API) commitChange(w http.ResponseWriter, r *http.Request, kind requestKind) (version uint64, size int, err error) {
	basedOn, err := readBasedOn(r)
	if err != nil {
		return 0, 0, err
	}
	body, err := readBody(w, r)
	if err != nil {
		return 0, 0, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), a.responseTimeout(len(body)))
	defer cancel()
	select {
	case a.changeSlots <- struct{}{}:
		defer func() { <-a.changeSlots }()
	case <-ctx.Done():
		return 0, 0, unavailableError("too many changes at once")
	}
	version, err = a.committer.commit(ctx, &changeRequest{kind: kind, basedOn: basedOn, body: body})
	return version, len(body), err
}

// readBasedOn returns the version that a request builds on. The error is an *apiError.
func readBasedOn(r *http.Request) (uint64, error) {
	text := strings.TrimSpace(r.Header.Get(HeaderBasedOn))
	if text == "" {
		return 0, invalidError("header " + HeaderBasedOn + " is missing; it names the version to build on, 0 for the first")
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, invalidError("header " + HeaderBasedOn + " is not a version number: " + strconv.Quote(text))
	}
	return version, nil
}

// readBody reads the whole body, of at most MaxBodyBytes. The error is an *apiError.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &apiError{
			status:  http.StatusRequestEntityTooLarge,
			code:    codeTooLarge,
			message: "the body is longer than " + strconv.Itoa(MaxBodyBytes) + " bytes",
		}
	case err != nil:
		return nil, &apiError{
			status:  http.StatusRequestTimeout,
			code:    codeIncomplete,
			message: "the body did not arrive whole: " + err.Error(),
		}
	}
	return body, nil
}

// handleRead serves PathRead.
func (a *API) handleRead(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), a.responseTimeout(0))
	defer cancel()
	if err := a.barrier(ctx); err != nil {
		a.writeError(w, err)
		return
	}
	base := a.options.State.View()
	document, err := a.documents.currentDocument(&base)
	if err != nil {
		a.writeError(w, err)
		return
	}
	if document == nil {
		a.writeError(w, notFoundError("there is no configuration yet"))
		return
	}
	version := strconv.FormatUint(base.Version, 10)
	w.Header().Set("ETag", strconv.Quote(version))
	w.Header().Set(HeaderVersion, version)
	httpjson.Write(w, http.StatusOK, document.Encode())
}
