package counterservice

import (
	"net/http"
	"strconv"

	"cinderroad/internal/system/counter"
	"cinderroad/internal/system/jsonfield"
	"cinderroad/internal/system/validation"
)

// Fields of the body of an addition, and the path under which problems of the counter's name are reported.
const (
	fieldID     = "id"
	fieldAmount = "changed_by"
	pathName    = "name"
)

// readAddition reads an operation from a call. The error is an *httpjson.Error or a *validation.Error.
func readAddition(w http.ResponseWriter, r *http.Request) (counter.Operation, error) {
	body, failure := readBody(w, r)
	if failure != nil {
		return counter.Operation{}, failure
	}
	return parseAddition(r.PathValue("name"), body)
}

// parseAddition reads an operation from the body of a call. Unknown fields are ignored. The error is a *validation.Error
// with all problems.
func parseAddition(name string, body []byte) (counter.Operation, error) {
	var problems validation.Problems
	addition := addition{operation: counter.Operation{Counter: name}}
	if len(name) > counter.MaxCounterSize {
		problems.Add(pathName, "must have at most "+strconv.Itoa(counter.MaxCounterSize)+" bytes")
	}
	root, ok := jsonfield.Parse(body, &problems)
	if ok && root.ReadStrictObject(addition.readField) {
		addition.checkPresence(&problems)
	}
	return addition.operation, problems.Err()
}

// addition is the body of a call that is being read.
type addition struct {
	operation          counter.Operation
	hasID, hasChangeBy bool
}

func (a *addition) readField(name string, value jsonfield.Value) {
	switch name {
	case fieldID:
		a.hasID = true
		a.readID(value)
	case fieldAmount:
		a.hasChangeBy = true
		a.operation.Amount, _ = value.Int64()
	}
}

func (a *addition) readID(value jsonfield.Value) {
	id, ok := value.Text()
	if ok && (id == "" || len(id) > counter.MaxIDSize) {
		value.AddProblem("must have 1 to " + strconv.Itoa(counter.MaxIDSize) + " bytes")
	}
	a.operation.ID = id
}

// checkPresence adds a problem for each field that is missing.
func (a *addition) checkPresence(problems *validation.Problems) {
	if !a.hasID {
		problems.Add(fieldID, "is missing")
	}
	if !a.hasChangeBy {
		problems.Add(fieldAmount, "is missing")
	}
}
