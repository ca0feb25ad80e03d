package replica

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/storage"
)

const (
	diskStallTimeout = time.Second // a write that takes longer costs this host its leaderships
	minDiskBackoff   = 50 * time.Millisecond
	maxDiskBackoff   = 400 * time.Millisecond
	// Writes that may wait for a disk in trouble; beyond them the logs take no more entries.
	maxQueuedJobs  = 256
	maxQueuedBytes = 8 << 20
)

// diskWriter is the way of the machines' writes to the store. Jobs are carried out in their order, all that wait at once in
// one transaction.
type diskWriter struct {
	folder   string
	wake     chan struct{}
	stopped  chan struct{}
	stopOnce sync.Once
	// Of the disk goroutine.
	store   store // nil: there is no disk
	corrupt bool  // the store was found corrupt: no later write makes sense

	mutex        sync.Mutex
	queue        []writeJob
	queuedBytes  int           // of jobs that wait or are under way
	writeStarted time.Duration // when the write under way was first tried; 0: there is none
	lastError    error         // of the last try of the write under way, or of opening the store

	// Of the host's mutex.
	leadershipReleased bool // leaderships are given up
	nextStepDown       time.Duration
}

// writeJob is a Ready's writes, or a snapshot that stands for a log.
type writeJob struct {
	group     *group
	ready     consensus.Ready
	write     storage.Update
	snapshot  *consensus.Snapshot
	sizeBytes int
}

func newDiskWriter(folder string) *diskWriter {
	return &diskWriter{folder: folder, wake: make(chan struct{}, 1), stopped: make(chan struct{})}
}

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

func (d *diskWriter) release(bytes int) {
	d.mutex.Lock()
	d.queuedBytes -= bytes
	d.mutex.Unlock()
}

func (d *diskWriter) stop() { d.stopOnce.Do(func() { close(d.stopped) }) }

// overloaded tells whether so much waits for the disk that no more is to be added.
func (d *diskWriter) overloaded() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.queue) > maxQueuedJobs || d.queuedBytes > maxQueuedBytes
}

// fault is why leadership is to be given up, nil while the disk works.
func (d *diskWriter) fault(now time.Duration) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.lastError == nil && d.writeStarted > 0 && now-d.writeStarted > diskStallTimeout {
		return &DiskStalledError{Elapsed: now - d.writeStarted}
	}
	return d.lastError
}

func (d *diskWriter) recordAttempt(began time.Duration, failure error) {
	d.mutex.Lock()
	d.writeStarted, d.lastError = began, failure
	d.mutex.Unlock()
}

// checkHealth tells of the disk's trouble, and whether leadership is to be given up because of it now.
func (d *diskWriter) checkHealth(now, pause time.Duration) (fault error, stepDown bool) {
	fault = d.fault(now)
	if fault == nil {
		d.leadershipReleased = false
		return nil, false
	}
	if d.leadershipReleased && now < d.nextStepDown {
		return fault, false
	}
	d.leadershipReleased = true
	d.nextStepDown = now + pause
	return fault, true
}

// checkDisk gives leadership up while the disk is in trouble.
func (h *Host) checkDisk(now time.Duration) {
	wasDown := h.disk.leadershipReleased
	fault, stepDown := h.disk.checkHealth(now, 2*h.options.ElectionTimeout)
	if wasDown && fault == nil {
		h.log.Info("disk works again")
	}
	if !wasDown && fault != nil {
		h.log.Error("disk in trouble", zap.Error(fault))
	}
	if stepDown {
		h.releaseLeadership()
	}
}

// runDiskWriter owns the store: it opens it, starts the replicas and carries jobs out until the host stops.
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

// writeQueued writes the jobs that wait and lets the machines know.
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

// durableWrites are the writes of jobs, those left out that need not be on disk.
func durableWrites(jobs []writeJob) (writes []storage.Update) {
	for i := range jobs {
		if jobs[i].ready.MustSync || jobs[i].snapshot != nil {
			writes = append(writes, jobs[i].write)
		}
	}
	return writes
}

// writeWithRetry tries until the writes are on the disk; false: the host stops before.
func (h *Host) writeWithRetry(writes []storage.Update) bool {
	disk := h.disk
	if disk.store == nil {
		return true
	}
	began := max(h.now(), 1)
	disk.recordAttempt(began, nil)
	pause := minDiskBackoff
	for {
		err := disk.store.Write(writes...)
		if err == nil {
			disk.recordAttempt(0, nil)
			return true
		}
		disk.recordAttempt(began, err)
		var corrupt *storage.CorruptError
		if errors.As(err, &corrupt) {
			h.failFromDiskWriter(err)
			disk.corrupt = true
			return false
		}
		h.wakeLoop()
		if !h.waitDiskBackoff(&pause) {
			return false
		}
	}
}

// waitDiskBackoff waits before another try; false: the host stops.
func (h *Host) waitDiskBackoff(pause *time.Duration) bool {
	timer := time.NewTimer(*pause)
	defer timer.Stop()
	*pause = min(2**pause, maxDiskBackoff)
	select {
	case <-timer.C:
		return true
	case <-h.disk.stopped:
		return false
	}
}

func (h *Host) failFromDiskWriter(err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.reportFailure(err)
}

// handlePersisted tells the machines and sends what waited for the writes.
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
