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

// retryEvery is the pause between two attempts of an order whose outcome is not known.
const retryEvery = 50 * time.Millisecond

// kind is what a change of the configuration is.
type kind uint8

const (
	replaceWhole kind = 1 + iota
	changeItems
)

// request is a change of the configuration as the operator sent it.
type request struct {
	kind    kind
	basedOn uint64
	body    []byte
}

// digest is that of all that makes the request what it is.
func (r *request) digest() state.Digest {
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

// change is what a valid request does to the configuration.
type change struct {
	version uint64
	writes  []state.Write
}

// orders is what the committer asks of this machine's replica; state.Configuration implements it.
type orders interface {
	Standing(basedOn uint64, digest state.Digest) state.Standing
	Evacuation(zone string) state.Evacuation
}

// committer has orders agreed on.
type committer struct {
	replicas replica.Replicas
	state    orders
	prepare  func(request *request, base *state.Base) (change, error)
	pause    func(ctx context.Context, d time.Duration) bool // says whether the context goes on after it
}

// commit has the request agreed on and returns its version. The error is a *refusal. It tries again while the outcome
// of an attempt is not known, until the context ends: the digest keeps the request from being taken twice.
func (c *committer) commit(ctx context.Context, request *request) (uint64, error) {
	digest := request.digest()
	for {
		version, err := c.attempt(ctx, request, digest)
		var refused *refusal
		if err == nil || errors.As(err, &refused) {
			return version, err
		}
		if !c.pause(ctx, retryEvery) {
			return 0, unavailable("no majority of the control machines answers; the order may be sent again unchanged")
		}
	}
}

// attempt is one try. An error that is not a *refusal says that the outcome is not known.
func (c *committer) attempt(ctx context.Context, request *request, digest state.Digest) (uint64, error) {
	if err := c.replicas.Barrier(ctx, feed.ConfigurationPartition); err != nil {
		return 0, err
	}
	standing := c.state.Standing(request.basedOn, digest)
	if standing.Verdict != state.Open {
		return decided(standing, request.basedOn)
	}
	change, err := c.prepare(request, &standing.Base)
	if err != nil {
		return 0, refuse(err)
	}
	command := state.CommitConfiguration{BasedOn: request.basedOn, Version: change.version, Digest: digest,
		Writes: change.writes}
	result, err := propose(ctx, c.replicas, command.Encode())
	if err != nil {
		return 0, err
	}
	return settled(result)
}

// decided answers a request that is not Open. Only one that can't be accepted any more is refused: an earlier copy of it
// may still be under way through another machine.
func decided(standing state.Standing, basedOn uint64) (uint64, error) {
	switch standing.Verdict {
	case state.Taken:
		return standing.Version, nil
	case state.Superseded:
		return 0, conflict(standing.Version)
	case state.Early:
		return 0, unavailable(fmt.Sprintf("version %d, which the order builds on, is not in force: the newest is %d",
			basedOn, standing.Version))
	}
	return 0, forgotten()
}

// forgotten is the answer to a request so old that it is not known whether it was accepted.
func forgotten() *refusal {
	return unavailable(fmt.Sprintf("the order builds on a version from over %d changes ago, so that it is not known "+
		"whether it was accepted; read the configuration", state.RememberedChanges))
}

func settled(result state.Result) (uint64, error) {
	switch result.Outcome {
	case state.Accepted, state.AlreadyAccepted:
		return result.Number, nil
	case state.Conflict:
		return 0, conflict(result.Number)
	case state.NotRemembered:
		return 0, forgotten()
	}
	return 0, unavailable("control machines run releases that do not understand each other; update all of them")
}

// refuse turns what is wrong with a request into an answer.
func refuse(err error) *refusal {
	var refused *refusal
	if errors.As(err, &refused) {
		return refused
	}
	var found *validation.Error
	if errors.As(err, &found) {
		return invalid("the configuration is invalid; nothing was changed", found.Problems...)
	}
	return invalid("the configuration can't be read: " + err.Error())
}

// evacuate has a zone emptied or taken back. The error is a *refusal. Orders about zones carry nothing that tells a copy
// that is late from a new order, so that one which was overtaken by another order about its zone since it came here gets
// no clear answer: its sender may have given it up and ordered the contrary. One that finds the zone as it wants it is
// agreed on all the same, which ends orders to the contrary that are still under way.
func (c *committer) evacuate(ctx context.Context, zone string, on bool) error {
	ordered := c.state.Evacuation(zone).Ordered
	for {
		err := c.attemptEvacuation(ctx, zone, on, ordered)
		var refused *refusal
		if err == nil || errors.As(err, &refused) {
			return err
		}
		if !c.pause(ctx, retryEvery) {
			return unavailable("no majority of the control machines answers; the order may be sent again")
		}
	}
}

// errLookAgain says that the state changed between look and order.
var errLookAgain = errors.New("api: another order came first")

// attemptEvacuation is one try of an order that came when its zone stood at ordered; see state.Evacuation. An error that
// is not a *refusal says that the outcome is not known.
func (c *committer) attemptEvacuation(ctx context.Context, zone string, on bool, ordered uint64) error {
	if err := c.replicas.Barrier(ctx, feed.ConfigurationPartition); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err // the caller has gone, and may have ordered the contrary elsewhere
	}
	evacuation := c.state.Evacuation(zone)
	if evacuation.Ordered != ordered && evacuation.On != on {
		return unavailable("another order about the zone came first; send this one again if it still stands")
	}
	command := state.SetEvacuation{Zone: zone, On: on, Seen: evacuation.Seen}
	result, err := propose(ctx, c.replicas, command.Encode())
	if err != nil {
		return err
	}
	if result.Outcome == state.Conflict {
		return errLookAgain
	}
	_, err = settled(result)
	return err
}

func propose(ctx context.Context, replicas replica.Replicas, command []byte) (state.Result, error) {
	answer, err := replicas.Propose(ctx, feed.ConfigurationPartition, command)
	if err != nil {
		return state.Result{}, err
	}
	return state.DecodeResult(answer)
}
