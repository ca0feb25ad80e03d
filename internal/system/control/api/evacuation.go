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

// handleEvacuation serves PathDrainBegin (on) and PathDrainFinish.
func (a *API) handleEvacuation(on bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		zone := r.PathValue("zone")
		if !a.options.ZoneExists(zone) && !a.options.State.Evacuation(zone).Evacuated { // a zone removed from the settings can still be restored
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

// setEvacuation evacuates a zone or ends its evacuation. The error is an *apiError.
//
// Requests about zones carry no digest, so that a late copy of one can't be told from a new one. A request is therefore
// answered with 503 if another request about its zone, to the contrary, was applied since it arrived here: its sender may
// have given it up and sent the contrary itself. A request that finds the zone as it wants it is committed all the same;
// that fails contrary requests which are still in flight.
func (c *committer) setEvacuation(ctx context.Context, zone string, on bool) error {
	ordered := c.state.Evacuation(zone).LastOrder
	for {
		err := c.attemptSetEvacuation(ctx, zone, on, ordered)
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

// attemptSetEvacuation makes one attempt. ordered is state.Evacuation.Ordered of the zone as the request arrived. An error
// other than an *apiError means that the outcome is unknown.
func (c *committer) attemptSetEvacuation(ctx context.Context, zone string, on bool, ordered uint64) error {
	if err := c.replicas.Barrier(ctx, feed.ConfigurationPartition); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err // the caller disconnected, and may have sent the contrary elsewhere
	}
	evacuation := c.state.Evacuation(zone)
	if evacuation.LastOrder != ordered && evacuation.Evacuated != on {
		return unavailableError("another order about the zone came first; send this one again if it still stands")
	}
	command := state.SetEvacuation{Zone: zone, Evacuated: on, ExpectedRevision: evacuation.Revision}
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
