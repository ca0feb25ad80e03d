package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/replica"
)

// fakeReplica is a replica of partition 0 that commits by itself and injects faults.
type fakeReplica struct {
	mutex         sync.Mutex
	state         *state.Configuration
	index         uint64        // of the last log entry
	noQuorum      bool          // calls fail
	isolated      bool          // contact with the majority is lost
	lostResponses int           // number of proposals whose response is lost after the commit
	lostProposals int           // number of proposals that are lost before it
	hang          bool          // calls end with their context only
	delay         time.Duration // of each call
	beforeApply   func()        // called once, before the next proposal is applied
	onBarrier     func()        // called once, before the next barrier returns
	proposals     int           // that arrived
}

func newFakeReplica() *fakeReplica {
	return &fakeReplica{state: state.NewConfiguration(func() time.Duration { return 0 }, func() {})}
}

var errLost = errors.New("lost")

func (r *fakeReplica) simulateFaults(ctx context.Context) error {
	r.mutex.Lock()
	hang := r.hang
	delay := r.delay
	away := r.noQuorum
	r.mutex.Unlock()
	if hang {
		<-ctx.Done()
		return ctx.Err()
	}
	if delay > 0 {
		<-time.After(delay) // in virtual time
	}
	if away {
		return &replica.UnavailableError{}
	}
	return ctx.Err()
}

// Propose implements replica.Replicas.
func (r *fakeReplica) Propose(ctx context.Context, _ feed.Partition, command []byte) ([]byte, error) {
	if err := r.simulateFaults(ctx); err != nil {
		return nil, err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.proposals++
	if r.lostProposals > 0 {
		r.lostProposals--
		return nil, errLost
	}
	if before := r.beforeApply; before != nil {
		r.beforeApply = nil
		before()
	}
	response := r.apply(command)
	if r.lostResponses > 0 {
		r.lostResponses--
		return nil, errLost
	}
	return response, nil
}

func (r *fakeReplica) apply(command []byte) []byte {
	r.index++
	return r.state.Apply(r.index, command)
}

// Barrier implements replica.Replicas.
func (r *fakeReplica) Barrier(ctx context.Context, _ feed.Partition) error {
	if err := r.simulateFaults(ctx); err != nil {
		return err
	}
	if onBarrier := r.onBarrier; onBarrier != nil {
		r.onBarrier = nil
		onBarrier()
	}
	return nil
}

// evacuateElsewhere applies an evacuation that was requested through another machine.
func (r *fakeReplica) evacuateElsewhere(zone string, on bool) {
	command := state.SetEvacuation{Zone: zone, Evacuated: on, ExpectedRevision: r.state.Evacuation(zone).Revision}
	r.apply(command.Encode())
}

// LeaderLease implements replica.Replicas.
func (r *fakeReplica) LeaderLease(feed.Partition) (time.Duration, bool) { return time.Second, true }

// Staleness implements replica.Replicas.
func (r *fakeReplica) Staleness(feed.Partition) time.Duration { return 0 }

// InContact implements replica.Replicas.
func (r *fakeReplica) InContact(feed.Partition) bool { return !r.isolated }

// Status implements replica.Replicas.
func (r *fakeReplica) Status() []replica.PartitionStatus { return nil }

func (r *fakeReplica) newAPI() *API {
	return New(Options{
		Replicas:   r,
		State:      r.state,
		ZoneExists: func(zone string) bool { return zone == "a" || zone == "b" },
		Status:     func() []byte { return []byte("{}") },
		Log:        zap.NewNop(),
	})
}

// readConfiguration returns the configuration as the API reads it.
func (r *fakeReplica) readConfiguration(t *testing.T) string {
	t.Helper()
	response := call(r.newAPI(), http.MethodGet, PathRead, "", "")
	if response.Code != http.StatusOK {
		t.Fatalf("read: %d %s", response.Code, response.Body)
	}
	return response.Body.String()
}

// call sends one request to the API; an empty basedOn sends no header.
func call(a *API, method, path string, basedOn, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if basedOn != "" {
		request.Header.Set(HeaderBasedOn, basedOn)
	}
	recorder := httptest.NewRecorder()
	a.ServeHTTP(recorder, request)
	return recorder
}

func routeJSON(name, service string) string {
	return `{"name":"` + name + `","host":"h.example","path_start":"/` + name +
		`/","type":"read_only","timeout_ms":5000,"target_ms":800,"rank":1,"service":"` + service +
		`","tries":1,"note":"kept"}`
}

// documentJSON returns a configuration with the services s and t, and an item that the system does not know.
func documentJSON(version int, routes ...string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s","health_path":"/health","max_conns":3,`+
		`"cold_for_s":0,"cold_rate_s":0},{"name":"t","health_path":"/health","max_conns":3,"cold_for_s":0,`+
		`"cold_rate_s":0}],"limits":{"max_header_bytes":1,"max_body_bytes":2,"header_wait_ms":3,"idle_limit_ms":4},`+
		`"mood":{"x":[1]}}`, version, strings.Join(routes, ","))
}

func equalJSON(t *testing.T, got, want string) bool {
	t.Helper()
	var gotValue, wantValue any
	if err := json.Unmarshal([]byte(got), &gotValue); err != nil {
		t.Fatalf("%s: %v", got, err)
	}
	if err := json.Unmarshal([]byte(want), &wantValue); err != nil {
		t.Fatalf("%s: %v", want, err)
	}
	return reflect.DeepEqual(gotValue, wantValue)
}
