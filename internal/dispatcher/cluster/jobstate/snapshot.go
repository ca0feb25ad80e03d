package jobstate

import (
	"cmp"
	"errors"
	"slices"

	"cinderroad/internal/shared/membership"
)

var (
	snapshotDecoder = membership.StrictDecModeForArrays(snapshotNesting, maxFields, snapshotElements)

	errInvalidJob = errors.New("an invalid job")
)

// snapshot is the encoding of a State.
type snapshot struct {
	FormatVersion uint8       `cbor:"1,keyasint"`
	NowMS         int64       `cbor:"2,keyasint"`
	Jobs          []*Job      `cbor:"3,keyasint"` // sorted by ID
	Exclusions    []Exclusion `cbor:"4,keyasint"` // sorted by worker
	EndedIDs      []uint64    `cbor:"5,keyasint"` // in the order in which the jobs ended
}

// Snapshot returns the encoded state; equal states have equal snapshots.
func (s *State) Snapshot() []byte {
	image := snapshot{FormatVersion: FormatVersion, NowMS: s.nowMS, EndedIDs: s.endedIDs}
	for _, job := range s.jobs {
		image.Jobs = append(image.Jobs, job)
	}
	slices.SortFunc(image.Jobs, compareIDs)
	for _, exclusion := range s.exclusions {
		image.Exclusions = append(image.Exclusions, exclusion)
	}
	slices.SortFunc(image.Exclusions, func(a, b Exclusion) int { return cmp.Compare(a.Worker, b.Worker) })
	return membership.MarshalDeterministic(&image)
}

// Restore replaces the state by a snapshot's; the limits stay. It returns a *DecodeError, and changes nothing, if the
// snapshot can't be read.
func (s *State) Restore(data []byte) error {
	var image snapshot
	if err := snapshotDecoder.Unmarshal(data, &image); err != nil {
		return &DecodeError{"snapshot", image.FormatVersion, err}
	}
	if image.FormatVersion != FormatVersion {
		return &DecodeError{"snapshot", image.FormatVersion, errUnsupportedVersion}
	}
	fresh := New(s.Limits)
	fresh.nowMS = image.NowMS
	fresh.endedIDs = image.EndedIDs
	for _, job := range image.Jobs {
		if job == nil || job.ID == 0 || fresh.jobs[job.ID] != nil || job.State < Waiting || job.State > Unknown {
			return &DecodeError{"snapshot", image.FormatVersion, errInvalidJob}
		}
		fresh.jobs[job.ID] = job
		if job.Key != "" {
			fresh.idsByKey[tenantKey(job.Tenant, job.Key)] = job.ID
		}
		fresh.addUsage(job)
	}
	ended := make(map[uint64]bool, len(image.EndedIDs))
	for _, id := range image.EndedIDs {
		if job := fresh.jobs[id]; job == nil || !job.State.Terminal() || ended[id] {
			return &DecodeError{"snapshot", image.FormatVersion, errInvalidJob}
		}
		ended[id] = true // a second mention would outlast the job
	}
	for _, exclusion := range image.Exclusions {
		fresh.exclude(exclusion)
	}
	*s = *fresh
	return nil
}
