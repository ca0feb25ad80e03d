package jobstate

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Job returns the job with the ID, or nil.
func (s *State) Job(id uint64) *Job { return s.jobs[id] }

// FindByKey returns the job that the tenant has submitted under the key, or nil.
func (s *State) FindByKey(tenant, key string) *Job { return s.jobs[s.idsByKey[tenantKey(tenant, key)]] }

// Excluded reports whether an operator has excluded the worker.
func (s *State) Excluded(worker string) bool {
	_, excluded := s.exclusions[worker]
	return excluded
}

// Waiting returns the jobs to be sent, in the order in which to send them: by priority, then by age.
func (s *State) Waiting() (jobs []*Job) {
	for _, job := range s.jobs {
		if job.State == Waiting {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(a, b *Job) int { return cmp.Or(-cmp.Compare(a.Priority, b.Priority), compareIDs(a, b)) })
	return jobs
}

// SentBy returns the jobs that the owner has sent and that have not ended, sorted by ID.
func (s *State) SentBy(owner string) (jobs []*Job) {
	for _, job := range s.jobs {
		if job.State == Sent && job.Owner == owner {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, compareIDs)
	return jobs
}

func compareIDs(a, b *Job) int { return cmp.Compare(a.ID, b.ID) }

// Usage returns the number of jobs, and the bytes that count against Limits.TotalBytes.
func (s *State) Usage() (jobs, bytes int) { return len(s.jobs), s.usedBytes }

// NowMS returns the time of the log: the latest that a command has brought.
func (s *State) NowMS() int64 { return s.nowMS }

// Digest returns a hash that is equal for equal states.
func (s *State) Digest() uint64 {
	return s.digest ^ xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, uint64(s.nowMS)))
}
