package state

import (
	"cmp"
	"encoding/binary"
	"sort"

	"cinderroad/internal/shared/codec"
)

// RetainedChanges is how many accepted changes are retained to recognize requests that are sent again. For a request
// that builds on an older version it is unknown whether it was accepted, see VerdictForgotten. Each change takes 32 bytes
// of memory and about 22 of a snapshot.
const RetainedChanges = 4096

// AcceptedChange is a change of the configuration that was accepted.
type AcceptedChange struct {
	BaseVersion, Version uint64
	Digest               Digest
}

// Verdict says whether a request to change the configuration was, may be or cannot be accepted. Once a replica returns
// VerdictAccepted or VerdictSuperseded, every replica returns the same or VerdictForgotten from then on, because versions
// only rise: a replica that lags never returns either of them wrongly.
type Verdict uint8

// The verdicts.
const (
	VerdictOpen       Verdict = iota // its base version is the current one: the request may be accepted
	VerdictAccepted                  // it was accepted
	VerdictSuperseded                // its base version was replaced or never existed: it is never accepted
	VerdictPremature                 // its base version is above the current one: it may be accepted later
	VerdictForgotten                 // its base version is older than all retained changes: it may have been accepted
)

// RequestStatus is the status of a request on this replica.
type RequestStatus struct {
	Verdict Verdict
	// Version is the version that the request got if it was accepted, else the current version.
	Version uint64
	Base    View // the content that the request builds on, if Verdict is VerdictOpen
}

// CheckRequest returns the status of a request with a base version and a digest.
func (c *Configuration) CheckRequest(baseVersion uint64, digest Digest) RequestStatus {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	verdict, version := c.judge(baseVersion, digest)
	status := RequestStatus{Verdict: verdict, Version: version}
	if verdict == VerdictOpen {
		status.Base = c.view()
	}
	return status
}

// judge returns RequestStatus.Verdict and RequestStatus.Version. The lock is held.
//
// Versions rise from 0, each by an accepted change, and the newest changes are retained: below the current version there
// is thus at least one retained change, and the last one led to the current version.
func (c *Configuration) judge(baseVersion uint64, digest Digest) (Verdict, uint64) {
	switch {
	case baseVersion == c.version:
		return VerdictOpen, c.version
	case baseVersion > c.version:
		return VerdictPremature, c.version
	}
	change, found := c.acceptedOn(baseVersion)
	switch {
	case found && change.Digest == digest:
		return VerdictAccepted, change.Version
	case found || baseVersion > c.acceptedAt(0).BaseVersion:
		return VerdictSuperseded, c.version
	}
	return VerdictForgotten, c.version
}

// acceptedOn returns the retained change that was accepted on a base version. The lock is held.
func (c *Configuration) acceptedOn(baseVersion uint64) (AcceptedChange, bool) {
	i, found := sort.Find(len(c.accepted), func(i int) int { return cmp.Compare(baseVersion, c.acceptedAt(i).BaseVersion) })
	if !found {
		return AcceptedChange{}, false
	}
	return *c.acceptedAt(i), true
}

// acceptedAt returns a retained change by age, 0 for the oldest. Base versions rise with i. The lock is held.
func (c *Configuration) acceptedAt(i int) *AcceptedChange {
	return &c.accepted[(c.oldest+i)%len(c.accepted)]
}

// addAccepted retains a change, in place of the oldest one once RetainedChanges are retained. The lock is held.
func (c *Configuration) addAccepted(change AcceptedChange) {
	if len(c.accepted) < RetainedChanges {
		c.accepted = append(c.accepted, change)
		return
	}
	c.accepted[c.oldest] = change
	c.oldest = (c.oldest + 1) % RetainedChanges
}

// appendAccepted appends the retained changes, the oldest first. The lock is held.
func (c *Configuration) appendAccepted(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(c.accepted)))
	for i := range c.accepted {
		change := c.acceptedAt(i)
		b = binary.AppendUvarint(b, change.BaseVersion)
		b = binary.AppendUvarint(b, change.Version)
		b = append(b, change.Digest[:]...)
	}
	return b
}

// readAccepted reads what appendAccepted wrote. Changes that do not lead to the version one after the other are
// malformed.
func readAccepted(reader *codec.Reader, version uint64) []AcceptedChange {
	count := reader.Count("changes")
	if count > RetainedChanges {
		reader.Fail("changes")
		return nil
	}
	changes := make([]AcceptedChange, 0, count)
	for i := range count {
		change := AcceptedChange{
			BaseVersion: reader.Uvarint("base version"),
			Version:     reader.Uvarint("version"),
			Digest:      readDigest(reader),
		}
		if change.Version <= change.BaseVersion || i > 0 && change.BaseVersion != changes[i-1].Version {
			reader.Fail("version")
		}
		changes = append(changes, change)
	}
	last := uint64(0)
	if count > 0 {
		last = changes[count-1].Version
	}
	if last != version {
		reader.Fail("version")
	}
	return changes
}
