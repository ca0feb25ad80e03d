package api

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/control/httpjson"
	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/replica"
	"cinderroad/internal/system/retry"
)

// Paths of the calls. The name of a zone follows PathDrainBegin and PathDrainFinish.
const (
	PathReplace     = "/-/Settings.Replace"
	PathChange      = "/-/Settings.Change"
	PathRead        = "/-/Settings.Read"
	PathDrainBegin  = "/-/DrainZone.Begin/"
	PathDrainFinish = "/-/DrainZone.Finish/"
	PathStatus      = "/-/status"
)

// HeaderVersion is the response header with the version of the configuration that is read.
const HeaderVersion = "X-Version"

// HeaderBasedOn is the request header with the version that a change builds on; 0 for the first.
const HeaderBasedOn = "X-Based-On"

// Limits of calls.
const (
	// MaxBodyBytes is the size of the largest request body that is accepted.
	MaxBodyBytes = 16 << 20
	// ResponseTimeout is the time from the end of a request to its response. It is less than the second after which
	// callers give up.
	ResponseTimeout = 800 * time.Millisecond
	// IsolatedResponseTimeout replaces ResponseTimeout on a machine that has lost contact with the majority: waiting
	// longer would not help there, and callers are to try another machine.
	IsolatedResponseTimeout = 100 * time.Millisecond

	// parseTimePerMiB is added to the timeout for each MiB of a large body, see ParseAllowance.
	parseTimePerMiB = 2 * time.Second
	// maxCalls bounds the concurrent calls; further ones get 503.
	maxCalls = 64
	// maxConcurrentChanges bounds the memory for changes: each holds two documents while it is validated.
	maxConcurrentChanges = 2
)

// Options configure an API. All fields are required.
type Options struct {
	Replicas replica.Replicas
	// State is this machine's replica of the configuration partition.
	State *state.Configuration
	// ZoneExists reports whether the settings name the zone.
	ZoneExists func(zone string) bool
	// Status returns the body of PathStatus, as JSON.
	Status func() []byte
	Log    *zap.Logger
}

// API is the http.Handler of the operator's API.
type API struct {
	options     Options
	committer   committer
	documents   *documentCache
	callSlots   chan struct{} // semaphore of maxCalls
	changeSlots chan struct{} // semaphore of maxConcurrentChanges
	mux         *http.ServeMux
}

// New returns an API that serves the paths above.
func New(options Options) *API {
	documents := &documentCache{}
	a := &API{
		options: options,
		committer: committer{
			replicas: options.Replicas,
			state:    options.State,
			prepare:  documents.prepareChange,
			sleep:    retry.Sleep,
		},
		documents:   documents,
		callSlots:   make(chan struct{}, maxCalls),
		changeSlots: make(chan struct{}, maxConcurrentChanges),
		mux:         http.NewServeMux(),
	}
	a.mux.HandleFunc("POST "+PathReplace, a.handleChange(kindReplace))
	a.mux.HandleFunc("POST "+PathChange, a.handleChange(kindChange))
	a.mux.HandleFunc("GET "+PathRead, a.handleRead)
	a.mux.HandleFunc("POST "+PathDrainBegin+"{zone}", a.handleEvacuation(evacuateZone))
	a.mux.HandleFunc("POST "+PathDrainFinish+"{zone}", a.handleEvacuation(endEvacuation))
	a.mux.HandleFunc("GET "+PathStatus, a.handleStatus)
	return a
}

// ServeHTTP implements http.Handler.
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

func (a *API) handleStatus(w http.ResponseWriter, _ *http.Request) {
	httpjson.Write(w, http.StatusOK, a.options.Status())
}

// responseTimeout is the time that a call has from now on, with a body of so many bytes. A machine without contact to
// the majority gives a large body no more time: it could not commit the change anyway.
func (a *API) responseTimeout(bodyBytes int) time.Duration {
	if a.options.Replicas.InContact(feed.ConfigurationPartition) {
		return ResponseTimeout + ParseAllowance(bodyBytes)
	}
	return IsolatedResponseTimeout
}

// ParseAllowance is the time that a large body has besides ResponseTimeout: parsing takes about 0.1 s of a core per
// megabyte, the rest is margin. Callers have to extend their own timeout by it, too; a request that is sent again finds
// the result of the first in the documentCache.
func ParseAllowance(bodyBytes int) time.Duration {
	return time.Duration(max(bodyBytes-largeBodyBytes, 0)) * parseTimePerMiB >> 20 // per MiB to per byte
}

// barrier retries until the local state holds all that was acknowledged before the call, or the context ends. The error
// is an *apiError.
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

// writeError responds with an *apiError; any other error is reported as 503, since its outcome is unknown.
func (a *API) writeError(w http.ResponseWriter, err error) {
	var apiErr *apiError
	if !errors.As(err, &apiErr) {
		apiErr = unavailableError(err.Error())
	}
	if apiErr.status == http.StatusBadRequest || apiErr.status == http.StatusServiceUnavailable {
		a.options.Log.Info("request rejected", zap.Int("status", apiErr.status), zap.String("cause", apiErr.message),
			zap.Int("problems", len(apiErr.problems)))
	}
	apiErr.write(w)
}
