package counterservice

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/counter"
	"cinderroad/internal/system/processconfig"
	"cinderroad/internal/system/sqlitedb"
)

// faultyStore is a store in memory whose writes fail or stall on demand.
type faultyStore struct {
	mutex     sync.Mutex
	entries   []counter.Entry
	origin    counter.Origin
	fault     error
	stalled   chan struct{} // not nil: operations wait until it is closed
	discarded bool
}

// operate waits while the store stalls, and returns its fault.
func (f *faultyStore) operate() error {
	f.mutex.Lock()
	stalled := f.stalled
	f.mutex.Unlock()
	if stalled != nil {
		<-stalled
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.fault
}

// setFault has operations fail, or work again if the error is nil.
func (f *faultyStore) setFault(err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.fault = err
}

// stall has operations wait until the returned function is called.
func (f *faultyStore) stall() (end func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	stalled := make(chan struct{})
	f.stalled = stalled
	return func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.stalled = nil
		close(stalled)
	}
}

func (f *faultyStore) Origin() counter.Origin { return f.origin }

func (f *faultyStore) Load() ([]counter.Entry, error) {
	err := f.operate()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]counter.Entry(nil), f.entries...), err
}

func (f *faultyStore) Write(newOrigin counter.Origin, entries []counter.Entry) error {
	if err := f.operate(); err != nil {
		return err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if newOrigin != 0 {
		f.origin = newOrigin
	}
	f.entries = append(f.entries, entries...)
	return nil
}

func (f *faultyStore) Discard() error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.discarded = true
	f.entries = nil
	return nil
}

func (f *faultyStore) Close() error { return nil }

// fixture is a service without peers on a faulty store.
type fixture struct {
	t        *testing.T
	service  *Service
	store    *faultyStore
	failures chan error
}

// runFixture runs a test in virtual time with a service that is ready, unless the store has a fault.
func runFixture(t *testing.T, disk *faultyStore, test func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t: t, store: disk, failures: make(chan error, 1)}
		f.service = New(Options{
			Settings: &processconfig.Settings{
				IP:        netip.MustParseAddr("127.0.0.1"),
				Zone:      "a",
				FreePorts: processconfig.PortRange{First: 7000, Last: 7010},
				FirstBoot: true,
			},
			Peers:     func() ([]counter.Peer, bool) { return nil, true },
			Log:       zap.NewNop(),
			OnFailure: func(err error) { f.failures <- err },
		})
		f.service.openStore = func() (store, error) { return f.store, nil }
		f.service.Start()
		f.settle()
		test(f)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f.service.Stop(ctx)
		if err := ctx.Err(); err != nil {
			t.Error("the service did not stop")
		}
	})
}

// settle lets the service do what is due soon.
func (f *fixture) settle() { time.Sleep(2 * startInterval) }

// call makes a call, and returns the status with the body.
func (f *fixture) call(method, path, body string) *httptest.ResponseRecorder {
	f.t.Helper()
	response := httptest.NewRecorder()
	f.service.ServeHTTP(response, httptest.NewRequest(method, path, strings.NewReader(body)))
	if response.Code == http.StatusServiceUnavailable && response.Header().Get("Retry-After") == "" {
		f.t.Errorf("%s: 503 without Retry-After", path)
	}
	return response
}

// add adds to the counter "t3".
func (f *fixture) add(id string, amount int) int {
	f.t.Helper()
	return f.call(http.MethodPost, PathAdd+"t3", fmt.Sprintf(`{"id":%q,"changed_by":%d}`, id, amount)).Code
}

func (f *fixture) expectAdd(id string, amount, status int) {
	f.t.Helper()
	if got := f.add(id, amount); got != status {
		f.t.Errorf("adding %s: %d, want %d", id, got, status)
	}
}

func (f *fixture) expectTotal(want string) {
	f.t.Helper()
	response := f.call(http.MethodGet, PathRead+"t3", "")
	if response.Code != http.StatusOK || response.Body.String() != `{"total":`+want+`}` {
		f.t.Errorf("read %d %s, want a total of %s", response.Code, response.Body, want)
	}
	if kind := response.Header().Get("Content-Type"); kind != "application/json" {
		f.t.Errorf("the total has the type %q", kind)
	}
}

func TestCalls(t *testing.T) {
	runFixture(t, &faultyStore{origin: 1}, func(f *fixture) {
		f.expectTotal("0")
		f.expectAdd("a", 4, http.StatusOK)
		f.expectAdd("a", 4, http.StatusOK) // again
		f.expectAdd("a", 5, http.StatusConflict)
		f.expectAdd("b", -10, http.StatusOK)
		f.expectTotal("-6")
		other := f.call(http.MethodPost, PathAdd+"t%2F4", `{"id":"c","changed_by":9223372036854775807}`)
		if other.Code != http.StatusOK || other.Body.String() != `{"id":"c"}` {
			t.Errorf("another counter: %d %s", other.Code, other.Body)
		}
		for _, test := range []struct {
			method, path, body string
			status             int
		}{
			{http.MethodPost, PathAdd + "t3", "{}", http.StatusBadRequest},
			{http.MethodPost, PathAdd + strings.Repeat("x", 257), `{"id":"c","changed_by":1}`, http.StatusBadRequest},
			{http.MethodPost, PathAdd + "t3", strings.Repeat(" ", maxBodyBytes+1), http.StatusRequestEntityTooLarge},
			{http.MethodGet, PathAdd + "t3", "", http.StatusMethodNotAllowed},
			{http.MethodPost, PathRead + "t3", "", http.StatusMethodNotAllowed},
			{http.MethodGet, PathRead, "", http.StatusNotFound},
			{http.MethodGet, PathRead + "t3/x", "", http.StatusNotFound},
		} {
			if response := f.call(test.method, test.path, test.body); response.Code != test.status {
				t.Errorf("%s %s: %d %s", test.method, test.path, response.Code, response.Body)
			}
		}
		f.expectTotal("-6")
	})
}

func TestTooManyCalls(t *testing.T) {
	runFixture(t, &faultyStore{origin: 1}, func(f *fixture) {
		for range maxCalls {
			f.service.slots <- struct{}{}
		}
		f.expectAdd("a", 4, http.StatusServiceUnavailable)
		for range maxCalls {
			<-f.service.slots
		}
		f.expectAdd("a", 4, http.StatusOK)
	})
}

// TestNotStarted: nothing is served before the store is loaded.
func TestNotStarted(t *testing.T) {
	store := &faultyStore{origin: 1}
	store.setFault(&sqlitedb.DiskError{Operation: "load", Full: true})
	runFixture(t, store, func(f *fixture) {
		f.expectAdd("a", 4, http.StatusServiceUnavailable)
		if read := f.call(http.MethodGet, PathRead+"t3", ""); read.Code != http.StatusServiceUnavailable {
			t.Errorf("read: %d", read.Code)
		}
		request := &counter.ExchangeRequest{From: counter.Sender{Address: "127.0.0.2:7000", Zone: "b", Origin: 9}}
		if _, err := f.service.handleExchange(f.t.Context(), request); !errors.Is(err, errNotReady) {
			t.Errorf("exchange: %v", err)
		}
		store.setFault(nil)
		time.Sleep(time.Second)
		f.expectAdd("a", 4, http.StatusOK)
	})
}

// TestFullDisk: what the disk was asked to keep is retried and may be counted; what comes later is rejected at once.
func TestFullDisk(t *testing.T) {
	runFixture(t, &faultyStore{origin: 1}, func(f *fixture) {
		f.expectAdd("a", 1, http.StatusOK)
		f.store.setFault(&sqlitedb.DiskError{Operation: "write", Full: true})
		f.expectAdd("b", 10, http.StatusGatewayTimeout)
		for range 3 {
			started := time.Now()
			f.expectAdd("c", 100, http.StatusServiceUnavailable)
			if elapsed := time.Since(started); elapsed > 0 {
				t.Errorf("rejected after %v", elapsed)
			}
		}
		f.expectTotal("1")
		f.store.setFault(nil)
		time.Sleep(time.Second)
		f.expectTotal("11")
		f.expectAdd("b", 10, http.StatusOK) // again
		f.expectAdd("c", 100, http.StatusOK)
		f.expectTotal("111")
	})
}

// TestStalledDisk: a disk that hangs blocks no call for long.
func TestStalledDisk(t *testing.T) {
	runFixture(t, &faultyStore{origin: 1}, func(f *fixture) {
		f.expectAdd("a", 1, http.StatusOK)
		end := f.store.stall()
		started := time.Now()
		f.expectAdd("b", 10, http.StatusGatewayTimeout)
		if elapsed := time.Since(started); elapsed != addTimeout {
			t.Errorf("answered after %v", elapsed)
		}
		f.expectAdd("c", 100, http.StatusServiceUnavailable)
		f.expectTotal("1")
		end()
		f.settle()
		f.expectTotal("11")
		f.expectAdd("c", 100, http.StatusOK)
	})
}

// TestOutcomeAfterReturn: an addition that waits for the disk is acknowledged once that works again.
func TestOutcomeAfterReturn(t *testing.T) {
	runFixture(t, &faultyStore{origin: 1}, func(f *fixture) {
		end := f.store.stall()
		time.AfterFunc(addTimeout/2, end)
		f.expectAdd("a", 4, http.StatusOK)
	})
}

// TestStopWithHangingDisk: Stop returns at its context's end.
func TestStopWithHangingDisk(t *testing.T) {
	runFixture(t, &faultyStore{origin: 1}, func(f *fixture) {
		end := f.store.stall()
		f.expectAdd("a", 4, http.StatusGatewayTimeout)
		ctx, cancel := context.WithTimeout(f.t.Context(), 2*time.Second)
		defer cancel()
		f.service.Stop(ctx)
		if ctx.Err() == nil {
			t.Error("stopped while the disk hangs")
		}
		f.expectAdd("b", 4, http.StatusServiceUnavailable)
		end()
	})
}

// TestReplacedFile: the process has to end if the file is not that of the store any more.
func TestReplacedFile(t *testing.T) {
	runFixture(t, &faultyStore{origin: 1}, func(f *fixture) {
		f.store.setFault(&sqlitedb.CorruptError{Path: "counters.db", Cause: errors.New("another origin")})
		f.expectAdd("a", 4, http.StatusGatewayTimeout)
		var corrupt *sqlitedb.CorruptError
		if err := <-f.failures; !errors.As(err, &corrupt) {
			t.Errorf("failure: %v", err)
		}
		f.expectAdd("b", 4, http.StatusServiceUnavailable)
	})
}

// TestInvalidLogIsDiscarded: logs with a gap are moved aside.
func TestInvalidLogIsDiscarded(t *testing.T) {
	gap := counter.Entry{Origin: 1, Sequence: 2, Operation: counter.Operation{ID: "a", Counter: "t3", Amount: 4}}
	runFixture(t, &faultyStore{origin: 1, entries: []counter.Entry{gap}}, func(f *fixture) {
		f.settle()
		f.expectTotal("0")
		if !f.store.discarded {
			t.Error("the store was not discarded")
		}
	})
}

// TestMalformedExchange: the caller gets an error.
func TestMalformedExchange(t *testing.T) {
	runFixture(t, &faultyStore{origin: 1}, func(f *fixture) {
		request := &counter.ExchangeRequest{
			From:   counter.Sender{Address: "127.0.0.2:7000", Zone: "b", Origin: 9},
			Vector: []byte("no vector"),
		}
		var malformed *counter.DecodeError
		if _, err := f.service.handleExchange(f.t.Context(), request); !errors.As(err, &malformed) {
			t.Errorf("%v", err)
		}
	})
}
