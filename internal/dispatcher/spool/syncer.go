package spool

import "sync/atomic"

// syncQueueLength is the number of writes that may wait for their sync; the writing goroutine waits beyond it.
const syncQueueLength = 256

// syncedFile is a file as the syncer sees it.
type syncedFile interface {
	Sync() error
	Close() error
}

// syncRequest asks for what was written to a file to be synced, or for the file to be closed.
type syncRequest struct {
	file          syncedFile
	close         bool
	isNeededLater bool   // later records of the file are read by what was written
	done          func() // called once it is synced or given up; may be nil
}

// syncer syncs files on a goroutine of its own, so that a sync that stalls does not keep later writes from the kernel. One
// sync serves all writes to a file that wait for it.
type syncer struct {
	queue       chan syncRequest
	done        chan struct{}
	recordError func(error)
	lost        atomic.Pointer[syncedFile] // the last file that lacks what its later records need
}

// startSyncer returns a syncer that runs until stop. recordError is called on its goroutine.
func startSyncer(recordError func(error)) *syncer {
	s := &syncer{queue: make(chan syncRequest, syncQueueLength), done: make(chan struct{}), recordError: recordError}
	go s.run()
	return s
}

// stop waits until all requests are carried out. None may follow.
func (s *syncer) stop() {
	close(s.queue)
	<-s.done
}

// lostNeeded reports whether a failed sync has lost what later records of the file are read by.
func (s *syncer) lostNeeded(file syncedFile) bool {
	lost := s.lost.Load()
	return lost != nil && file != nil && *lost == file
}

func (s *syncer) run() {
	defer close(s.done)
	for request := range s.queue {
		if request.close {
			request.file.Close()
			continue
		}
		batch, next := s.collect(request)
		s.sync(batch)
		if next != nil {
			next.file.Close()
		}
	}
}

// collect returns the waiting requests for the first one's file. next is the request to close it, if that was reached.
func (s *syncer) collect(first syncRequest) (batch []syncRequest, next *syncRequest) {
	batch = append(batch, first)
	for {
		select {
		case request, ok := <-s.queue:
			if !ok {
				return batch, nil
			}
			if request.close { // always of this file: the writer closes one before it opens the next
				return batch, &request
			}
			batch = append(batch, request)
		default:
			return batch, nil
		}
	}
}

// sync syncs the file of a batch once.
func (s *syncer) sync(batch []syncRequest) {
	file := batch[0].file
	if err := file.Sync(); err != nil {
		for _, request := range batch {
			s.recordError(err)
			if request.isNeededLater {
				s.lost.Store(&file)
			}
		}
	}
	for _, request := range batch {
		if request.done != nil {
			request.done()
		}
	}
}
