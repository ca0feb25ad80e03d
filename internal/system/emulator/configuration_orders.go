package emulator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"cinderroad/internal/testkit/checker"
	"cinderroad/internal/testkit/client"
)

// errOutcomeUnknown says that an earlier change has no clear outcome, so that no other can be built on a known version.
var errOutcomeUnknown = errors.New("an earlier change has no clear outcome")

// addedRoutePrefix begins the names of the classes of routes that are added, as a number follows.
const addedRoutePrefix = "added-"

// addedRoute returns the n-th route that changes add, for clients and for the configuration.
func (e *emulation) addedRoute(n int) (*client.Route, routeDocument) {
	class := e.options.Scenario.Classes[len(e.options.Scenario.Classes)-1]
	class.Name = fmt.Sprintf("%s%d", addedRoutePrefix, n)
	return clientRoute(&class), routeDocumentOf(&class)
}

// nextRoute returns another route that is to be added. The configuration's mutex must be held.
func (e *emulation) nextRoute() routeDocument {
	_, document := e.addedRoute(int(e.addedRoutes.Add(1)))
	return document
}

// addedRouteCount returns how many routes changes have tried to add.
func (e *emulation) addedRouteCount() int { return int(e.addedRoutes.Load()) }

// nextConfiguration returns the present configuration with another route. The configuration's mutex must be held.
func (e *emulation) nextConfiguration(step int) (changeDocument, configurationDocument) {
	route := e.nextRoute()
	next := e.inForce
	next.Version += step
	next.Routes = slices.Clone(next.Routes)
	next.upsertRoute(route)
	return changeDocument{Version: next.Version, Replace: changedItems{Routes: []routeDocument{route}}}, next
}

// changeUntilClear adds a route and sends that until it has a clear outcome. As there is no other writer meanwhile, it must be
// acknowledged.
func (e *emulation) changeUntilClear(ctx context.Context) error {
	e.configurationMutex.Lock()
	defer e.configurationMutex.Unlock()
	if e.outcomeUnknown {
		return errOutcomeUnknown
	}
	change, next := e.nextConfiguration(versionStep)
	return e.settleOrders(e.sendChange(ctx, change, next))
}

// order is a change of the configuration and its outcome.
type order struct {
	next configurationDocument
	err  error // nil: acknowledged; a rejectedError: refused; others: no clear outcome
}

// sendChange sends a change until it has a clear outcome, and records that.
func (e *emulation) sendChange(ctx context.Context, change changeDocument, next configurationDocument) order {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	e.storm.history.sent(&next)
	began := time.Now()
	err := e.deployment.operator().changeConfiguration(ctx, change, e.inForce.Version)
	var rejected *rejectedError
	switch {
	case err == nil:
		e.storm.history.acknowledged(&next, time.Now())
	case errors.As(err, &rejected):
		e.storm.history.refused(&next)
	}
	e.logEvent("change sent", "version", next.Version, "after", time.Since(began).Round(time.Millisecond), "error", err)
	return order{next: next, err: err}
}

// settleOrders takes over the outcome of orders on the same version: exactly one must be acknowledged. The configuration's
// mutex must be held.
func (e *emulation) settleOrders(orders ...order) error {
	base := e.inForce.Version
	acknowledged := 0
	var refusal error
	for _, o := range orders {
		var rejected *rejectedError
		switch {
		case o.err == nil:
			acknowledged++
			e.inForce = o.next
		case errors.As(o.err, &rejected):
			refusal = o.err
		default:
			e.outcomeUnknown = true
			return o.err
		}
	}
	if acknowledged != 1 {
		e.checker.Report(checker.ConfigurationMismatch, "%d of %d proper changes of version %d were acknowledged: %v",
			acknowledged, len(orders), base, refusal)
		e.outcomeUnknown = true
	}
	return nil
}

// raceChanges has two operators change the same version at once; for half of the indices, to the same number.
func (e *emulation) raceChanges(ctx context.Context, index int) error {
	e.configurationMutex.Lock()
	defer e.configurationMutex.Unlock()
	if e.outcomeUnknown {
		return errOutcomeUnknown
	}
	orders := make([]order, 2)
	var group sync.WaitGroup
	for i := range orders {
		change, next := e.nextConfiguration(versionStep + i*(index%2))
		group.Go(func() { orders[i] = e.sendChange(ctx, change, next) })
	}
	group.Wait()
	return e.settleOrders(orders...)
}

// sendInvalidChange sends one of several invalid changes, which must be refused.
func (e *emulation) sendInvalidChange(ctx context.Context, index int) error {
	e.configurationMutex.Lock()
	defer e.configurationMutex.Unlock()
	if e.outcomeUnknown {
		return errOutcomeUnknown
	}
	change, next := e.nextConfiguration(versionStep)
	form := index % invalidForms
	makeInvalid(&change, e.inForce, form)
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := e.deployment.operator().changeConfiguration(ctx, change, e.inForce.Version)
	var rejected *rejectedError
	switch {
	case err == nil:
		e.checker.Report(checker.ConfigurationMismatch, "an invalid change (form %d) was acknowledged", form)
		e.outcomeUnknown = true
		return nil
	case errors.As(err, &rejected):
		e.storm.history.refused(&next)
		return nil
	}
	return err
}

// invalidForms is the number of forms of makeInvalid.
const invalidForms = 4

// makeInvalid makes a change of a configuration invalid in one of several ways.
func makeInvalid(change *changeDocument, base configurationDocument, form int) {
	route := &change.Replace.Routes[0]
	switch form {
	case 0:
		route.Service = "unknown"
	case 1:
		route.TimeoutMS = 0
	case 2:
		route.PathStart = base.Routes[0].PathStart
	default:
		change.Version = base.Version - 1
	}
}
