package api

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/replica"
	"cinderroad/internal/system/validation"
)

// retryInterval is the pause between two attempts of a request whose outcome is unknown.
const retryInterval = 50 * time.Millisecond

// stateReader is the local state that the committer consults; state.Configuration implements it.
type stateReader interface {
	CheckRequest(basedOn uint64, digest state.Digest) state.RequestStatus
	Evacuation(zone string) state.Evacuation
}

// committer commits requests through the local replica. It has no state of its own.
type committer struct {
	replicas replica.Replicas
	state    stateReader
	// prepare validates a request; its error is an *apiError or *validation.Error, or says why the body can't be parsed.
	prepare func(request *changeRequest, base *state.View) (preparedChange, error)
	// sleep reports whether the context is still alive afterwards.
	sleep func(ctx context.Context, d time.Duration) bool
}

// commit commits the request and returns its version. The error is an *apiError. It repeats attempts whose outcome is
// unknown until the context ends; the digest keeps the request from being committed twice.
func (c *committer) commit(ctx context.Context, request *changeRequest) (uint64, error) {
	digest := request.digest()
	for {
		version, err := c.attemptCommit(ctx, request, digest)
		var apiErr *apiError
		if err == nil || errors.As(err, &apiErr) {
			return version, err
		}
		if !c.sleep(ctx, retryInterval) {
			return 0, unavailableError("no majority of the control machines answers; the order may be sent again unchanged")
		}
	}
}

// attemptCommit makes one attempt. An error other than an *apiError means that the outcome is unknown.
func (c *committer) attemptCommit(ctx context.Context, request *changeRequest, digest state.Digest) (uint64, error) {
	if err := c.replicas.Barrier(ctx, feed.ConfigurationPartition); err != nil {
		return 0, err
	}
	status := c.state.CheckRequest(request.basedOn, digest)
	if status.Verdict != state.VerdictOpen {
		return verdictResponse(status, request.basedOn)
	}
	change, err := c.prepare(request, &status.Base)
	if err != nil {
		return 0, asAPIError(err)
	}
	command := state.CommitConfiguration{
		BaseVersion: request.basedOn,
		Version:     change.version,
		Digest:      digest,
		Writes:      change.writes,
	}
	result, err := propose(ctx, c.replicas, command.Encode())
	if err != nil {
		return 0, err
	}
	return commitResponse(result)
}

// verdictResponse responds to a request whose verdict is not state.VerdictOpen. It rejects only what can never be accepted
// any more; for the rest the outcome is unknown, since an earlier copy may still be in flight through another machine.
func verdictResponse(status state.RequestStatus, basedOn uint64) (uint64, error) {
	switch status.Verdict {
	case state.VerdictAccepted:
		return status.Version, nil
	case state.VerdictSuperseded:
		return 0, versionConflict(status.Version)
	case state.VerdictPremature:
		return 0, unavailableError(fmt.Sprintf("version %d, which the order builds on, is not in force: the newest is %d",
			basedOn, status.Version))
	}
	return 0, outcomeForgotten()
}

// outcomeForgotten is the response to a request so old that the state no longer holds whether it was accepted.
func outcomeForgotten() *apiError {
	return unavailableError(fmt.Sprintf("the order builds on a version from over %d changes ago, so that it is not known "+
		"whether it was accepted; read the configuration", state.RetainedChanges))
}

// commitResponse translates the result of a command that was applied.
func commitResponse(result state.Result) (uint64, error) {
	switch result.Outcome {
	case state.OutcomeAccepted, state.OutcomeAlreadyAccepted:
		return result.Revision, nil
	case state.OutcomeConflict:
		return 0, versionConflict(result.Revision)
	case state.OutcomeForgotten:
		return 0, outcomeForgotten()
	}
	return 0, unavailableError("control machines run releases that do not understand each other; update all of them")
}

// asAPIError translates an error of committer.prepare into a response.
func asAPIError(err error) *apiError {
	var apiErr *apiError
	if errors.As(err, &apiErr) {
		return apiErr
	}
	var invalid *validation.Error
	if errors.As(err, &invalid) {
		return invalidError("the configuration is invalid; nothing was changed", invalid.Problems...)
	}
	return invalidError("the configuration can't be read: " + err.Error())
}

// propose proposes a command to the configuration partition and decodes its result.
func propose(ctx context.Context, replicas replica.Replicas, command []byte) (state.Result, error) {
	encoded, err := replicas.Propose(ctx, feed.ConfigurationPartition, command)
	if err != nil {
		return state.Result{}, err
	}
	return state.DecodeResult(encoded)
}
