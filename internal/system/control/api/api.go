// Package api is the operator's API of the control machines, over HTTP. Every control machine serves it: orders go to
// whichever machine leads, and are acknowledged once a majority has agreed on them.
package api

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/replica"
	"cinderroad/internal/system/retry"
)

// Paths of the calls.
const (
	PathReplace     = "/-/Settings.Replace"
	PathChange      = "/-/Settings.Change"
	PathRead        = "/-/Settings.Read"
	PathDrainBegin  = "/-/DrainZone.Begin/"
	PathDrainFinish = "/-/DrainZone.Finish/"
	PathStatus      = "/-/status"
)

// HeaderVersion carries the version of a configuration that is read.
const HeaderVersion = "X-Version"

// HeaderBasedOn names the version that a change builds on; 0 for the first.
const HeaderBasedOn = "X-Based-On"

// Bounds of calls.
const (
	MaxBodyBytes = 16 << 20
	// ResponseTimeout is how long after the whole request its answer comes at the latest: callers take a second of
	// silence for a failure.
	ResponseTimeout = 800 * time.Millisecond
	// IsolatedResponseTimeout is the same for a machine that has heard no majority for long: nothing is worth waiting for there,
	// and callers are to go on to another machine.
	IsolatedResponseTimeout = 100 * time.Millisecond

	// parseTimePerMiB is what a large order has more; see parseAllowance.
	parseTimePerMiB      = 2 * time.Second
	maxCalls             = 64 // at once; more are told to come back
	maxConcurrentChanges = 2  // that are compared at once: each holds two documents
)

// Options are the API's.
type Options struct {
	Replicas   replica.Replicas
	State      *state.Configuration
	ZoneExists func(zone string) bool
	Status     func() []byte // JSON for operators
	Log        *zap.Logger
}

// API serves the calls.
type API struct {
	options     Options
	committer   committer
	documents   *documentCache
	callSlots   chan struct{}
	changeSlots chan struct{}
	mux         *http.ServeMux
}

// New returns the API.
func New(options Options) *API {
	documents := &documentCache{}
	a := &API{
		options: options,
		committer: committer{replicas: options.Replicas, state: options.State, prepare: documents.prepareChange,
			sleep: retry.Sleep},
		documents:   documents,
		callSlots:   make(chan struct{}, maxCalls),
		changeSlots: make(chan struct{}, maxConcurrentChanges),
		mux:         http.NewServeMux(),
	}
	a.mux.HandleFunc("POST "+PathReplace, a.handleChange(kindReplace))
	a.mux.HandleFunc("POST "+PathChange, a.handleChange(kindChange))
	a.mux.HandleFunc("GET "+PathRead, a.handleRead)
	a.mux.HandleFunc("POST "+PathDrainBegin+"{zone}", a.handleEvacuation(true))
	a.mux.HandleFunc("POST "+PathDrainFinish+"{zone}", a.handleEvacuation(false))
	a.mux.HandleFunc("GET "+PathStatus, a.handleStatus)
	return a
}

// ServeHTTP answers a call.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case a.callSlots <- struct{}{}:
		defer func() { <-a.callSlots }()
	default:
		busy := &apiError{status: http.StatusServiceUnavailable, code: codeBusy, message: "too many calls at once"}
		busy.write(w)
		return
	}
	a.mux.ServeHTTP(w, r)
}

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

// commitChange reads a change and has it agreed on.
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

// responseTimeout is the time that a call has from now on, with a body of so many bytes.
func (a *API) responseTimeout(bytes int) time.Duration {
	if a.options.Replicas.InContact(feed.ConfigurationPartition) {
		return ResponseTimeout + parseAllowance(bytes)
	}
	return IsolatedResponseTimeout
}

// parseAllowance is what a large order has beside ResponseTimeout, since callers wait longer for its answer as well: it takes
// about a tenth of a second of a whole core per megabyte to be read.
func parseAllowance(bytes int) time.Duration {
	return time.Duration(max(bytes-largeBodyBytes, 0)) * parseTimePerMiB >> 20
}

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

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &apiError{status: http.StatusRequestEntityTooLarge, code: codeTooLarge,
			message: "the body is longer than " + strconv.Itoa(MaxBodyBytes) + " bytes"}
	case err != nil:
		return nil, &apiError{status: http.StatusRequestTimeout, code: codeUnavailable,
			message: "the body did not arrive whole: " + err.Error()}
	}
	return body, nil
}

func (a *API) handleRead(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), a.responseTimeout(0))
	defer cancel()
	if err := a.barrier(ctx); err != nil {
		a.writeError(w, err)
		return
	}
	base := a.options.State.Base()
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
	writeJSON(w, http.StatusOK, document.Encode())
}

// barrier waits until the local state holds what was acknowledged before, for as long as the context lasts.
func (a *API) barrier(ctx context.Context) error {
	for {
		if a.options.Replicas.Barrier(ctx, feed.ConfigurationPartition) == nil {
			return nil
		}
		if !a.committer.sleep(ctx, retryInterval) {
			return unavailableError("no majority of the control machines answers")
		}
	}
}

func (a *API) handleEvacuation(on bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		zone := r.PathValue("zone")
		if !a.options.ZoneExists(zone) && !a.options.State.Evacuation(zone).On { // it may have left the settings since
			a.writeError(w, notFoundError("there is no zone "+strconv.Quote(zone)))
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), a.responseTimeout(0))
		defer cancel()
		if err := a.committer.setEvacuation(ctx, zone, on); err != nil {
			a.writeError(w, err)
			return
		}
		a.options.Log.Info("evacuation acknowledged", zap.String("zone", zone), zap.Bool("evacuated", on))
		writeEvacuation(w, zone, on)
	}
}

func (a *API) handleStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.options.Status())
}

func (a *API) writeError(w http.ResponseWriter, err error) {
	var refused *apiError
	if !errors.As(err, &refused) {
		refused = unavailableError(err.Error())
	}
	if refused.status == http.StatusBadRequest || refused.status == http.StatusServiceUnavailable {
		a.options.Log.Info("call refused", zap.Int("status", refused.status), zap.String("cause", refused.message),
			zap.Int("findings", len(refused.problems)))
	}
	refused.write(w)
}
