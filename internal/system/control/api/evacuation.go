package api

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/feed"
)

// What handleEvacuation is to make of a zone.
const (
	evacuateZone  = true
	endEvacuation = false
)

// handleEvacuation serves PathDrainBegin (evacuateZone) and PathDrainFinish (endEvacuation).
func (a *API) handleEvacuation(evacuated bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		zone := r.PathValue("zone")
		// The evacuation of a zone that was removed from the settings can still be ended.
		if !a.options.ZoneExists(zone) && !a.options.State.Evacuation(zone).Evacuated {
			a.writeError(w, notFoundError("there is no zone "+strconv.Quote(zone)))
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), a.responseTimeout(0))
		defer cancel()
		if err := a.committer.setEvacuation(ctx, zone, evacuated); err != nil {
			a.writeError(w, err)
			return
		}
		a.options.Log.Info("evacuation acknowledged", zap.String("zone", zone), zap.Bool("evacuated", evacuated))
		writeEvacuation(w, zone, evacuated)
	}
}

// setEvacuation evacuates a zone or ends its evacuation. The error is an *apiError.
//
// Requests about zones carry no digest, so that a late copy of one can't be distinguished from a new one. A request
// therefore gets 503 if another request about its zone, to the contrary, was applied since it arrived here: its sender may
// have given it up and sent the contrary itself. A request that finds the zone as it wants it is committed all the same:
// that makes contrary requests fail which are still in flight.
func (c *committer) setEvacuation(ctx context.Context, zone string, evacuated bool) error {
	lastOrder := c.state.Evacuation(zone).LastOrder
	for {
		err := c.attemptSetEvacuation(ctx, zone, evacuated, lastOrder)
		var apiErr *apiError
		if err == nil || errors.As(err, &apiErr) {
			return err
		}
		if !c.sleep(ctx, retryInterval) {
			return unavailableError("no majority of the control machines answers; the order may be sent again")
		}
	}
}

// errConcurrentEvacuation means that another request was applied between read and proposal; the attempt is repeated.
var errConcurrentEvacuation = errors.New("api: another evacuation request was applied first")

// attemptSetEvacuation makes one attempt. lastOrder is state.Evacuation.LastOrder of the zone as the request arrived. An
// error other than an *apiError means that the outcome is unknown.
func (c *committer) attemptSetEvacuation(ctx context.Context, zone string, evacuated bool, lastOrder uint64) error {
	if err := c.replicas.Barrier(ctx, feed.ConfigurationPartition); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err // the caller disconnected, and may have sent the contrary elsewhere
	}
	evacuation := c.state.Evacuation(zone)
	if evacuation.LastOrder != lastOrder && evacuation.Evacuated != evacuated {
		return unavailableError("another order about the zone came first; send this one again if it still stands")
	}
	command := state.SetEvacuation{Zone: zone, Evacuated: evacuated, ExpectedRevision: evacuation.Revision}
	result, err := propose(ctx, c.replicas, command.Encode())
	if err != nil {
		return err
	}
	if result.Outcome == state.OutcomeConflict {
		return errConcurrentEvacuation
	}
	_, err = commitResponse(result)
	return err
}
