package storage

import "errors"

// failuresBeforeReopen is the number of transactions in a row that may fail before the file is reopened.
const failuresBeforeReopen = 3

// runWriter is the writer goroutine, which owns the database. It ends after Close once the queue is empty.
func (s *Store) runWriter() {
	defer close(s.writerDone)
	defer func() {
		if s.database != nil {
			s.database.close()
		}
	}()
	failures := 0
	for {
		select {
		case queued := <-s.requests:
			failures = s.processBatch(s.collectBatch(queued), failures)
		case <-s.closing:
			for batch := s.collectBatch(nil); len(batch) > 0; batch = s.collectBatch(nil) {
				failures = s.processBatch(batch, failures)
			}
			return
		}
	}
}

// collectBatch adds all queued requests to the first one, if any.
func (s *Store) collectBatch(first *request) []*request {
	var batch []*request
	if first != nil {
		batch = append(batch, first)
	}
	for {
		select {
		case queued := <-s.requests:
			batch = append(batch, queued)
		default:
			return batch
		}
	}
}

// processBatch commits a batch, answers its requests and returns how many batches in a row have now failed.
func (s *Store) processBatch(batch []*request, failures int) int {
	err := s.wrapError(batch[0].operation, s.commitBatch(batch, failures))
	for _, queued := range batch {
		queued.result <- err
	}
	if err == nil {
		return 0
	}
	return failures + 1
}

// commitBatch runs a batch as one transaction.
func (s *Store) commitBatch(batch []*request, failures int) error {
	if failures >= failuresBeforeReopen || s.database == nil {
		if err := s.reopen(); err != nil {
			return err
		}
	}
	if err := s.database.exec(beginTransaction); err != nil {
		return err
	}
	for _, queued := range batch {
		if err := queued.step(s.database); err != nil {
			return errors.Join(err, s.database.rollback())
		}
	}
	if err := s.database.exec(commitTransaction); err != nil {
		return errors.Join(err, s.database.rollback())
	}
	return nil
}

// reopen closes the file and opens it again. It must still have the identity of this store: otherwise the disk was
// replaced under the running process.
func (s *Store) reopen() error {
	if s.database != nil {
		s.database.close()
		s.database = nil
	}
	if err := s.prepare(); err != nil {
		return err
	}
	db, err := openDatabase(s.path)
	if err != nil {
		return err
	}
	replica, initialized, err := db.readIdentity()
	if err != nil {
		db.close()
		return err
	}
	if initialized != s.initialized || replica != s.replica {
		db.close()
		return &CorruptError{Path: s.path, Cause: errors.New("it belongs to another replica than when it was opened")}
	}
	s.database = db
	return nil
}

// maxQueuedRequests is the number of requests that may wait for the writer before their callers block.
const maxQueuedRequests = 64

// request is a step of a transaction.
type request struct {
	operation string // for errors
	step      func(*database) error
	result    chan error // receives one value once the transaction is synced or has failed
}

// submit has the writer run a step and returns once its transaction has ended.
func (s *Store) submit(operation string, step func(*database) error) error {
	queued := &request{operation: operation, step: step, result: make(chan error, 1)}
	select {
	case s.requests <- queued:
	case <-s.closing:
		return ErrClosed
	}
	select {
	case err := <-queued.result:
		return err
	case <-s.writerDone:
	}
	select {
	case err := <-queued.result:
		return err
	default:
		return ErrClosed
	}
}
