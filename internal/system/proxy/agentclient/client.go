package agentclient

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/rpc"
)

const (
	maxFollowWait   = 20 * time.Second // that the agent may hold a call open while nothing changes
	callTimeout     = 2 * time.Second
	minRetryBackoff = 100 * time.Millisecond // after a call that failed; the first of a series
	maxRetryBackoff = time.Second
	maxReplyBytes   = 32 << 20 // bytes
)

// The agent's calls, by the names that it serves them under.
var (
	followCall = rpc.Declare[feed.FollowRequest, feed.FollowReply]("Feed.Follow")
	reportCall = rpc.Declare[feed.ProxyReport, feed.ProxyReportReply]("Proxy.Report")
)

// Options say whom to follow.
type Options struct {
	AgentAddr        netip.AddrPort
	Node             string
	RunnerPartitions int
	OnUpdate         func(Update) // gets what changed, in order; it is called on a goroutine of the link
	OnSnapshot       func([]byte) // gets what the proxy's earlier life had learnt, if anything
}

// Client follows the agent and reports to it. What is known stays known while the agent is away.
type Client struct {
	options       Options
	log           *zap.Logger
	client        *rpc.Client
	reportPending chan struct{} // holds one token when there is a report to be sent

	mutex           sync.Mutex
	report          feed.ProxyReport
	pendingSnapshot []byte // that the agent has not got yet
}

// New makes a link; Run does its work.
func New(log *zap.Logger, options Options) *Client {
	client := rpc.NewClient(options.AgentAddr, rpc.ClientOptions{CallTimeout: callTimeout, MaxReplyBytes: maxReplyBytes})
	return &Client{options: options, log: log, client: client, reportPending: make(chan struct{}, 1)}
}

// Run follows and reports until the context ends.
func (c *Client) Run(ctx context.Context) {
	var both sync.WaitGroup
	both.Go(func() { c.follow(ctx) })
	both.Go(func() { c.sendReports(ctx) })
	both.Wait()
	c.client.Close()
}

// Report has the agent told what the proxy is; it is to be called every second, and at once on a change. Learnt may be
// empty: nothing new.
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

// follow asks for changes, one call after the other.
func (c *Client) follow(ctx context.Context) {
	state := newFeedState(c.options.RunnerPartitions)
	pause := minRetryBackoff
	for ctx.Err() == nil {
		request := &feed.FollowRequest{Node: c.options.Node, Positions: state.positions(), Wait: maxFollowWait,
			Peers: state.peersDigest}
		reply, err := followCall.LongPoll(ctx, c.client, maxFollowWait, request)
		if err != nil {
			c.log.Debug("agent gave no feed", zap.Error(err))
			sleep(ctx, pause)
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

// logProblems logs items that make no sense.
func (c *Client) logProblems(state *feedState) {
	for _, finding := range state.problems {
		c.log.Warn("feed: item cannot be read, the one before it stays", zap.String("key", finding.Key),
			zap.Error(finding.Err))
	}
	state.problems = nil
}

// sendReports tells the agent what the proxy is. The first report says nothing: it asks for what an earlier life had
// learnt.
func (c *Client) sendReports(ctx context.Context) {
	for !c.fetchSnapshot(ctx) && ctx.Err() == nil {
		sleep(ctx, minRetryBackoff)
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

// fetchSnapshot asks for what an earlier life had learnt; false when the agent did not answer.
func (c *Client) fetchSnapshot(ctx context.Context) bool {
	c.mutex.Lock()
	report := feed.ProxyReport{Front: c.report.Front, Stopping: c.report.Stopping}
	c.mutex.Unlock()
	reply, err := reportCall.Invoke(ctx, c.client, &report)
	if err != nil {
		return false
	}
	if len(reply.Learnt) > 0 {
		c.options.OnSnapshot(reply.Learnt)
	}
	return true
}

// sendReport sends the report. What was learnt goes along until the agent has it.
func (c *Client) sendReport(ctx context.Context) {
	c.mutex.Lock()
	report := c.report
	report.Learnt = c.pendingSnapshot
	c.pendingSnapshot = nil
	c.mutex.Unlock()
	if _, err := reportCall.Invoke(ctx, c.client, &report); err != nil {
		c.log.Debug("agent took no report", zap.Error(err))
		c.requeueSnapshot(report.Learnt)
	}
}

// requeueSnapshot has what was learnt sent again, unless there is newer by now.
func (c *Client) requeueSnapshot(snapshot []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pendingSnapshot == nil {
		c.pendingSnapshot = snapshot
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
