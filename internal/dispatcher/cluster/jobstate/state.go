package jobstate

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/shared/membership"
)

// JobState is how far a job is.
type JobState uint8

// The states of a job. The last three are ends; a job has one.
const (
	Waiting JobState = iota + 1
	Sent
	Done
	Failed
	Unknown // it may have run, and its class forbids to find out by running it again
)

var jobStateNames = map[JobState]string{Waiting: "waiting", Sent: "sent", Done: "done", Failed: "failed", Unknown: "unknown"}

func (s JobState) String() string { return jobStateNames[s] }

// Terminal says whether the job has its end.
func (s JobState) Terminal() bool { return s >= Done }

// Job is a promised job.
type Job struct {
	ID                    uint64   `cbor:"1,keyasint"` // the number of its place in the log
	Tenant                string   `cbor:"2,keyasint"`
	Key                   string   `cbor:"3,keyasint"`
	Class                 string   `cbor:"4,keyasint"`
	Function              string   `cbor:"5,keyasint"`
	Priority              int8     `cbor:"6,keyasint"`
	Effect                Effect   `cbor:"7,keyasint"`
	DeduplicationWindowMS int64    `cbor:"8,keyasint"`
	Data                  []byte   `cbor:"9,keyasint"` // nil once it has ended
	State                 JobState `cbor:"10,keyasint"`
	FencingToken          uint64   `cbor:"11,keyasint"` // counts the agreed sends
	Owner                 string   `cbor:"12,keyasint"` // who sent it last
	Worker                string   `cbor:"13,keyasint"`
	WorkerGroup           string   `cbor:"14,keyasint"` // of the first send that may have run
	FirstSentMS           int64    `cbor:"15,keyasint"` // and its time; 0: none
	EndedMS               int64    `cbor:"16,keyasint"`
	Result                []byte   `cbor:"17,keyasint"`
	SubmittedMS           int64    `cbor:"18,keyasint"`
	Fingerprint           uint64   `cbor:"19,keyasint"` // of what was asked for under the key
}

func (j *Job) sizeBytes() int {
	return jobOverheadBytes + len(j.Tenant) + len(j.Key) + len(j.Class) + len(j.Function) + len(j.Data) + len(j.Result) + len(j.Owner) + len(j.Worker) + len(j.WorkerGroup)
}

// Exclusion is an order by hand that takes a worker out.
type Exclusion struct {
	Worker   string `cbor:"1,keyasint"`
	Proposer string `cbor:"2,keyasint"`
	TimeMS   int64  `cbor:"3,keyasint"`
}

const (
	jobOverheadBytes = 256 // of a job beside its texts, about
	exclusionBytes   = 96
)

// Limits are what the state holds at most.
type Limits struct {
	TotalBytes        int // of all that is held
	TenantBytes       int // of one tenant
	JobBytes          int // of one job
	ResultRetentionMS int64
}

// State is what is held. Two that were given the same commands are the same, bit for bit.
type State struct {
	Limits
	nowMS       int64 // the latest time that a command brought, ms
	jobs        map[uint64]*Job
	idsByKey    map[string]uint64 // tenant, a zero byte, key
	exclusions  map[string]Exclusion
	endedIDs    []uint64 // in the order of their ends
	usedBytes   int
	tenantBytes map[string]int
	digest      uint64 // of all items, whatever their order
}

// New is a state that holds nothing.
func New(limits Limits) *State {
	return &State{Limits: limits, jobs: map[uint64]*Job{}, idsByKey: map[string]uint64{}, exclusions: map[string]Exclusion{}, tenantBytes: map[string]int{}}
}

// Result is what a command came to.
type Result struct {
	Job *Job // not to be changed
	Err error
}

// Check tells whether Apply could take a command at all.
func (s *State) Check(data []byte) error {
	_, err := Decode(data)
	return err
}

// Apply takes the command that was agreed at a place of the log. A command that cannot be read is an error of its own: the copy cannot go
// on, since the others may have read it. All else that is wrong with one is its result.
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
		job := s.jobs[command.ID]
		if job == nil {
			return Result{Err: &JobNotFoundError{command.ID}}, nil
		}
		if job.State.Terminal() {
			return Result{job, &JobEndedError{command.ID, job.State}}, nil
		}
		s.removeUsage(job)
		var err error
		switch command.Kind {
		case CommandSend:
			err = s.send(job, &command)
		case CommandEnd:
			err = s.end(job, &command)
		default:
			err = s.abandon(job, &command)
		}
		s.addUsage(job)
		return Result{job, err}, nil
	case CommandExclude:
		s.exclude(Exclusion{command.Worker, command.Proposer, s.nowMS})
	case CommandInclude:
		if exclusion, excluded := s.exclusions[command.Worker]; excluded {
			delete(s.exclusions, command.Worker)
			s.digest ^= hash(&exclusion)
			s.usedBytes -= exclusionBytes
		}
	}
	return Result{}, nil
}

// advanceTime moves the time on: never back, whoever's clock is behind. Results that have been kept for their time are forgotten.
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
		delete(s.idsByKey, job.Tenant+"\x00"+job.Key)
	}
}

// removeUsage takes a job out of the sums while it changes; lay puts it back.
func (s *State) removeUsage(job *Job) {
	s.digest ^= hash(job)
	s.usedBytes -= job.sizeBytes()
	if s.tenantBytes[job.Tenant] -= job.sizeBytes(); s.tenantBytes[job.Tenant] == 0 {
		delete(s.tenantBytes, job.Tenant)
	}
}

func (s *State) addUsage(job *Job) {
	s.digest ^= hash(job)
	s.usedBytes += job.sizeBytes()
	s.tenantBytes[job.Tenant] += job.sizeBytes()
}

func hash(item any) uint64 {
	return xxhash.Sum64(membership.MarshalDeterministic(item))
}

func (s *State) submit(index uint64, command *Command) Result {
	fingerprint := hash([]any{command.Class, command.Function, command.Priority, command.Effect, command.DeduplicationWindowMS, command.Data})
	if id, known := s.idsByKey[command.Tenant+"\x00"+command.Key]; known && command.Key != "" {
		if job := s.jobs[id]; job.Fingerprint == fingerprint {
			return Result{Job: job}
		}
		return Result{Err: &KeyConflictError{command.Tenant, command.Key, id}}
	}
	job := &Job{ID: index, Tenant: command.Tenant, Key: command.Key, Class: command.Class, Function: command.Function, Priority: command.Priority, Effect: command.Effect,
		DeduplicationWindowMS: command.DeduplicationWindowMS, Data: command.Data, State: Waiting, SubmittedMS: s.nowMS, Fingerprint: fingerprint}
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
		s.idsByKey[command.Tenant+"\x00"+command.Key] = index
	}
	s.addUsage(job)
	return Result{Job: job}
}

// retryAfterMS is when the next result is forgotten, ms from now; a second where none is kept: jobs end meanwhile.
func (s *State) retryAfterMS() int64 {
	if len(s.endedIDs) == 0 {
		return 1000
	}
	return max(s.jobs[s.endedIDs[0]].EndedMS+s.ResultRetentionMS-s.nowMS, 1)
}

// CheckResend says why a job that was sent may not be sent again, to workers of a group, at a time; nil where it may.
func (j *Job) CheckResend(group string, nowMS int64) error {
	switch {
	case j.FirstSentMS == 0 || j.Effect == Safe:
		return nil
	case j.Effect == Unsafe:
		return &MayHaveRunError{j.ID, j.Class, "a repeat could do it twice"}
	case nowMS >= j.FirstSentMS+j.DeduplicationWindowMS:
		return &MayHaveRunError{j.ID, j.Class, "workers drop its repeats no longer"}
	case group != j.WorkerGroup:
		return &MayHaveRunError{j.ID, j.Class, "these workers do not know what the others have seen"}
	}
	return nil
}

func (s *State) send(job *Job, command *Command) error {
	if command.FencingToken != job.FencingToken {
		return &FencedError{job.ID, command.FencingToken, job.FencingToken, job.Owner}
	}
	if err := job.CheckResend(command.WorkerGroup, s.nowMS); err != nil {
		return err
	}
	if job.FirstSentMS == 0 {
		job.FirstSentMS, job.WorkerGroup = max(s.nowMS, 1), command.WorkerGroup
	}
	job.FencingToken++
	job.State, job.Owner, job.Worker = Sent, command.Proposer, command.Worker
	return nil
}

// end takes the word of whoever sent the job, under whichever agreed fence: it ran, and the first end is the one.
func (s *State) end(job *Job, command *Command) error {
	switch {
	case command.FencingToken == 0 || command.FencingToken > job.FencingToken:
		return &FencedError{job.ID, command.FencingToken, job.FencingToken, job.Owner}
	case command.NotRun && command.FencingToken < job.FencingToken:
		return &FencedError{job.ID, command.FencingToken, job.FencingToken, job.Owner} // the later send may have run all the same
	case command.NotRun:
		job.State, job.Owner, job.Worker = Waiting, "", ""
		if job.FencingToken == 1 { // nothing was ever run of it
			job.FirstSentMS, job.WorkerGroup = 0, ""
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

// abandon ends a job whose holder is gone for good: a safe or still droppable one waits again, any other ends as unknown.
func (s *State) abandon(job *Job, command *Command) error {
	if command.FencingToken != job.FencingToken || job.State != Sent {
		return &FencedError{job.ID, command.FencingToken, job.FencingToken, job.Owner}
	}
	if job.CheckResend(job.WorkerGroup, s.nowMS) == nil {
		job.State, job.Owner, job.Worker = Waiting, "", ""
		return nil
	}
	job.State = Unknown
	s.finish(job, nil)
	return nil
}

func (s *State) finish(job *Job, result []byte) {
	if limit := s.JobBytes - jobOverheadBytes; len(result) > limit {
		result = result[:limit]
	}
	job.Data, job.Result, job.EndedMS = nil, result, s.nowMS
	s.endedIDs = append(s.endedIDs, job.ID)
}

func (s *State) exclude(exclusion Exclusion) {
	if _, known := s.exclusions[exclusion.Worker]; known {
		return
	}
	s.exclusions[exclusion.Worker] = exclusion
	s.digest ^= hash(&exclusion)
	s.usedBytes += exclusionBytes
}

// Job is what is held under a number; nil: nothing.
func (s *State) Job(id uint64) *Job { return s.jobs[id] }

// FindByKey is the job that a tenant's key stands for; nil: none.
func (s *State) FindByKey(tenant, key string) *Job { return s.jobs[s.idsByKey[tenant+"\x00"+key]] }

// Excluded says whether a worker is out by hand.
func (s *State) Excluded(worker string) bool { _, excluded := s.exclusions[worker]; return excluded }

// Waiting are the jobs to be sent, in the order in which they are: by priority, then age.
func (s *State) Waiting() (jobs []*Job) {
	for _, job := range s.jobs {
		if job.State == Waiting {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(a, b *Job) int { return cmp.Or(-cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.ID, b.ID)) })
	return jobs
}

// SentBy are the jobs that a member has sent and not ended, by number.
func (s *State) SentBy(holder string) (jobs []*Job) {
	for _, job := range s.jobs {
		if job.State == Sent && job.Owner == holder {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(a, b *Job) int { return cmp.Compare(a.ID, b.ID) })
	return jobs
}

// Usage counts what is held.
func (s *State) Usage() (jobs, bytes int) { return len(s.jobs), s.usedBytes }

// NowMS is the time of the log, ms.
func (s *State) NowMS() int64 { return s.nowMS }

// Digest is the same for two states that hold the same.
func (s *State) Digest() uint64 {
	return s.digest ^ xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, uint64(s.nowMS)))
}

// snapshot is a snapshot.
type snapshot struct {
	FormatVersion uint8       `cbor:"1,keyasint"`
	NowMS         int64       `cbor:"2,keyasint"`
	Jobs          []*Job      `cbor:"3,keyasint"`
	Exclusions    []Exclusion `cbor:"4,keyasint"`
	EndedIDs      []uint64    `cbor:"5,keyasint"`
}

// Snapshot is all that is held, the same for the same state.
func (s *State) Snapshot() []byte {
	image := snapshot{FormatVersion: FormatVersion, NowMS: s.nowMS, EndedIDs: s.endedIDs}
	for _, job := range s.jobs {
		image.Jobs = append(image.Jobs, job)
	}
	slices.SortFunc(image.Jobs, func(a, b *Job) int { return cmp.Compare(a.ID, b.ID) })
	for _, exclusion := range s.exclusions {
		image.Exclusions = append(image.Exclusions, exclusion)
	}
	slices.SortFunc(image.Exclusions, func(a, b Exclusion) int { return cmp.Compare(a.Worker, b.Worker) })
	return membership.MarshalDeterministic(&image)
}

// Restore takes a snapshot's place, all or nothing.
func (s *State) Restore(data []byte) error {
	var image snapshot
	if err := snapshotDecoder.Unmarshal(data, &image); err != nil {
		return &DecodeError{"snapshot", image.FormatVersion, err}
	}
	if image.FormatVersion != FormatVersion {
		return &DecodeError{"snapshot", image.FormatVersion, errUnsupportedVersion}
	}
	fresh := New(s.Limits)
	fresh.nowMS, fresh.endedIDs = image.NowMS, image.EndedIDs
	for _, job := range image.Jobs {
		if job == nil || job.ID == 0 || fresh.jobs[job.ID] != nil || job.State < Waiting || job.State > Unknown {
			return &DecodeError{"snapshot", image.FormatVersion, errInvalidJob}
		}
		fresh.jobs[job.ID] = job
		if job.Key != "" {
			fresh.idsByKey[job.Tenant+"\x00"+job.Key] = job.ID
		}
		fresh.addUsage(job)
	}
	for _, id := range image.EndedIDs {
		if job := fresh.jobs[id]; job == nil || !job.State.Terminal() {
			return &DecodeError{"snapshot", image.FormatVersion, errInvalidJob}
		}
	}
	for _, exclusion := range image.Exclusions {
		fresh.exclude(exclusion)
	}
	*s = *fresh
	return nil
}
