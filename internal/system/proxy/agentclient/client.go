package agentclient

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/retry"
	"cinderroad/internal/system/rpc"
)

const (
	maxFollowWait   = 20 * time.Second // for which the agent may keep a call open while nothing changes
	callTimeout     = 2 * time.Second
	minRetryBackoff = 100 * time.Millisecond // after the first failed call; doubles with each further one
	maxRetryBackoff = time.Second
	maxReplyBytes   = 32 << 20
)

// The agent's methods, by the names that it registers them under. They are declared anew so that the proxy does not link
// the packages of their handlers.
var (
	followMethod = rpc.Declare[feed.FollowRequest, feed.FollowReply]("Feed.Follow")
	reportMethod = rpc.Declare[feed.ProxyReport, feed.ProxyReportReply]("Proxy.Report")
)

// Options configure a Client.
type Options struct {
	AgentAddr        netip.AddrPort
	Node             string
	RunnerPartitions int
	OnUpdate         func(Update) // receives all changes in order, on a goroutine of the Client
	OnSnapshot       func([]byte) // receives the snapshot of the proxy's previous incarnation, at most once and only if there is one
}

// Client follows the agent's feed and sends it the proxy's reports. While the agent is unreachable the last known state
// stays valid.
type Client struct {
	options       Options
	log           *zap.Logger
	client        *rpc.Client
	reportPending chan struct{} // holds one token while a report is to be sent

	mutex           sync.Mutex
	report          feed.ProxyReport
	pendingSnapshot []byte // not yet received by the agent; nil: none
}

// New creates a client; Run does its work.
func New(log *zap.Logger, options Options) *Client {
	client := rpc.NewClient(options.AgentAddr, rpc.ClientOptions{CallTimeout: callTimeout, MaxReplyBytes: maxReplyBytes})
	return &Client{options: options, log: log, client: client, reportPending: make(chan struct{}, 1)}
}

// Run follows the feed and sends reports until the context ends.
func (c *Client) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { c.follow(ctx) })
	loops.Go(func() { c.sendReports(ctx) })
	loops.Wait()
	c.client.Close()
}

// Report queues a report; a later one replaces it. Call it every second, and at once when something has changed. An
// empty Learnt means that the snapshot has not changed. It may be called from any goroutine and does not block.
func (c *Client) Report(report feed.ProxyReport) {
	c.mutex.Lock()
	if len(report.Learnt) > 0 {
		c.pendingSnapshot = report.Learnt
	}
	report.Learnt = nil
	c.report = report
	c.mutex.Unlock()
	select {
	case c.reportPending <- struct{}{}:
	default:
	}
}

// follow polls the feed, one call after the other.
func (c *Client) follow(ctx context.Context) {
	state := newFeedState(c.options.RunnerPartitions)
	pause := minRetryBackoff
	for ctx.Err() == nil {
		request := &feed.FollowRequest{
			Node:      c.options.Node,
			Positions: state.positions(),
			Wait:      maxFollowWait,
			Peers:     state.peersDigest,
		}
		reply, err := followMethod.LongPoll(ctx, c.client, maxFollowWait, request)
		if err != nil {
			c.log.Debug("feed request to agent failed", zap.Error(err))
			retry.Sleep(ctx, pause)
			pause = min(2*pause, maxRetryBackoff)
			continue
		}
		pause = minRetryBackoff
		update := state.apply(reply)
		state.fillSets(&update)
		c.logProblems(state)
		c.options.OnUpdate(update)
	}
}

// logProblems logs the items that could not be decoded.
func (c *Client) logProblems(state *feedState) {
	for _, problem := range state.problems {
		c.log.Warn("cannot decode feed item, keeping the previous one", zap.String("key", problem.key),
			zap.Error(problem.err))
	}
	state.problems = nil
}

// sendReports sends the queued reports. Before the first one it fetches the snapshot of the proxy's previous
// incarnation.
func (c *Client) sendReports(ctx context.Context) {
	for !c.fetchSnapshot(ctx) && ctx.Err() == nil {
		retry.Sleep(ctx, minRetryBackoff)
	}
	for {
		select {
		case <-c.reportPending:
			c.sendReport(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// fetchSnapshot fetches the previous incarnation's snapshot; false if the agent did not answer.
func (c *Client) fetchSnapshot(ctx context.Context) bool {
	c.mutex.Lock()
	report := feed.ProxyReport{Front: c.report.Front, Stopping: c.report.Stopping}
	c.mutex.Unlock()
	reply, err := reportMethod.Invoke(ctx, c.client, &report)
	if err != nil {
		return false
	}
	if len(reply.Learnt) > 0 {
		c.options.OnSnapshot(reply.Learnt)
	}
	return true
}

// sendReport sends the latest report, with the snapshot until the agent has received it.
func (c *Client) sendReport(ctx context.Context) {
	c.mutex.Lock()
	report := c.report
	report.Learnt = c.pendingSnapshot
	c.pendingSnapshot = nil
	c.mutex.Unlock()
	if _, err := reportMethod.Invoke(ctx, c.client, &report); err != nil {
		c.log.Debug("status report to agent failed", zap.Error(err))
		c.requeueSnapshot(report.Learnt)
	}
}

// requeueSnapshot schedules a snapshot to be sent again, unless there is a newer one.
func (c *Client) requeueSnapshot(snapshot []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pendingSnapshot == nil {
		c.pendingSnapshot = snapshot
	}
}
