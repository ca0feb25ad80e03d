package api

import "cinderroad/internal/control/state"

func prepare(request *request, base *state.Base) (change, error) { return change{}, nil }
func document(base *state.Base) []byte                           { return nil }
