package control

import (
	"errors"
	"net/http"
	"testing"

	"cinderroad/internal/system/control/client"
)

// newClient returns a client of the operator's API at the machines given, which are tried in turn.
func (c *testCluster) newClient(machines ...int) *client.Client {
	operator := &client.Client{Timeout: testTimeout}
	for _, machine := range machines {
		operator.Addresses = append(operator.Addresses, c.settings[machine].ListenOn.Control.String())
	}
	return operator
}

// TestCountersThroughTheClient calls control processes as cinderctl does, the first one of them stopped.
func TestCountersThroughTheClient(t *testing.T) {
	cluster := newTestCluster(t, 3, "apart")
	const name = "visits/by day" // escaped in paths
	cluster.mustAdd(0, "first", 1)
	cluster.stop(0)
	operator := cluster.newClient(0, 1, 2)
	addition := client.Addition{ID: "a", Amount: -5}
	for range 2 { // again under its ID
		acknowledgement, err := operator.Add(t.Context(), name, addition)
		if err != nil || acknowledgement.Machine == operator.Addresses[0] {
			t.Fatalf("%+v, %v", acknowledgement, err)
		}
	}
	for machine := 1; machine <= 2; machine++ {
		cluster.waitFor("the total is -5", func() bool {
			total, err := cluster.newClient(machine).ReadCounter(t.Context(), name)
			return err == nil && total.Total == "-5"
		})
	}

	_, err := operator.Add(t.Context(), name, client.Addition{ID: "a", Amount: 7})
	var rejected *client.RejectedError
	if !errors.As(err, &rejected) || rejected.Response.Status != http.StatusConflict || rejected.MayBeDone {
		t.Errorf("the id of another amount: %v", err)
	}
	_, description, err := operator.Status(t.Context())
	if err != nil || description.Counters == nil || description.Counters.Operations != 2 || description.Counters.Counters != 2 {
		t.Errorf("status %+v, %v", description, err)
	}
}

// TestClientWithoutCounters: where none are served, an addition is rejected and nothing was done.
func TestClientWithoutCounters(t *testing.T) {
	cluster := newTestCluster(t, 1)
	_, err := cluster.newClient(0).Add(t.Context(), "visits", client.Addition{ID: "a", Amount: 1})
	var rejected *client.RejectedError
	if !errors.As(err, &rejected) || rejected.Response.Status != http.StatusNotFound || rejected.MayBeDone {
		t.Errorf("%v", err)
	}
}
