package api

import (
	"errors"

	"cinderroad/internal/configuration"
	"cinderroad/internal/control/state"
	"cinderroad/internal/feed"
)

// prepare reads and checks a request against the configuration that it builds on. An invalid request's error is a
// *findings.Error.
func prepare(request *request, base *state.Base) (change, error) {
	current, err := current(base)
	if err != nil {
		return change{}, err
	}
	next, err := check(request, current, base.Version)
	if err != nil {
		return change{}, err
	}
	return change{version: next.Version(), writes: writes(configuration.Diff(current, next))}, nil
}

func check(request *request, current *configuration.Document, version uint64) (*configuration.Document, error) {
	if request.kind == replaceWhole {
		return configuration.Check(request.body, version)
	}
	return configuration.CheckChange(request.body, current)
}

// current is the configuration in force, nil if there is none.
func current(base *state.Base) (*configuration.Document, error) {
	document, err := configuration.FromItems(base.Values.All(""))
	var missing *configuration.MissingDocumentError
	if errors.As(err, &missing) {
		return nil, nil
	}
	if err != nil {
		return nil, unavailable("the stored configuration can't be read: " + err.Error())
	}
	return document, nil
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
