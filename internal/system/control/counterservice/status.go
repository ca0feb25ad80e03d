package counterservice

import (
	"time"

	"cinderroad/internal/system/counter"
)

// Status describes a Service, for operators.
type Status struct {
	// IsRunning reports whether there is a replica: its disk was read, and it is known whether there are other machines.
	IsRunning bool
	// Replica is the state of the replica; the zero value if it is not running.
	Replica counter.Status
	// Now is the time on the clock of Replica.
	Now time.Duration
	// MaxEntries bounds the entries that the disk keeps.
	MaxEntries int
	// DiskFault is why additions are rejected: the error of the last operation of the disk; nil if it succeeded.
	DiskFault error
}

// Status returns the present state.
func (s *Service) Status() Status {
	replica, running := s.status()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Status{
		IsRunning:  running,
		Replica:    replica,
		Now:        s.now(),
		MaxEntries: maxOperations(s.options.Settings.Limits.StorageMB),
		DiskFault:  s.disk.fault,
	}
}
