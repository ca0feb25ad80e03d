package replica

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/storage"
)

const (
	stalledAfter   = time.Second // a write that takes longer costs this host its leaderships
	leastDiskPause = 50 * time.Millisecond
	mostDiskPause  = 400 * time.Millisecond
	// Writes that may wait for a disk in trouble; beyond them the logs take no more entries.
	mostWaitingJobs  = 256
	mostWaitingBytes = 8 << 20
)

// disk is the way of the machines' writes to the store. Jobs are carried out in their order, all that wait at once in
// one transaction.
type disk struct {
	folder string
	wake   chan struct{}
	ended  chan struct{}
	once   sync.Once
	// Of the disk goroutine.
	store store // nil: there is no disk
	lost  bool  // the store was found corrupt: no later write makes sense

	mutex   sync.Mutex
	jobs    []job
	bytes   int           // of jobs that wait or are under way
	began   time.Duration // when the write under way was first tried; 0: there is none
	failure error         // of the last try of the write under way, or of opening the store

	// Of the host's mutex.
	down     bool // leaderships are given up
	nextStep time.Duration
}

// job is a Ready's writes, or a snapshot that stands for a log.
type job struct {
	group    *group
	ready    consensus.Ready
	write    storage.Update
	snapshot *consensus.Snapshot
	bytes    int
}

// store is what the disk goroutine needs of a storage.Store.
type store interface {
	Identity() (consensus.ReplicaID, bool)
	HasPredecessor() bool
	Initialize(replica consensus.ReplicaID, writes ...storage.Update) error
	Load(partition feed.Partition) (consensus.PersistentState, bool, error)
	Write(writes ...storage.Update) error
	Discard() error
	Close() error
}

// openStorage opens a state folder. A *storage.CorruptError comes with an empty store.
func openStorage(folder string) (store, error) {
	s, err := storage.Open(folder)
	if s == nil {
		return nil, err
	}
	return s, err
}

func newDisk(folder string) *disk {
	return &disk{folder: folder, wake: make(chan struct{}, 1), ended: make(chan struct{})}
}

func (d *disk) add(j job) {
	d.mutex.Lock()
	d.jobs = append(d.jobs, j)
	d.bytes += j.bytes
	d.mutex.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *disk) free(bytes int) {
	d.mutex.Lock()
	d.bytes -= bytes
	d.mutex.Unlock()
}

func (d *disk) stop() { d.once.Do(func() { close(d.ended) }) }

// congested tells whether so much waits for the disk that no more is to be added.
func (d *disk) congested() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.jobs) > mostWaitingJobs || d.bytes > mostWaitingBytes
}

// trouble is why leadership is to be given up, nil while the disk works.
func (d *disk) trouble(now time.Duration) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.failure == nil && d.began > 0 && now-d.began > stalledAfter {
		return &DiskStalledError{Elapsed: now - d.began}
	}
	return d.failure
}

// DiskStalledError says that the disk has not finished a write for a while.
type DiskStalledError struct{ Elapsed time.Duration }

// Error says what happened and what to do.
func (e *DiskStalledError) Error() string {
	return "replica: the disk has not finished a write for " + e.Elapsed.Round(time.Millisecond).String() +
		"; leadership is given up until it does; check the disk of the state folder"
}

func (d *disk) note(began time.Duration, failure error) {
	d.mutex.Lock()
	d.began, d.failure = began, failure
	d.mutex.Unlock()
}

// watch tells of the disk's trouble, and whether leadership is to be given up because of it now.
func (d *disk) watch(now, pause time.Duration) (trouble error, stepDown bool) {
	trouble = d.trouble(now)
	if trouble == nil {
		d.down = false
		return nil, false
	}
	if d.down && now < d.nextStep {
		return trouble, false
	}
	d.down = true
	d.nextStep = now + pause
	return trouble, true
}

// watchDisk gives leadership up while the disk is in trouble.
func (h *Host) watchDisk(now time.Duration) {
	wasDown := h.disk.down
	trouble, stepDown := h.disk.watch(now, 2*h.options.ElectionTimeout)
	if wasDown && trouble == nil {
		h.log.Info("disk works again")
	}
	if !wasDown && trouble != nil {
		h.log.Error("disk in trouble", zap.Error(trouble))
	}
	if stepDown {
		h.stepDown()
	}
}

// runDisk owns the store: it opens it, starts the replicas and carries jobs out until the host stops.
func (h *Host) runDisk() {
	d := h.disk
	defer func() {
		if d.store != nil {
			d.store.Close()
		}
	}()
	if !h.openDisk() {
		return
	}
	for {
		select {
		case <-d.wake:
			h.carryOut()
		case <-d.ended:
			h.carryOut()
			return
		}
	}
}

// carryOut writes the jobs that wait and lets the machines know.
func (h *Host) carryOut() {
	d := h.disk
	d.mutex.Lock()
	jobs := d.jobs
	d.jobs = nil
	d.mutex.Unlock()
	if len(jobs) == 0 || d.lost {
		return
	}
	writes := writesOf(jobs)
	if len(writes) > 0 && !h.persist(writes) {
		return
	}
	h.persisted(jobs)
}

// writesOf are the writes of jobs, those left out that need not be on disk.
func writesOf(jobs []job) (writes []storage.Update) {
	for i := range jobs {
		if jobs[i].ready.MustSync || jobs[i].snapshot != nil {
			writes = append(writes, jobs[i].write)
		}
	}
	return writes
}

// persist tries until the writes are on the disk; false: the host stops before.
func (h *Host) persist(writes []storage.Update) bool {
	d := h.disk
	if d.store == nil {
		return true
	}
	began := max(h.now(), 1)
	d.note(began, nil)
	pause := leastDiskPause
	for {
		err := d.store.Write(writes...)
		if err == nil {
			d.note(0, nil)
			return true
		}
		d.note(began, err)
		var corrupt *storage.CorruptError
		if errors.As(err, &corrupt) {
			h.failDisk(err)
			d.lost = true
			return false
		}
		h.wakeUp()
		if !h.pauseDisk(&pause) {
			return false
		}
	}
}

// pauseDisk waits before another try; false: the host stops.
func (h *Host) pauseDisk(pause *time.Duration) bool {
	timer := time.NewTimer(*pause)
	defer timer.Stop()
	*pause = min(2**pause, mostDiskPause)
	select {
	case <-timer.C:
		return true
	case <-h.disk.ended:
		return false
	}
}

func (h *Host) wakeUp() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *Host) failDisk(err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.fail(err)
}

// persisted tells the machines and sends what waited for the writes.
func (h *Host) persisted(jobs []job) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	freed := 0
	for i := range jobs {
		j := &jobs[i]
		freed += j.bytes
		j.group.carriedOut(j, h)
	}
	h.disk.free(freed)
	h.settle()
}

// openDisk opens the store and starts the replicas, as soon as the disk lets it; false: the host stops before.
func (h *Host) openDisk() bool {
	pause := leastDiskPause
	for {
		began := max(h.now(), 1)
		h.disk.note(began, nil)
		id, stored, err := h.load()
		if err == nil {
			h.disk.note(0, nil)
			return h.begin(id, stored)
		}
		h.disk.note(began, err)
		var schema *storage.SchemaError
		if errors.As(err, &schema) {
			h.failDisk(err)
			return false
		}
		h.log.Error("state folder not opened", zap.Error(err))
		if !h.pauseDisk(&pause) {
			return false
		}
	}
}
