package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// testTimeout bounds operations that end at once unless something is wrong.
const testTimeout = time.Minute

func newTestClient(t *testing.T, handler http.Handler) (*Client, *atomic.Int64) {
	t.Helper()
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(handler)
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	client := NewClient(ClientOptions{Address: address, Timeout: testTimeout})
	t.Cleanup(client.Close)
	return client, &connections
}

func instanceJSON(id string) string {
	return fmt.Sprintf(`{"id":%q,"service":"s","address":"10.0.0.1:80","state":"serving"}`, id)
}

func TestClientListPaginatesOverOneConnection(t *testing.T) {
	client, connections := newTestClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/servers" || r.URL.Query().Get("zone") != "a b" {
			t.Errorf("asked for %v", r.URL)
		}
		switch r.URL.Query().Get("page_token") {
		case "":
			fmt.Fprintf(w, `{"instances":[%s,%s],"next_token":"p&2"}`, instanceJSON("a"), instanceJSON("b"))
		case "p&2":
			w.(http.Flusher).Flush() // comes in chunks
			fmt.Fprintf(w, `{"instances":[%s,%s],"next_token":null}`, instanceJSON("b"), instanceJSON("c"))
		default:
			t.Errorf("asked for %v", r.URL)
		}
	}))
	for range 3 {
		runners, err := client.ListZone(context.Background(), "a b")
		if err != nil || len(runners) != 3 {
			t.Fatalf("got %+v, %v", runners, err)
		}
	}
	if connections.Load() != 1 || client.CallCount() != 6 {
		t.Fatalf("%d connections and %d calls", connections.Load(), client.CallCount())
	}
}

func TestClientChecksAllowCallBeforeEachCall(t *testing.T) {
	client, _ := newTestClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"instances":[%s],"next_token":"more"}`, instanceJSON("a"))
	}))
	errRejected := errors.New("refused")
	checks := 0
	client.options.AllowCall = func() error {
		checks++
		if checks > 1 {
			return errRejected
		}
		return nil
	}
	if _, err := client.List(context.Background()); !errors.Is(err, errRejected) || client.CallCount() != 1 || checks != 2 {
		t.Fatalf("%v after %d calls, asked %d times", err, client.CallCount(), checks)
	}
}

func TestClientRateLimited(t *testing.T) {
	client, _ := newTestClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "0.25")
		w.WriteHeader(http.StatusTooManyRequests)
	}))
	var limited *RateLimitedError
	if _, err := client.List(context.Background()); !errors.As(err, &limited) || limited.RetryAfter != 250*time.Millisecond {
		t.Fatalf("got %v", err)
	}
}

func TestClientStatusError(t *testing.T) {
	client, _ := newTestClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	}))
	var failure *StatusError
	if _, err := client.List(context.Background()); !errors.As(err, &failure) || failure.Status != 500 {
		t.Fatalf("got %v", err)
	}
}

func TestClientEndlessPagination(t *testing.T) {
	client, _ := newTestClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"instances":[],"next_token":"again"}`)
	}))
	var endless *EndlessPaginationError
	if _, err := client.List(context.Background()); !errors.As(err, &endless) {
		t.Fatalf("got %v", err)
	}
}

func TestClientReportsSkippedEntries(t *testing.T) {
	client, _ := newTestClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"instances":[{},%s]}`, instanceJSON("a"))
	}))
	skippedEntries := 0
	client.options.OnSkippedEntries = func(skipped *SkippedEntriesError) { skippedEntries += skipped.Skipped }
	runners, err := client.List(context.Background())
	if err != nil || len(runners) != 1 || skippedEntries != 1 {
		t.Fatalf("got %+v, %v, %d entries reported as skipped", runners, err, skippedEntries)
	}
}

func TestClientReconnectsAfterServerClose(t *testing.T) {
	listener := listen(t)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			readRequest(connection)
			body := `{"instances":[]}`
			fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			_ = connection.Close()
		}
	}()
	client := NewClient(ClientOptions{Address: addressOf(listener), Timeout: testTimeout})
	defer client.Close()
	for range 3 {
		if _, err := client.List(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
}

func TestClientListCancelled(t *testing.T) {
	listener := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		readRequest(connection)
		cancel()
	}()
	client := NewClient(ClientOptions{Address: addressOf(listener), Timeout: testTimeout})
	defer client.Close()
	if _, err := client.List(ctx); !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v", err)
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func addressOf(listener net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(listener.Addr().String())
}

func readRequest(connection net.Conn) {
	reader := bufio.NewReader(connection)
	for {
		line, err := reader.ReadString('\n')
		if err != nil || line == "\r\n" {
			return
		}
	}
}

// lateDeadlineConn is a connection whose requests end, as they are answered, together with the context; the deadline in the
// past that ends a read is set only when the next deadline has been, or the connection is closed.
type lateDeadlineConn struct {
	net.Conn
	cancel   context.CancelFunc
	cancels  bool          // the next read that returns cancels
	replaced chan struct{} // closed by the second deadline, or by Close
	replace  func()
	set      int           // deadlines in the future
	late     chan struct{} // closed once the deadline in the past was set
}

func newLateDeadlineConn(connection net.Conn, cancel context.CancelFunc) *lateDeadlineConn {
	c := &lateDeadlineConn{Conn: connection, cancel: cancel, cancels: true, replaced: make(chan struct{}), late: make(chan struct{})}
	c.replace = sync.OnceFunc(func() { close(c.replaced) })
	return c
}

func (c *lateDeadlineConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.cancels {
		c.cancels = false
		c.cancel()
	}
	return n, err
}

func (c *lateDeadlineConn) SetDeadline(at time.Time) error {
	if at.Before(time.Now()) {
		<-c.replaced
		defer close(c.late)
		return c.Conn.SetDeadline(at)
	}
	if c.set++; c.set > 1 {
		err := c.Conn.SetDeadline(at)
		c.replace()
		<-c.late
		return err
	}
	return c.Conn.SetDeadline(at)
}

func (c *lateDeadlineConn) Close() error {
	c.replace()
	return c.Conn.Close()
}

// TestClientCancelledAtTheEndOfAResponse checks that the next call is not ended by a deadline in the past that is set for a
// call which was cancelled when it was already answered: that call is sent once.
func TestClientCancelledAtTheEndOfAResponse(t *testing.T) {
	client, connections := newTestClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"instances":[]}`)
	}))
	if err := client.connect(context.Background(), time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	late := newLateDeadlineConn(client.connection, cancel)
	client.connection = late
	client.reader = bufio.NewReader(late)
	if _, err := client.List(ctx); err != nil && !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	if _, err := client.List(context.Background()); err != nil {
		t.Fatal(err)
	}
	if client.CallCount() != 2 || connections.Load() != 2 {
		t.Errorf("%d calls over %d connections, want 2 over 2", client.CallCount(), connections.Load())
	}
}
