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

var states = map[JobState]string{Waiting: "waiting", Sent: "sent", Done: "done", Failed: "failed", Unknown: "unknown"}

func (s JobState) String() string { return states[s] }

// Over says whether the job has its end.
func (s JobState) Over() bool { return s >= Done }

// Job is a promised job.
type Job struct {
	ID       uint64   `cbor:"1,keyasint"` // the number of its place in the log
	Tenant   string   `cbor:"2,keyasint"`
	Key      string   `cbor:"3,keyasint"`
	Class    string   `cbor:"4,keyasint"`
	Function string   `cbor:"5,keyasint"`
	Priority int8     `cbor:"6,keyasint"`
	Effect   Effect   `cbor:"7,keyasint"`
	WindowMS int64    `cbor:"8,keyasint"`
	Data     []byte   `cbor:"9,keyasint"` // nil once it has ended
	State    JobState `cbor:"10,keyasint"`
	Fence    uint64   `cbor:"11,keyasint"` // counts the agreed sends
	Holder   string   `cbor:"12,keyasint"` // who sent it last
	Worker   string   `cbor:"13,keyasint"`
	Group    string   `cbor:"14,keyasint"` // of the first send that may have run
	FirstMS  int64    `cbor:"15,keyasint"` // and its time; 0: none
	EndMS    int64    `cbor:"16,keyasint"`
	Result   []byte   `cbor:"17,keyasint"`
	TakenMS  int64    `cbor:"18,keyasint"`
	Print    uint64   `cbor:"19,keyasint"` // of what was asked for under the key
}

func (j *Job) bytes() int {
	return jobBytes + len(j.Tenant) + len(j.Key) + len(j.Class) + len(j.Function) + len(j.Data) + len(j.Result) + len(j.Holder) + len(j.Worker) + len(j.Group)
}

// Out is an order by hand that takes a worker out.
type Out struct {
	Worker string `cbor:"1,keyasint"`
	By     string `cbor:"2,keyasint"`
	AtMS   int64  `cbor:"3,keyasint"`
}

const (
	jobBytes = 256 // of a job beside its texts, about
	outBytes = 96
)

// Bounds are what the state holds at most.
type Bounds struct {
	Bytes       int // of all that is held
	TenantBytes int // of one tenant
	JobBytes    int // of one job
	ResultMS    int64
}

// State is what is held. Two that were given the same commands are the same, bit for bit.
type State struct {
	Bounds
	now    int64 // the latest time that a command brought, ms
	jobs   map[uint64]*Job
	keys   map[string]uint64 // tenant, a zero byte, key
	out    map[string]Out
	ended  []uint64 // in the order of their ends
	bytes  int
	tenant map[string]int
	digest uint64 // of all items, whatever their order
}

// New is a state that holds nothing.
func New(b Bounds) *State {
	return &State{Bounds: b, jobs: map[uint64]*Job{}, keys: map[string]uint64{}, out: map[string]Out{}, tenant: map[string]int{}}
}

// Result is what a command came to.
type Result struct {
	Job *Job // not to be changed
	Err error
}

// Check tells whether Apply could take a command at all.
func (s *State) Check(text []byte) error {
	_, err := Decode(text)
	return err
}

// Apply takes the command that was agreed at a place of the log. A command that cannot be read is an error of its own: the copy cannot go
// on, since the others may have read it. All else that is wrong with one is its result.
func (s *State) Apply(index uint64, text []byte) (Result, error) {
	c, err := Decode(text)
	if err != nil {
		return Result{}, err
	}
	s.pass(c.At)
	switch c.Kind {
	case Take:
		return s.take(index, &c), nil
	case Send, End, GiveUp:
		job := s.jobs[c.ID]
		if job == nil {
			return Result{Err: &NotHeld{c.ID}}, nil
		}
		if job.State.Over() {
			return Result{job, &Ended{c.ID, job.State}}, nil
		}
		s.lift(job)
		var err error
		switch c.Kind {
		case Send:
			err = s.send(job, &c)
		case End:
			err = s.end(job, &c)
		default:
			err = s.giveUp(job, &c)
		}
		s.lay(job)
		return Result{job, err}, nil
	case Exclude:
		s.exclude(Out{c.Worker, c.By, s.now})
	case Include:
		if o, is := s.out[c.Worker]; is {
			delete(s.out, c.Worker)
			s.digest ^= hash(&o)
			s.bytes -= outBytes
		}
	}
	return Result{}, nil
}

// pass moves the time on: never back, whoever's clock is behind. Results that have been kept for their time are forgotten.
func (s *State) pass(at int64) {
	s.now = max(s.now, at)
	for len(s.ended) > 0 {
		job := s.jobs[s.ended[0]]
		if s.now-job.EndMS < s.ResultMS {
			return
		}
		s.ended = s.ended[1:]
		s.lift(job)
		delete(s.jobs, job.ID)
		delete(s.keys, job.Tenant+"\x00"+job.Key)
	}
}

// lift takes a job out of the sums while it changes; lay puts it back.
func (s *State) lift(job *Job) {
	s.digest ^= hash(job)
	s.bytes -= job.bytes()
	if s.tenant[job.Tenant] -= job.bytes(); s.tenant[job.Tenant] == 0 {
		delete(s.tenant, job.Tenant)
	}
}

func (s *State) lay(job *Job) {
	s.digest ^= hash(job)
	s.bytes += job.bytes()
	s.tenant[job.Tenant] += job.bytes()
}

func hash(item any) uint64 {
	return xxhash.Sum64(membership.MarshalDeterministic(item))
}

func (s *State) take(index uint64, c *Command) Result {
	asked := hash([]any{c.Class, c.Function, c.Priority, c.Effect, c.WindowMS, c.Data})
	if id, is := s.keys[c.Tenant+"\x00"+c.Key]; is && c.Key != "" {
		if job := s.jobs[id]; job.Print == asked {
			return Result{Job: job}
		}
		return Result{Err: &OtherJob{c.Tenant, c.Key, id}}
	}
	job := &Job{ID: index, Tenant: c.Tenant, Key: c.Key, Class: c.Class, Function: c.Function, Priority: c.Priority, Effect: c.Effect,
		WindowMS: c.WindowMS, Data: c.Data, State: Waiting, TakenMS: s.now, Print: asked}
	switch size := job.bytes(); {
	case size > s.JobBytes:
		return Result{Err: &TooLarge{size, s.JobBytes}}
	case s.bytes+size > s.Bytes:
		return Result{Err: &Full{s.bytes, s.Bytes, "", s.room()}}
	case s.tenant[c.Tenant]+size > s.TenantBytes:
		return Result{Err: &Full{s.tenant[c.Tenant], s.TenantBytes, c.Tenant, s.room()}}
	}
	s.jobs[index] = job
	if c.Key != "" {
		s.keys[c.Tenant+"\x00"+c.Key] = index
	}
	s.lay(job)
	return Result{Job: job}
}

// room is when the next result is forgotten, ms from now; a second where none is kept: jobs end meanwhile.
func (s *State) room() int64 {
	if len(s.ended) == 0 {
		return 1000
	}
	return max(s.jobs[s.ended[0]].EndMS+s.ResultMS-s.now, 1)
}

// Repeatable says why a job that was sent may not be sent again, to workers of a group, at a time; nil where it may.
func (j *Job) Repeatable(group string, now int64) error {
	switch {
	case j.FirstMS == 0 || j.Effect == Safe:
		return nil
	case j.Effect == Unsafe:
		return &MayHaveRun{j.ID, j.Class, "a repeat could do it twice"}
	case now >= j.FirstMS+j.WindowMS:
		return &MayHaveRun{j.ID, j.Class, "workers drop its repeats no longer"}
	case group != j.Group:
		return &MayHaveRun{j.ID, j.Class, "these workers do not know what the others have seen"}
	}
	return nil
}

func (s *State) send(job *Job, c *Command) error {
	if c.Fence != job.Fence {
		return &Fenced{job.ID, c.Fence, job.Fence, job.Holder}
	}
	if err := job.Repeatable(c.Group, s.now); err != nil {
		return err
	}
	if job.FirstMS == 0 {
		job.FirstMS, job.Group = max(s.now, 1), c.Group
	}
	job.Fence++
	job.State, job.Holder, job.Worker = Sent, c.By, c.Worker
	return nil
}

// end takes the word of whoever sent the job, under whichever agreed fence: it ran, and the first end is the one.
func (s *State) end(job *Job, c *Command) error {
	switch {
	case c.Fence == 0 || c.Fence > job.Fence:
		return &Fenced{job.ID, c.Fence, job.Fence, job.Holder}
	case c.Unrun && c.Fence < job.Fence:
		return &Fenced{job.ID, c.Fence, job.Fence, job.Holder} // the later send may have run all the same
	case c.Unrun:
		job.State, job.Holder, job.Worker = Waiting, "", ""
		if job.Fence == 1 { // nothing was ever run of it
			job.FirstMS, job.Group = 0, ""
		}
		return nil
	}
	job.State = Done
	if c.Failed {
		job.State = Failed
	}
	s.over(job, c.Data)
	return nil
}

// giveUp ends a job whose holder is gone for good: a safe or still droppable one waits again, any other ends as unknown.
func (s *State) giveUp(job *Job, c *Command) error {
	if c.Fence != job.Fence || job.State != Sent {
		return &Fenced{job.ID, c.Fence, job.Fence, job.Holder}
	}
	if job.Repeatable(job.Group, s.now) == nil {
		job.State, job.Holder, job.Worker = Waiting, "", ""
		return nil
	}
	job.State = Unknown
	s.over(job, nil)
	return nil
}

func (s *State) over(job *Job, result []byte) {
	if most := s.JobBytes - jobBytes; len(result) > most {
		result = result[:most]
	}
	job.Data, job.Result, job.EndMS = nil, result, s.now
	s.ended = append(s.ended, job.ID)
}

func (s *State) exclude(o Out) {
	if _, is := s.out[o.Worker]; is {
		return
	}
	s.out[o.Worker] = o
	s.digest ^= hash(&o)
	s.bytes += outBytes
}

// Job is what is held under a number; nil: nothing.
func (s *State) Job(id uint64) *Job { return s.jobs[id] }

// Find is the job that a tenant's key stands for; nil: none.
func (s *State) Find(tenant, key string) *Job { return s.jobs[s.keys[tenant+"\x00"+key]] }

// Excluded says whether a worker is out by hand.
func (s *State) Excluded(worker string) bool { _, is := s.out[worker]; return is }

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
		if job.State == Sent && job.Holder == holder {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(a, b *Job) int { return cmp.Compare(a.ID, b.ID) })
	return jobs
}

// Held counts what is held.
func (s *State) Held() (jobs, bytes int) { return len(s.jobs), s.bytes }

// Now is the time of the log, ms.
func (s *State) Now() int64 { return s.now }

// Digest is the same for two states that hold the same.
func (s *State) Digest() uint64 {
	return s.digest ^ xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, uint64(s.now)))
}

// image is a snapshot.
type image struct {
	Form  uint8    `cbor:"1,keyasint"`
	Now   int64    `cbor:"2,keyasint"`
	Jobs  []*Job   `cbor:"3,keyasint"`
	Out   []Out    `cbor:"4,keyasint"`
	Ended []uint64 `cbor:"5,keyasint"`
}

// Snapshot is all that is held, the same for the same state.
func (s *State) Snapshot() []byte {
	im := image{Form: Form, Now: s.now, Ended: s.ended}
	for _, job := range s.jobs {
		im.Jobs = append(im.Jobs, job)
	}
	slices.SortFunc(im.Jobs, func(a, b *Job) int { return cmp.Compare(a.ID, b.ID) })
	for _, o := range s.out {
		im.Out = append(im.Out, o)
	}
	slices.SortFunc(im.Out, func(a, b Out) int { return cmp.Compare(a.Worker, b.Worker) })
	return membership.MarshalDeterministic(&im)
}

// Restore takes a snapshot's place, all or nothing.
func (s *State) Restore(text []byte) error {
	var im image
	if err := loading.Unmarshal(text, &im); err != nil {
		return &Unreadable{"snapshot", im.Form, err}
	}
	if im.Form != Form {
		return &Unreadable{"snapshot", im.Form, errForm}
	}
	fresh := New(s.Bounds)
	fresh.now, fresh.ended = im.Now, im.Ended
	for _, job := range im.Jobs {
		if job == nil || job.ID == 0 || fresh.jobs[job.ID] != nil || job.State < Waiting || job.State > Unknown {
			return &Unreadable{"snapshot", im.Form, errJob}
		}
		fresh.jobs[job.ID] = job
		if job.Key != "" {
			fresh.keys[job.Tenant+"\x00"+job.Key] = job.ID
		}
		fresh.lay(job)
	}
	for _, id := range im.Ended {
		if job := fresh.jobs[id]; job == nil || !job.State.Over() {
			return &Unreadable{"snapshot", im.Form, errJob}
		}
	}
	for _, o := range im.Out {
		fresh.exclude(o)
	}
	*s = *fresh
	return nil
}
