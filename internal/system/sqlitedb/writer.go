package sqlitedb

import "sync"

const (
	// MaxQueuedRequests is the number of requests that may wait for a writer before their callers block.
	MaxQueuedRequests = 64
	// FailuresBeforeReopen is the number of transactions in a row that may fail before the file is reopened.
	FailuresBeforeReopen = 3
)

// Writer is the goroutine that owns a database. Requests that wait at the same time share a transaction and its sync. Its
// methods may be called concurrently.
type Writer struct {
	path      string
	database  *Database // owned by the goroutine; nil: a reopening failed
	reopen    func() (*Database, error)
	requests  chan *request
	closing   chan struct{} // closed by Close
	closeOnce sync.Once
	done      chan struct{} // closed once the goroutine has ended
}

// StartWriter starts the writer of an open database, which it closes when it ends. Its goroutine calls reopen to open the
// file at path again after failures; that has to check that the file is still that of the same store.
func StartWriter(path string, database *Database, reopen func() (*Database, error)) *Writer {
	w := &Writer{
		path:     path,
		database: database,
		reopen:   reopen,
		requests: make(chan *request, MaxQueuedRequests),
		closing:  make(chan struct{}),
		done:     make(chan struct{}),
	}
	go w.run()
	return w
}

// Close carries out what is queued and closes the database. Later requests get ErrClosed.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.closing) })
	<-w.done
}

// request is a step of a transaction.
type request struct {
	operation string // for errors
	step      func(*Database) error
	result    chan error // receives one value once the transaction is synced or has failed
}

// Submit runs a step in a transaction and returns once that has ended. When it returns nil the transaction is synced; after
// an error nothing of it is applied, and the step may be submitted again.
func (w *Writer) Submit(operation string, step func(*Database) error) error {
	queued := &request{operation: operation, step: step, result: make(chan error, 1)}
	select {
	case w.requests <- queued:
	case <-w.closing:
		return ErrClosed
	}
	select {
	case err := <-queued.result:
		return err
	case <-w.done:
	}
	select {
	case err := <-queued.result:
		return err
	default:
		return ErrClosed
	}
}

// run is the goroutine. It ends after Close once the queue is empty.
func (w *Writer) run() {
	defer close(w.done)
	defer func() {
		if w.database != nil {
			w.database.Close()
		}
	}()
	failures := 0
	for {
		select {
		case queued := <-w.requests:
			failures = w.processBatch(w.collectBatch(queued), failures)
		case <-w.closing:
			for batch := w.collectBatch(nil); len(batch) > 0; batch = w.collectBatch(nil) {
				failures = w.processBatch(batch, failures)
			}
			return
		}
	}
}

// collectBatch adds all queued requests to the first one, if any.
func (w *Writer) collectBatch(first *request) []*request {
	var batch []*request
	if first != nil {
		batch = append(batch, first)
	}
	for {
		select {
		case queued := <-w.requests:
			batch = append(batch, queued)
		default:
			return batch
		}
	}
}

// processBatch commits a batch, answers its requests and returns how many batches in a row have now failed.
func (w *Writer) processBatch(batch []*request, failures int) int {
	err := WrapError(w.path, batch[0].operation, w.commitBatch(batch, failures))
	for _, queued := range batch {
		queued.result <- err
	}
	if err == nil {
		return 0
	}
	return failures + 1
}

// commitBatch runs a batch as one transaction.
func (w *Writer) commitBatch(batch []*request, failures int) error {
	if failures >= FailuresBeforeReopen || w.database == nil {
		if err := w.openAgain(); err != nil {
			return err
		}
	}
	steps := make([]func(*Database) error, 0, len(batch))
	for _, queued := range batch {
		steps = append(steps, queued.step)
	}
	return w.database.transact(steps...)
}

// openAgain closes the file and opens it again.
func (w *Writer) openAgain() (err error) {
	if w.database != nil {
		w.database.Close()
	}
	w.database, err = w.reopen()
	return err
}
