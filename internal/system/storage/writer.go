package storage

import "errors"

// reopenAfter is how many transactions in a row may fail before the file is opened anew.
const reopenAfter = 3

// run is the writer: it owns the file.
func (s *Store) run() {
	defer close(s.done)
	defer func() {
		if s.file != nil {
			s.file.close()
		}
	}()
	failures := 0
	for {
		select {
		case r := <-s.requests:
			failures = s.serve(s.gather(r), failures)
		case <-s.closing:
			for batch := s.gather(nil); len(batch) > 0; batch = s.gather(nil) {
				failures = s.serve(batch, failures)
			}
			return
		}
	}
}

// gather adds the requests that wait to the first one, if there is one.
func (s *Store) gather(first *request) []*request {
	var batch []*request
	if first != nil {
		batch = append(batch, first)
	}
	for {
		select {
		case r := <-s.requests:
			batch = append(batch, r)
		default:
			return batch
		}
	}
}

// serve carries a batch out, answers it and returns how many batches have now failed in a row.
func (s *Store) serve(batch []*request, failures int) int {
	err := s.typed(batch[0].name, s.commit(batch, failures))
	for _, r := range batch {
		r.done <- err
	}
	if err == nil {
		return 0
	}
	return failures + 1
}

// commit runs a batch as one transaction.
func (s *Store) commit(batch []*request, failures int) error {
	if failures >= reopenAfter || s.file == nil {
		if err := s.reopen(); err != nil {
			return err
		}
	}
	if err := s.file.run(begin); err != nil {
		return err
	}
	for _, r := range batch {
		if err := r.step(s.file); err != nil {
			return errors.Join(err, s.file.rollback())
		}
	}
	if err := s.file.run(commit); err != nil {
		return errors.Join(err, s.file.rollback())
	}
	return nil
}

// reopen closes the file and opens it again. The store's identity must be the same: another one's file, or an empty one
// in its place, means that the disk was changed under the process.
func (s *Store) reopen() error {
	if s.file != nil {
		s.file.close()
		s.file = nil
	}
	if err := s.prepare(); err != nil {
		return err
	}
	f, err := openFile(s.path)
	if err != nil {
		return err
	}
	replica, existed, err := f.identity()
	if err != nil {
		f.close()
		return err
	}
	if existed != s.existed || replica != s.replica {
		f.close()
		return &CorruptError{Path: s.path, Cause: errors.New("it is another replica's than when it was opened")}
	}
	s.file = f
	return nil
}
