package api

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/replica"
	"cinderroad/internal/system/validation"
)

// retryInterval is the pause between two attempts of an order whose outcome is not known.
const retryInterval = 50 * time.Millisecond

// requestKind is what a change of the configuration is.
type requestKind uint8

const (
	kindReplace requestKind = 1 + iota
	kindChange
)

// changeRequest is a change of the configuration as the operator sent it.
type changeRequest struct {
	kind    requestKind
	basedOn uint64
	body    []byte
}

// digest is that of all that makes the request what it is.
func (r *changeRequest) digest() state.Digest {
	hash := sha256.New()
	var head [9]byte
	head[0] = byte(r.kind)
	binary.BigEndian.PutUint64(head[1:], r.basedOn)
	hash.Write(head[:])
	hash.Write(r.body)
	var digest state.Digest
	copy(digest[:], hash.Sum(nil))
	return digest
}

// preparedChange is what a valid request does to the configuration.
type preparedChange struct {
	version uint64
	writes  []state.Write
}

// stateReader is what the committer asks of this machine's replica; state.Configuration implements it.
type stateReader interface {
	Standing(basedOn uint64, digest state.Digest) state.Standing
	Evacuation(zone string) state.Evacuation
}

// committer has orders agreed on.
type committer struct {
	replicas replica.Replicas
	state    stateReader
	prepare  func(request *changeRequest, base *state.Base) (preparedChange, error)
	sleep    func(ctx context.Context, d time.Duration) bool // says whether the context goes on after it
}

// commit has the request agreed on and returns its version. The error is a *refusal. It tries again while the outcome
// of an attempt is not known, until the context ends: the digest keeps the request from being taken twice.
func (c *committer) commit(ctx context.Context, request *changeRequest) (uint64, error) {
	digest := request.digest()
	for {
		version, err := c.attemptCommit(ctx, request, digest)
		var refused *apiError
		if err == nil || errors.As(err, &refused) {
			return version, err
		}
		if !c.sleep(ctx, retryInterval) {
			return 0, unavailableError("no majority of the control machines answers; the order may be sent again unchanged")
		}
	}
}

// attemptCommit is one try. An error that is not a *refusal says that the outcome is not known.
func (c *committer) attemptCommit(ctx context.Context, request *changeRequest, digest state.Digest) (uint64, error) {
	if err := c.replicas.Barrier(ctx, feed.ConfigurationPartition); err != nil {
		return 0, err
	}
	standing := c.state.Standing(request.basedOn, digest)
	if standing.Verdict != state.Open {
		return verdictResponse(standing, request.basedOn)
	}
	change, err := c.prepare(request, &standing.Base)
	if err != nil {
		return 0, asAPIError(err)
	}
	command := state.CommitConfiguration{BasedOn: request.basedOn, Version: change.version, Digest: digest,
		Writes: change.writes}
	result, err := propose(ctx, c.replicas, command.Encode())
	if err != nil {
		return 0, err
	}
	return commitResponse(result)
}

// verdictResponse answers a request that is not Open. Only one that can't be accepted any more is refused: an earlier copy of it
// may still be under way through another machine.
func verdictResponse(standing state.Standing, basedOn uint64) (uint64, error) {
	switch standing.Verdict {
	case state.Taken:
		return standing.Version, nil
	case state.Superseded:
		return 0, versionConflict(standing.Version)
	case state.Early:
		return 0, unavailableError(fmt.Sprintf("version %d, which the order builds on, is not in force: the newest is %d",
			basedOn, standing.Version))
	}
	return 0, outcomeForgotten()
}

// outcomeForgotten is the answer to a request so old that it is not known whether it was accepted.
func outcomeForgotten() *apiError {
	return unavailableError(fmt.Sprintf("the order builds on a version from over %d changes ago, so that it is not known "+
		"whether it was accepted; read the configuration", state.RememberedChanges))
}

func commitResponse(result state.Result) (uint64, error) {
	switch result.Outcome {
	case state.Accepted, state.AlreadyAccepted:
		return result.Number, nil
	case state.Conflict:
		return 0, versionConflict(result.Number)
	case state.NotRemembered:
		return 0, outcomeForgotten()
	}
	return 0, unavailableError("control machines run releases that do not understand each other; update all of them")
}

// asAPIError turns what is wrong with a request into an answer.
func asAPIError(err error) *apiError {
	var refused *apiError
	if errors.As(err, &refused) {
		return refused
	}
	var found *validation.Error
	if errors.As(err, &found) {
		return invalidError("the configuration is invalid; nothing was changed", found.Problems...)
	}
	return invalidError("the configuration can't be read: " + err.Error())
}

// setEvacuation has a zone emptied or taken back. The error is a *refusal. Orders about zones carry nothing that tells a copy
// that is late from a new order, so that one which was overtaken by another order about its zone since it came here gets
// no clear answer: its sender may have given it up and ordered the contrary. One that finds the zone as it wants it is
// agreed on all the same, which ends orders to the contrary that are still under way.
func (c *committer) setEvacuation(ctx context.Context, zone string, on bool) error {
	ordered := c.state.Evacuation(zone).Ordered
	for {
		err := c.attemptSetEvacuation(ctx, zone, on, ordered)
		var refused *apiError
		if err == nil || errors.As(err, &refused) {
			return err
		}
		if !c.sleep(ctx, retryInterval) {
			return unavailableError("no majority of the control machines answers; the order may be sent again")
		}
	}
}

// errConcurrentEvacuation says that the state changed between look and order.
var errConcurrentEvacuation = errors.New("api: another order came first")

// attemptSetEvacuation is one try of an order that came when its zone stood at ordered; see state.Evacuation. An error that
// is not a *refusal says that the outcome is not known.
func (c *committer) attemptSetEvacuation(ctx context.Context, zone string, on bool, ordered uint64) error {
	if err := c.replicas.Barrier(ctx, feed.ConfigurationPartition); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err // the caller has gone, and may have ordered the contrary elsewhere
	}
	evacuation := c.state.Evacuation(zone)
	if evacuation.Ordered != ordered && evacuation.On != on {
		return unavailableError("another order about the zone came first; send this one again if it still stands")
	}
	command := state.SetEvacuation{Zone: zone, On: on, Seen: evacuation.Seen}
	result, err := propose(ctx, c.replicas, command.Encode())
	if err != nil {
		return err
	}
	if result.Outcome == state.Conflict {
		return errConcurrentEvacuation
	}
	_, err = commitResponse(result)
	return err
}

func propose(ctx context.Context, replicas replica.Replicas, command []byte) (state.Result, error) {
	answer, err := replicas.Propose(ctx, feed.ConfigurationPartition, command)
	if err != nil {
		return state.Result{}, err
	}
	return state.DecodeResult(answer)
}
