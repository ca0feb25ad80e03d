package api

import (
	"errors"
	"sync"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/feed"
)

// keptFrom is the size of an order that is worth being kept, in bytes.
const keptFrom = 64 << 10

// documents keeps what was read last: the configuration in force, of which a later version shares most, and a large
// order. A large order takes its time to be read, and is sent again meanwhile; neither it nor the configuration that it
// builds on is read anew.
type documents struct {
	mutex    sync.Mutex
	current  *configuration.Document // nil: none yet
	digest   state.Digest
	basedOn  uint64
	prepared *change // of the order with the digest; nil: there is none
}

// prepare reads and checks a request against the configuration that it builds on. An invalid request's error is a
// *findings.Error.
func (d *documents) prepare(request *request, base *state.Base) (change, error) {
	digest, large := request.digest(), len(request.body) >= keptFrom
	d.mutex.Lock()
	defer d.mutex.Unlock() // one that comes again waits for the one before
	if large && d.prepared != nil && d.digest == digest && d.basedOn == base.Version {
		return *d.prepared, nil
	}
	current, err := d.read(base)
	if err != nil {
		return change{}, err
	}
	next, err := check(request, current, base.Version)
	if err != nil {
		return change{}, err
	}
	made := change{version: next.Version(), writes: writes(configuration.Diff(current, next))}
	d.prepared = nil
	if large {
		d.digest, d.basedOn, d.prepared = digest, base.Version, &made
	}
	return made, nil
}

// inForce is the configuration in force, nil if there is none.
func (d *documents) inForce(base *state.Base) (*configuration.Document, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.read(base)
}

// read is inForce under the lock.
func (d *documents) read(base *state.Base) (*configuration.Document, error) {
	if d.current != nil && d.current.Version() == base.Version {
		return d.current, nil
	}
	document, err := configuration.FromItemsReusing(d.current, base.Values.All(""))
	var missing *configuration.NoDocumentError
	if errors.As(err, &missing) {
		return nil, nil
	}
	if err != nil {
		return nil, unavailable("the stored configuration can't be read: " + err.Error())
	}
	d.current = document
	return document, nil
}

func check(request *request, current *configuration.Document, version uint64) (*configuration.Document, error) {
	if request.kind == replaceWhole {
		return configuration.ParseAndValidate(request.body, version)
	}
	return configuration.ApplyAndValidate(request.body, current)
}

// writes are those of a commit, to which the version belongs by itself.
func writes(diff []configuration.Write) []state.Write {
	out := make([]state.Write, 0, len(diff))
	for _, write := range diff {
		if write.Key != feed.KeyVersion {
			out = append(out, state.Write(write))
		}
	}
	return out
}
