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
	followWait  = 20 * time.Second // that the agent may hold a call open while nothing changes
	callTimeout = 2 * time.Second
	retryPause  = 100 * time.Millisecond // after a call that failed; the first of a series
	retryMost   = time.Second
	mostReply   = 32 << 20 // bytes
)

// The agent's calls, by the names that it serves them under.
var (
	followCall = rpc.Declare[feed.FollowRequest, feed.FollowReply]("Feed.Follow")
	reportCall = rpc.Declare[feed.ProxyReport, feed.ProxyReportReply]("Proxy.Report")
)

// Options say whom to follow.
type Options struct {
	Agent            netip.AddrPort
	Node             string
	RunnerPartitions int
	Deliver          func(Update) // gets what changed, in order; it is called on a goroutine of the link
	Recall           func([]byte) // gets what the proxy's earlier life had learnt, if anything
}

// Link follows the agent and reports to it. What is known stays known while the agent is away.
type Link struct {
	options Options
	log     *zap.Logger
	client  *rpc.Client
	told    chan struct{} // holds one token when there is a report to be sent

	mutex  sync.Mutex
	report feed.ProxyReport
	learnt []byte // that the agent has not got yet
}

// New makes a link; Run does its work.
func New(log *zap.Logger, options Options) *Link {
	client := rpc.NewClient(options.Agent, rpc.ClientOptions{CallTimeout: callTimeout, MaxReplyBytes: mostReply})
	return &Link{options: options, log: log, client: client, told: make(chan struct{}, 1)}
}

// Run follows and reports until the context ends.
func (l *Link) Run(ctx context.Context) {
	var both sync.WaitGroup
	both.Go(func() { l.follow(ctx) })
	both.Go(func() { l.reports(ctx) })
	both.Wait()
	l.client.Close()
}

// Report has the agent told what the proxy is; it is to be called every second, and at once on a change. Learnt may be
// empty: nothing new.
func (l *Link) Report(report feed.ProxyReport) {
	l.mutex.Lock()
	if len(report.Learnt) > 0 {
		l.learnt = report.Learnt
	}
	report.Learnt = nil
	l.report = report
	l.mutex.Unlock()
	select {
	case l.told <- struct{}{}:
	default:
	}
}

// follow asks for changes, one call after the other.
func (l *Link) follow(ctx context.Context) {
	state := newState(l.options.RunnerPartitions)
	pause := retryPause
	for ctx.Err() == nil {
		request := &feed.FollowRequest{Node: l.options.Node, Positions: state.positions(), Wait: followWait,
			Peers: state.peers}
		reply, err := followCall.LongPoll(ctx, l.client, followWait, request)
		if err != nil {
			l.log.Debug("agent gave no feed", zap.Error(err))
			sleep(ctx, pause)
			pause = min(2*pause, retryMost)
			continue
		}
		pause = retryPause
		update := state.take(reply)
		state.fill(&update)
		l.complain(state)
		l.options.Deliver(update)
	}
}

// complain logs items that make no sense.
func (l *Link) complain(s *state) {
	for _, finding := range s.findings {
		l.log.Warn("feed: item cannot be read, the one before it stays", zap.String("key", finding.Key),
			zap.Error(finding.Err))
	}
	s.findings = nil
}

// reports tells the agent what the proxy is. The first report says nothing: it asks for what an earlier life had
// learnt.
func (l *Link) reports(ctx context.Context) {
	for !l.ask(ctx) && ctx.Err() == nil {
		sleep(ctx, retryPause)
	}
	for {
		select {
		case <-l.told:
			l.tell(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// ask asks for what an earlier life had learnt; false when the agent did not answer.
func (l *Link) ask(ctx context.Context) bool {
	l.mutex.Lock()
	report := feed.ProxyReport{Front: l.report.Front, Stopping: l.report.Stopping}
	l.mutex.Unlock()
	reply, err := reportCall.Invoke(ctx, l.client, &report)
	if err != nil {
		return false
	}
	if len(reply.Learnt) > 0 {
		l.options.Recall(reply.Learnt)
	}
	return true
}

// tell sends the report. What was learnt goes along until the agent has it.
func (l *Link) tell(ctx context.Context) {
	l.mutex.Lock()
	report := l.report
	report.Learnt = l.learnt
	l.learnt = nil
	l.mutex.Unlock()
	if _, err := reportCall.Invoke(ctx, l.client, &report); err != nil {
		l.log.Debug("agent took no report", zap.Error(err))
		l.keep(report.Learnt)
	}
}

// keep has what was learnt sent again, unless there is newer by now.
func (l *Link) keep(learnt []byte) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.learnt == nil {
		l.learnt = learnt
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
