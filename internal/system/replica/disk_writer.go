package replica

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/storage"
)

// Timing and limits of the disk writer.
const (
	diskStallTimeout = time.Second // a longer write makes this host release leadership
	minDiskBackoff   = 50 * time.Millisecond
	maxDiskBackoff   = 400 * time.Millisecond
	// Above either of these the host accepts no proposals and no entries.
	maxQueuedJobs  = 256
	maxQueuedBytes = 8 << 20
)

// diskWriter is the queue between the consensus nodes and the store. Host.runDiskWriter, the only user of the store,
// writes all queued jobs in order in one transaction.
type diskWriter struct {
	folder   string // the state folder; empty: no disk
	wake     chan struct{}
	stopped  chan struct{}
	stopOnce sync.Once
	// Owned by the goroutine of Host.runDiskWriter.
	store   store // nil: not open, or no disk
	corrupt bool  // the store was found corrupt: nothing is written any more

	mutex        sync.Mutex
	queue        []writeJob
	queuedBytes  int           // of queued jobs and those being written
	writeStarted time.Duration // first attempt of the current write, see writeStartTime; 0: none
	lastError    error         // of the last attempt of the current write, or of opening the store

	// Guarded by the host's mutex.
	leadershipReleased bool          // the disk is faulty: this host must not lead
	nextStepDown       time.Duration // when to step down again
}

// writeJob is the write of a Ready, or of a snapshot that replaces a part of the log.
type writeJob struct {
	group     *group
	ready     consensus.Ready
	write     storage.Update
	snapshot  *consensus.Snapshot // not nil: the log is compacted, and ready is empty
	sizeBytes int                 // of the data, for the limits of the queue
}

// newDiskWriter returns the writer of a state folder; an empty path means that there is no disk.
func newDiskWriter(folder string) *diskWriter {
	return &diskWriter{folder: folder, wake: make(chan struct{}, 1), stopped: make(chan struct{})}
}

// enqueue appends a job. It never blocks; see overloaded.
func (d *diskWriter) enqueue(j writeJob) {
	d.mutex.Lock()
	d.queue = append(d.queue, j)
	d.queuedBytes += j.sizeBytes
	d.mutex.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// release subtracts completed jobs from queuedBytes.
func (d *diskWriter) release(bytes int) {
	d.mutex.Lock()
	d.queuedBytes -= bytes
	d.mutex.Unlock()
}

// stop makes the writer write what is queued and end.
func (d *diskWriter) stop() { d.stopOnce.Do(func() { close(d.stopped) }) }

// overloaded reports whether the queue is so long that no entries or proposals should be accepted.
func (d *diskWriter) overloaded() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.queue) > maxQueuedJobs || d.queuedBytes > maxQueuedBytes
}

// fault returns the reason why leadership must be released, nil while the disk works.
func (d *diskWriter) fault(now time.Duration) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.lastError == nil && d.writeStarted > 0 && now-d.writeStarted > diskStallTimeout {
		return &DiskStalledError{Elapsed: now - d.writeStarted}
	}
	return d.lastError
}

// recordAttempt records when the current write was started, 0 if it succeeded, and its last error.
func (d *diskWriter) recordAttempt(startedAt time.Duration, err error) {
	d.mutex.Lock()
	d.writeStarted = startedAt
	d.lastError = err
	d.mutex.Unlock()
}

// checkHealth returns the disk's fault, nil if there is none, and whether to step down now. Stepping down is repeated every
// interval while the fault lasts. The host's mutex is held.
func (d *diskWriter) checkHealth(now, interval time.Duration) (fault error, stepDown bool) {
	fault = d.fault(now)
	if fault == nil {
		d.leadershipReleased = false
		return nil, false
	}
	if d.leadershipReleased && now < d.nextStepDown {
		return fault, false
	}
	d.leadershipReleased = true
	d.nextStepDown = now + interval
	return fault, true
}

// checkDisk releases leadership while the disk is faulty. The host's mutex is held.
func (h *Host) checkDisk(now time.Duration) {
	wasDown := h.disk.leadershipReleased
	fault, stepDown := h.disk.checkHealth(now, 2*h.options.ElectionTimeout)
	if wasDown && fault == nil {
		h.log.Info("disk recovered")
	}
	if !wasDown && fault != nil {
		h.log.Error("disk failure", zap.Error(fault))
	}
	if stepDown {
		h.releaseLeadership()
	}
}

// runDiskWriter owns the store: it opens it, starts the groups and writes jobs until the host stops.
func (h *Host) runDiskWriter() {
	disk := h.disk
	defer func() {
		if disk.store != nil {
			disk.store.Close()
		}
	}()
	if !h.openWithRetry() {
		return
	}
	for {
		select {
		case <-disk.wake:
			h.writeQueued()
		case <-disk.stopped:
			h.writeQueued()
			return
		}
	}
}

// writeQueued writes the queued jobs and notifies their groups.
func (h *Host) writeQueued() {
	disk := h.disk
	disk.mutex.Lock()
	jobs := disk.queue
	disk.queue = nil
	disk.mutex.Unlock()
	if len(jobs) == 0 || disk.corrupt {
		return
	}
	writes := durableWrites(jobs)
	if len(writes) > 0 && !h.writeWithRetry(writes) {
		return
	}
	h.handlePersisted(jobs)
}

// durableWrites returns the writes of the jobs that must be durable.
func durableWrites(jobs []writeJob) (writes []storage.Update) {
	for i := range jobs {
		if jobs[i].ready.MustSync || jobs[i].snapshot != nil {
			writes = append(writes, jobs[i].write)
		}
	}
	return writes
}

// writeWithRetry retries until the writes are durable; false if the host stops first or the store is corrupt.
func (h *Host) writeWithRetry(writes []storage.Update) bool {
	disk := h.disk
	if disk.store == nil {
		return true
	}
	startedAt := h.writeStartTime()
	disk.recordAttempt(startedAt, nil)
	backoff := minDiskBackoff
	for {
		err := disk.store.Write(writes...)
		if err == nil {
			disk.recordAttempt(0, nil)
			return true
		}
		disk.recordAttempt(startedAt, err)
		var corrupt *storage.CorruptError
		if errors.As(err, &corrupt) {
			h.failFromDiskWriter(err)
			disk.corrupt = true
			return false
		}
		h.wakeLoop()
		if !h.waitDiskBackoff(&backoff) {
			return false
		}
	}
}

// writeStartTime returns the present time on the host's clock as a value for diskWriter.writeStarted: never 0, which
// means there that no write is in progress.
func (h *Host) writeStartTime() time.Duration { return max(h.now(), 1) }

// waitDiskBackoff waits and doubles the backoff up to maxDiskBackoff; false if the host stops first.
func (h *Host) waitDiskBackoff(backoff *time.Duration) bool {
	timer := time.NewTimer(*backoff)
	defer timer.Stop()
	*backoff = min(2**backoff, maxDiskBackoff)
	select {
	case <-timer.C:
		return true
	case <-h.disk.stopped:
		return false
	}
}

// failFromDiskWriter is reportFailure for the disk writer, which does not hold the host's mutex.
func (h *Host) failFromDiskWriter(err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.reportFailure(err)
}

// handlePersisted notifies the groups that their jobs are durable.
func (h *Host) handlePersisted(jobs []writeJob) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	freed := 0
	for i := range jobs {
		j := &jobs[i]
		freed += j.sizeBytes
		j.group.handlePersisted(j, h)
	}
	h.disk.release(freed)
	h.processReady()
}
