package counterservice

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/counter"
	"cinderroad/internal/system/processconfig"
	"cinderroad/internal/system/rpc"
)

// Options configure a Service. Those without a comment are required.
type Options struct {
	Settings *processconfig.Settings
	// Peers returns the other control machines; false as long as it isn't known whether there are any. It may block
	// shortly.
	Peers func() (peers []counter.Peer, known bool)
	Log   *zap.Logger
	// OnFailure is called if counters can't be served in this process any more, for example because their file was replaced.
	// The process should end; it continues from what is on the disk when it starts again.
	OnFailure func(error)
}

// Service is a machine's replica of the counters. Its methods may be called concurrently.
type Service struct {
	options Options
	log     *zap.Logger
	address netip.AddrPort // of this machine's control RPC
	started time.Time      // origin of the clock, see now
	mux     *http.ServeMux
	slots   chan struct{} // semaphore of maxCalls
	counts  callCounts

	mutex          sync.Mutex
	node           *counter.Node // nil until the store is loaded and the peers are known
	stopping       bool          // no further additions are accepted
	additions      map[counter.AddID]chan struct{}
	requests       map[counter.RequestID]chan counter.Reply
	clients        map[netip.AddrPort]*rpc.Client // by peer
	unreachable    map[netip.AddrPort]bool        // peers that were reported as such
	nextPeerUpdate time.Duration
	nextTick       time.Duration // when the node wants to be ticked
	nextWakeUp     time.Duration // when run ticks next
	disk           diskState

	wake       chan struct{} // run ticks at once
	peersKnown chan struct{} // closed once the peers are known
	writeReady chan struct{} // something is queued for the disk
	context    context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// openStore opens the store, and flushTimeout is the constant; tests replace both.
	openStore    func() (store, error)
	flushTimeout time.Duration
}

// callCounts counts answers since the start of the process.
type callCounts struct {
	acknowledged, conflicts, unavailable, unknown, malformed, reads atomic.Uint64
}

// New returns a service that answers as one that is not ready until Start.
func New(options Options) *Service {
	settings := options.Settings
	s := &Service{
		options:     options,
		log:         options.Log,
		address:     netip.AddrPortFrom(settings.IP, settings.Port(processconfig.ControlRPCPort)),
		started:     time.Now(),
		slots:       make(chan struct{}, maxCalls),
		additions:   make(map[counter.AddID]chan struct{}),
		requests:    make(map[counter.RequestID]chan counter.Reply),
		clients:     make(map[netip.AddrPort]*rpc.Client),
		unreachable: make(map[netip.AddrPort]bool),
		wake:        make(chan struct{}, 1),
		peersKnown:  make(chan struct{}),
		writeReady:  make(chan struct{}, 1),
	}
	s.mux = s.newMux()
	s.openStore = s.openStateFolder
	s.flushTimeout = flushTimeout
	s.context, s.cancel = context.WithCancel(context.Background())
	return s
}

// Start opens the store and runs the replica in the background. It does not block. Stop ends what it began.
func (s *Service) Start() {
	s.goroutines.Go(s.runDisk)
	s.goroutines.Go(s.run)
}

const (
	// flushTimeout bounds the wait at a stop until reachable peers hold what this machine has accepted.
	flushTimeout = 500 * time.Millisecond
	// flushInterval is the time between two checks of that.
	flushInterval = 10 * time.Millisecond
)

// Stop rejects further additions, waits a while until all reachable peers hold what was accepted here, and ends the service.
// The RPC handler must be served until it returns. The context bounds all of this: Stop does not wait for a disk that hangs.
func (s *Service) Stop(ctx context.Context) {
	s.mutex.Lock()
	s.stopping = true
	s.mutex.Unlock()
	s.flush(ctx)
	s.cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.goroutines.Wait()
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// now returns the monotonic time since the service was made. It is the clock of the node.
func (s *Service) now() time.Duration { return time.Since(s.started) }

// errNotReady is returned while there is no node.
var errNotReady = errors.New("counterservice: the replica of counters has not started yet")
