package runnersync

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/replica"
)

// The duty's pace.
const (
	pollEvery    = 450 * time.Millisecond // while the list changes
	calmGrowth   = 1.5                    // of the time between two polls, with each list that is as the one before
	drainShare   = 6                      // polls come one part in so many of the time in which a drain must be heeded apart, at most
	lookEvery    = 200 * time.Millisecond // for the lease, while another machine has the duty
	leaseMargin  = 100 * time.Millisecond // that must be left of the lease when a call begins
	listTimeout  = 2 * time.Second
	writeTimeout = 1 * time.Second
	longestPause = 2 * time.Second // between two calls of a platform that refuses them
	rateShare    = 0.5             // of the platform's rate that the duty takes; agents that are cut off share the rest
	// takeOverAfter is for how long this machine must not have heard of a leader of partition 0 to keep the runners of the
	// partitions that it leads itself.
	takeOverAfter = 2 * time.Second
)

// Lister asks the platform for its list.
type Lister interface {
	List(ctx context.Context) ([]discovery.Runner, error) // all pages
	CallCount() uint64                                    // to the platform so far
}

// Partition is the local state of a runners' partition.
type Partition interface {
	Since(index uint64, maxBytes int) feed.Batch
	Changed() uint64 // what a command must have seen, see state.WriteRunners
}

// Options are a duty's.
type Options struct {
	Lister      Lister
	Replicas    replica.Replicas
	Partitions  []Partition   // the first one is partition 1
	DrainWithin time.Duration // in which a runner that drains must get nothing any more; 0: not told
	RatePerS    float64       // that the platform takes from the whole system; 0: not told
	Now         func() time.Duration
	Log         *zap.Logger
}

// Duty polls the list. Run is called once.
type Duty struct {
	options  Options
	views    []view
	behind   []bool         // partitions whose local replica must catch up before the next comparison
	missing  map[string]int // lists in a row that lacked a runner that is held, by key
	doubtful bool           // a single list does not prove that a runner is gone
	pages    int            // calls that the last list took, at least 1
	pause    time.Duration
	spacing  time.Duration     // between two polls, as the list's changes ask for it
	changing atomic.Bool       // the last list changed what is held, or could not be compared
	held     feed.PartitionSet // that this machine keeps
	failing  bool
	progress progress
}

// New returns a duty.
func New(options Options) *Duty {
	return &Duty{
		options: options,
		views:   make([]view, len(options.Partitions)),
		behind:  make([]bool, len(options.Partitions)),
		missing: map[string]int{},
		pages:   1,
		spacing: pollEvery,
	}
}

// Run does the duty whenever this machine has it, until the context ends.
func (d *Duty) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(d.Step(ctx))
	}
}

// ErrLostLease says that the lease does not reach for another call.
var ErrLostLease = errors.New("duty: the lease ended; another machine has the duty now")

// Held are the partitions of runners, of so many, that this machine keeps equal to the list: all of them while it surely
// leads partition 0. Once it has not heard of a leader there for a while, it keeps those that it surely leads itself: no
// partition waits for another one's leader. Two machines may then keep one for a moment, which the conditions of
// state.WriteRunners bear.
func Held(replicas replica.Replicas, runnerPartitions int) feed.PartitionSet {
	all := feed.FirstPartitions(1 + runnerPartitions).Without(feed.NewPartitionSet(feed.ConfigurationPartition))
	if surelyLeads(replicas, feed.ConfigurationPartition) {
		return all
	}
	var held feed.PartitionSet
	if replicas.Staleness(feed.ConfigurationPartition) < takeOverAfter {
		return held
	}
	for partition := range all.All() {
		if surelyLeads(replicas, partition) {
			held = held.With(partition)
		}
	}
	return held
}

func surelyLeads(replicas replica.Replicas, partition feed.Partition) bool {
	left, leads := replicas.LeaderLease(partition)
	return leads && left > leaseMargin
}

// Permit says whether a call to the platform may begin now: nil or ErrLostLease.
func Permit(replicas replica.Replicas, runnerPartitions int) error {
	if Held(replicas, runnerPartitions).IsEmpty() {
		return ErrLostLease
	}
	return nil
}

// holds are the partitions that this machine keeps now.
func (d *Duty) holds() feed.PartitionSet { return Held(d.options.Replicas, len(d.options.Partitions)) }

// Step polls once if this machine has the duty, and returns how long to wait until the next step.
func (d *Duty) Step(ctx context.Context) time.Duration {
	held := d.holds()
	if held.IsEmpty() {
		d.lapse()
		return lookEvery
	}
	d.begin(held)
	started := d.options.Now()
	list, err := d.list(ctx)
	if err != nil {
		return d.failed(ctx, err)
	}
	d.succeeded()
	d.write(ctx, list)
	return max(0, d.interval()-(d.options.Now()-started))
}

func (d *Duty) list(ctx context.Context) ([]discovery.Runner, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	before := d.options.Lister.CallCount()
	list, err := d.options.Lister.List(ctx)
	d.progress.calls.Store(d.options.Lister.CallCount())
	if err == nil {
		d.pages = max(1, int(d.options.Lister.CallCount()-before))
	}
	return list, err
}

// begin starts the duty anew where it keeps other partitions: what was seen while another machine did does not count.
func (d *Duty) begin(held feed.PartitionSet) {
	if held == d.held {
		return
	}
	if d.held.IsEmpty() {
		d.progress.begin()
	}
	d.held, d.spacing = held, pollEvery
	clear(d.missing)
	for i := range d.behind {
		d.behind[i] = true
	}
	d.options.Log.Info("discovery taken up", zap.Stringer("partitions", held))
}

func (d *Duty) lapse() {
	if d.held.IsEmpty() {
		return
	}
	d.held = 0
	d.progress.lapse()
	d.options.Log.Info("discovery given up")
}

func (d *Duty) succeeded() {
	d.pause = 0
	d.progress.succeeded(d.options.Now())
	if d.failing {
		d.failing = false
		d.options.Log.Info("list of runners is answered again")
	}
}

// failed logs the first of a series of failures, and returns a pause that grows with them.
func (d *Duty) failed(ctx context.Context, err error) time.Duration {
	if ctx.Err() != nil || errors.Is(err, ErrLostLease) {
		return lookEvery
	}
	if !d.failing {
		d.failing = true
		d.options.Log.Warn("list of runners is not answered, what is known is kept", zap.Error(err))
	}
	d.pause = min(longestPause, max(pollEvery, d.pause*2))
	return d.pause
}

// interval is the time between two polls: longer where the platform takes few calls, or the list has many pages, or where
// other machines may keep other partitions.
func (d *Duty) interval() time.Duration {
	if d.options.RatePerS <= 0 {
		return d.spacing
	}
	share := rateShare * float64(d.held.Len()) / float64(len(d.options.Partitions))
	least := time.Duration(float64(d.pages) / (d.options.RatePerS * share) * float64(time.Second))
	return max(d.spacing, least)
}

// space has the next poll come soon where the list changes, and later with each list that is as the one before: calls of
// the platform are priced, and changes come in groups.
func (d *Duty) space() {
	if d.changing.Load() || len(d.missing) > 0 {
		d.spacing = pollEvery
		return
	}
	most := max(pollEvery, d.options.DrainWithin/drainShare)
	d.spacing = min(time.Duration(calmGrowth*float64(d.spacing)), most)
}

// write brings the partitions that are kept to the list, each by itself: one without a leader does not hold up the others.
func (d *Duty) write(ctx context.Context, list []discovery.Runner) {
	listed := d.byPartition(list)
	for i := range d.views {
		d.follow(i)
	}
	d.noteMissing(listed)
	d.changing.Store(false)
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var running sync.WaitGroup
	for partition := range d.held.All() {
		i := int(partition) - 1
		running.Go(func() { d.writePartition(ctx, i, listed[i]) })
	}
	running.Wait()
	d.space()
}

// byPartition sorts the list's entries by partition and key.
func (d *Duty) byPartition(list []discovery.Runner) []map[string]*discovery.Runner {
	out := make([]map[string]*discovery.Runner, len(d.options.Partitions))
	for i := range out {
		out[i] = map[string]*discovery.Runner{}
	}
	for i := range list {
		partition := int(feed.PartitionOf(list[i].Service, len(out))) - 1
		out[partition][feed.KeyPrefixRunner+list[i].ID] = &list[i]
	}
	return out
}

// noteMissing counts for each runner that was held how many lists in a row lacked it.
func (d *Duty) noteMissing(listed []map[string]*discovery.Runner) {
	now := make(map[string]int)
	known := 0
	for partition := range d.held.All() {
		i := int(partition) - 1
		known += len(d.views[i].runners)
		for key := range d.views[i].runners {
			if listed[i][key] == nil {
				now[key] = d.missing[key] + 1
			}
		}
	}
	d.missing = now
	d.doubtful = d.pages > 1 || len(now) > known/2
}

// gone says whether a runner that is held and not listed is gone. A list of several pages may lack one that moved from
// one page to another between two calls, and one that lacks most runners may be the platform's own trouble: there it
// takes two lists in a row.
func (d *Duty) gone(key string) bool { return !d.doubtful || d.missing[key] >= 2 }

// writePartition proposes what differs; after a conflict it looks again, once.
func (d *Duty) writePartition(ctx context.Context, i int, listed map[string]*discovery.Runner) {
	for range 2 {
		if err := d.catchUp(ctx, i); err != nil {
			d.changing.Store(true)
			return
		}
		settled, err := d.propose(ctx, i, listed)
		if err != nil {
			d.behind[i] = true
			d.options.Log.Debug("change of runners was not agreed on", zap.Int("partition", i+1), zap.Error(err))
			return
		}
		if settled {
			return
		}
	}
}

// catchUp has the local replica hold what was agreed on before, where that is not sure.
func (d *Duty) catchUp(ctx context.Context, i int) error {
	if !d.behind[i] {
		return nil
	}
	if err := d.options.Replicas.Barrier(ctx, feed.Partition(i+1)); err != nil {
		return fmt.Errorf("duty: catch up with partition %d: %w", i+1, err)
	}
	d.behind[i] = false
	return nil
}

// follow brings the view of a partition to what the local replica holds.
func (d *Duty) follow(i int) {
	v := &d.views[i]
	v.follow(d.options.Partitions[i].Since(v.index, 0), d.options.Now())
}

// propose compares and proposes. It says whether the partition is settled with the list.
func (d *Duty) propose(ctx context.Context, i int, listed map[string]*discovery.Runner) (bool, error) {
	partition := d.options.Partitions[i]
	seen := partition.Changed()
	d.follow(i)
	writes := d.views[i].writes(listed, d.options.Now(), d.gone)
	if len(writes) == 0 {
		return true, nil
	}
	d.changing.Store(true)
	if !d.holds().Contains(feed.Partition(i + 1)) {
		return false, ErrLostLease
	}
	command := state.WriteRunners{Seen: seen, Writes: writes}
	answer, err := d.options.Replicas.Propose(ctx, feed.Partition(i+1), command.Encode())
	if err != nil {
		return false, fmt.Errorf("duty: propose to partition %d: %w", i+1, err)
	}
	result, err := state.DecodeResult(answer)
	if err != nil {
		return false, err
	}
	d.behind[i] = partition.Changed() < result.Number
	return result.Outcome == state.Accepted, nil
}
