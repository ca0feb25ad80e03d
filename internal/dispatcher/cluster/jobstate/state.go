package jobstate

import (
	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/shared/membership"
)

// Limits bound what a State holds. They must be the same at all replicas.
type Limits struct {
	TotalBytes        int // of all jobs and exclusions
	TenantBytes       int // of the jobs of one tenant
	JobBytes          int // of one job; a longer result is cut off
	ResultRetentionMS int64
}

// Exclusion is an operator's order to send nothing to a worker.
type Exclusion struct {
	Worker   string `cbor:"1,keyasint"`
	Proposer string `cbor:"2,keyasint"`
	TimeMS   int64  `cbor:"3,keyasint"`
}

// exclusionBytes is what an exclusion counts against Limits.TotalBytes.
const exclusionBytes = 96

// State is the replicated state. The package comment tells how to use it.
type State struct {
	Limits
	nowMS       int64 // the latest time of a command; never decreases
	jobs        map[uint64]*Job
	idsByKey    map[string]uint64 // by tenantKey
	exclusions  map[string]Exclusion
	endedIDs    []uint64 // in the order in which the jobs ended
	usedBytes   int
	tenantBytes map[string]int
	digest      uint64 // exclusive or of the hashes of all items, so that it doesn't depend on their order
}

// New returns an empty State.
func New(limits Limits) *State {
	return &State{
		Limits:      limits,
		jobs:        map[uint64]*Job{},
		idsByKey:    map[string]uint64{},
		exclusions:  map[string]Exclusion{},
		tenantBytes: map[string]int{},
	}
}

// Result is the outcome of a command.
type Result struct {
	Job *Job // the job concerned; must not be changed
	Err error
}

// Check reports whether Apply could read the command. It must be called before the command is proposed: a committed
// command that can't be read stops every replica.
func (s *State) Check(data []byte) error {
	_, err := Decode(data)
	return err
}

// Apply applies the command committed at an index of the log. Its error is a *DecodeError, after which the replica must
// stop, since other replicas may have read the command. Any other fault of a command is reported in Result.Err.
func (s *State) Apply(index uint64, data []byte) (Result, error) {
	command, err := Decode(data)
	if err != nil {
		return Result{}, err
	}
	s.advanceTime(command.TimeMS)
	switch command.Kind {
	case CommandSubmit:
		return s.submit(index, &command), nil
	case CommandSend, CommandEnd, CommandAbandon:
		return s.applyToJob(&command), nil
	case CommandExclude:
		s.exclude(Exclusion{command.Worker, command.Proposer, s.nowMS})
	case CommandInclude:
		s.include(command.Worker)
	}
	return Result{}, nil
}

// applyToJob applies a command that concerns an existing job.
func (s *State) applyToJob(command *Command) Result {
	job := s.jobs[command.ID]
	if job == nil {
		return Result{Err: &JobNotFoundError{command.ID}}
	}
	if job.State.Terminal() {
		return Result{job, &JobEndedError{command.ID, job.State}}
	}
	s.removeUsage(job)
	var err error
	switch command.Kind {
	case CommandSend:
		err = s.send(job, command)
	case CommandEnd:
		err = s.end(job, command)
	default:
		err = s.abandon(job, command)
	}
	s.addUsage(job)
	return Result{job, err}
}

// advanceTime moves the time forward, never back, and removes the jobs whose results have been retained for long enough.
func (s *State) advanceTime(timeMS int64) {
	s.nowMS = max(s.nowMS, timeMS)
	for len(s.endedIDs) > 0 {
		job := s.jobs[s.endedIDs[0]]
		if s.nowMS-job.EndedMS < s.ResultRetentionMS {
			return
		}
		s.endedIDs = s.endedIDs[1:]
		s.removeUsage(job)
		delete(s.jobs, job.ID)
		delete(s.idsByKey, tenantKey(job.Tenant, job.Key))
	}
}

// submit accepts a job, unless its key already names one.
func (s *State) submit(index uint64, command *Command) Result {
	fingerprint := hash([]any{
		command.Class,
		command.Function,
		command.Priority,
		command.Effect,
		command.DeduplicationWindowMS,
		command.Data,
	})
	if id, known := s.idsByKey[tenantKey(command.Tenant, command.Key)]; known && command.Key != "" {
		if job := s.jobs[id]; job.Fingerprint == fingerprint {
			return Result{Job: job}
		}
		return Result{Err: &KeyConflictError{command.Tenant, command.Key, id}}
	}
	job := &Job{
		ID:                    index,
		Tenant:                command.Tenant,
		Key:                   command.Key,
		Class:                 command.Class,
		Function:              command.Function,
		Priority:              command.Priority,
		Effect:                command.Effect,
		DeduplicationWindowMS: command.DeduplicationWindowMS,
		Data:                  command.Data,
		State:                 Waiting,
		SubmittedMS:           s.nowMS,
		Fingerprint:           fingerprint,
	}
	switch size := job.sizeBytes(); {
	case size > s.JobBytes:
		return Result{Err: &JobTooLargeError{size, s.JobBytes}}
	case s.usedBytes+size > s.TotalBytes:
		return Result{Err: &StateFullError{s.usedBytes, s.TotalBytes, "", s.retryAfterMS()}}
	case s.tenantBytes[command.Tenant]+size > s.TenantBytes:
		return Result{Err: &StateFullError{s.tenantBytes[command.Tenant], s.TenantBytes, command.Tenant, s.retryAfterMS()}}
	}
	s.jobs[index] = job
	if command.Key != "" {
		s.idsByKey[tenantKey(command.Tenant, command.Key)] = index
	}
	s.addUsage(job)
	return Result{Job: job}
}

// send gives the job to the proposer, unless another dispatcher has sent it since the proposer read its fencing token.
func (s *State) send(job *Job, command *Command) error {
	if command.FencingToken != job.FencingToken {
		return job.fencedError(command)
	}
	if err := job.CheckResend(command.WorkerGroup, s.nowMS); err != nil {
		return err
	}
	if job.FirstSentMS == 0 {
		job.FirstSentMS = max(s.nowMS, 1)
		job.WorkerGroup = command.WorkerGroup
	}
	job.FencingToken++
	job.State = Sent
	job.Owner = command.Proposer
	job.Worker = command.Worker
	return nil
}

// end ends a job that has run. The first end counts, under whichever fencing token the job was sent: it did run. NotRun
// counts only under the last token, since a later send may have run all the same.
func (s *State) end(job *Job, command *Command) error {
	switch {
	case command.FencingToken == 0 || command.FencingToken > job.FencingToken:
		return job.fencedError(command)
	case command.NotRun && command.FencingToken < job.FencingToken:
		return job.fencedError(command)
	case command.NotRun:
		job.requeue()
		if job.FencingToken == 1 { // the only send has not run
			job.FirstSentMS = 0
			job.WorkerGroup = ""
		}
		return nil
	}
	job.State = Done
	if command.Failed {
		job.State = Failed
	}
	s.finish(job, command.Data)
	return nil
}

// abandon releases a job whose owner is gone. It waits again if a repeat does no harm, and else ends as Unknown.
func (s *State) abandon(job *Job, command *Command) error {
	if command.FencingToken != job.FencingToken || job.State != Sent {
		return job.fencedError(command)
	}
	if job.CheckResend(job.WorkerGroup, s.nowMS) == nil {
		job.requeue()
		return nil
	}
	job.State = Unknown
	s.finish(job, nil)
	return nil
}

// finish replaces the data of a job that has ended by its result.
func (s *State) finish(job *Job, result []byte) {
	if limit := s.JobBytes - jobOverheadBytes; len(result) > limit {
		result = result[:limit]
	}
	job.Data = nil
	job.Result = result
	job.EndedMS = s.nowMS
	s.endedIDs = append(s.endedIDs, job.ID)
}

// exclude keeps the first order for a worker.
func (s *State) exclude(exclusion Exclusion) {
	if _, known := s.exclusions[exclusion.Worker]; known {
		return
	}
	s.exclusions[exclusion.Worker] = exclusion
	s.digest ^= hash(&exclusion)
	s.usedBytes += exclusionBytes
}

func (s *State) include(worker string) {
	if exclusion, excluded := s.exclusions[worker]; excluded {
		delete(s.exclusions, worker)
		s.digest ^= hash(&exclusion)
		s.usedBytes -= exclusionBytes
	}
}

// removeUsage takes a job out of the digest and the used bytes. It must be called before the job changes, and addUsage
// after.
func (s *State) removeUsage(job *Job) {
	s.digest ^= hash(job)
	s.usedBytes -= job.sizeBytes()
	s.tenantBytes[job.Tenant] -= job.sizeBytes()
	if s.tenantBytes[job.Tenant] == 0 {
		delete(s.tenantBytes, job.Tenant)
	}
}

func (s *State) addUsage(job *Job) {
	s.digest ^= hash(job)
	s.usedBytes += job.sizeBytes()
	s.tenantBytes[job.Tenant] += job.sizeBytes()
}

// defaultRetryMS is how long to wait for space while no job has ended.
const defaultRetryMS = 1000

// retryAfterMS is the time until the next result expires, which frees space.
func (s *State) retryAfterMS() int64 {
	if len(s.endedIDs) == 0 {
		return defaultRetryMS
	}
	return max(s.jobs[s.endedIDs[0]].EndedMS+s.ResultRetentionMS-s.nowMS, 1)
}

// tenantKey is the key of State.idsByKey.
func tenantKey(tenant, key string) string { return tenant + "\x00" + key }

// hash is of the item's deterministic encoding, the same at all replicas.
func hash(item any) uint64 {
	return xxhash.Sum64(membership.MarshalDeterministic(item))
}
