package jobstate

// JobState is how far a job is. The values are stored in snapshots.
type JobState uint8

// The states of a job. Done, Failed and Unknown are final.
const (
	Waiting JobState = iota + 1
	Sent
	Done
	Failed
	Unknown // it may have run, and its effect forbids finding out by running it again
)

var jobStateNames = map[JobState]string{Waiting: "waiting", Sent: "sent", Done: "done", Failed: "failed", Unknown: "unknown"}

// String returns the name of the state, as clients see it.
func (s JobState) String() string { return jobStateNames[s] }

// Terminal reports whether the state is final.
func (s JobState) Terminal() bool { return s >= Done }

// Job is a durable job.
type Job struct {
	ID                    uint64   `cbor:"1,keyasint"` // the log index of its CommandSubmit
	Tenant                string   `cbor:"2,keyasint"`
	Key                   string   `cbor:"3,keyasint"`
	Class                 string   `cbor:"4,keyasint"`
	Function              string   `cbor:"5,keyasint"`
	Priority              int8     `cbor:"6,keyasint"`
	Effect                Effect   `cbor:"7,keyasint"`
	DeduplicationWindowMS int64    `cbor:"8,keyasint"`
	Data                  []byte   `cbor:"9,keyasint"` // nil once the job has ended
	State                 JobState `cbor:"10,keyasint"`
	FencingToken          uint64   `cbor:"11,keyasint"` // the number of sends applied
	Owner                 string   `cbor:"12,keyasint"` // the proposer of the last send; "" while the job waits
	Worker                string   `cbor:"13,keyasint"` // of the last send
	WorkerGroup           string   `cbor:"14,keyasint"` // of the first send after which the job may have run
	FirstSentMS           int64    `cbor:"15,keyasint"` // time of that send; 0: none
	EndedMS               int64    `cbor:"16,keyasint"`
	Result                []byte   `cbor:"17,keyasint"`
	SubmittedMS           int64    `cbor:"18,keyasint"`
	Fingerprint           uint64   `cbor:"19,keyasint"` // hash of what was submitted, to tell another job under the same key
}

// jobOverheadBytes is the approximate size of a job without its strings and data.
const jobOverheadBytes = 256

// sizeBytes is what the job counts against the limits.
func (j *Job) sizeBytes() int {
	return jobOverheadBytes + len(j.Tenant) + len(j.Key) + len(j.Class) + len(j.Function) + len(j.Data) + len(j.Result) +
		len(j.Owner) + len(j.Worker) + len(j.WorkerGroup)
}

// CheckResend returns nil if the job may be sent to workers of the group at the time nowMS, and a *MayHaveRunError if an
// earlier send may have run and the job's effect forbids another one.
func (j *Job) CheckResend(group string, nowMS int64) error {
	switch {
	case j.FirstSentMS == 0 || j.Effect == Safe:
		return nil
	case j.Effect == Unsafe:
		return &MayHaveRunError{j.ID, j.Class, "a repeat could do it twice"}
	case nowMS >= j.FirstSentMS+j.DeduplicationWindowMS:
		return &MayHaveRunError{j.ID, j.Class, "the deduplication window of its workers has ended"}
	case group != j.WorkerGroup:
		return &MayHaveRunError{j.ID, j.Class, "workers of another group do not drop its repeats"}
	}
	return nil
}

// requeue has the job wait for another send.
func (j *Job) requeue() {
	j.State = Waiting
	j.Owner = ""
	j.Worker = ""
}

// fencedError is the answer to a command that was proposed under another fencing token than the job's.
func (j *Job) fencedError(command *Command) error {
	return &FencedError{j.ID, command.FencingToken, j.FencingToken, j.Owner}
}
