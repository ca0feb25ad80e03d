package httpfront

import (
	"cmp"
	"strconv"
	"strings"

	"cinderroad/internal/shared/httpwire"
)

// Call is a client's job in the platform's form.
type Call struct {
	ID             string
	Class          string
	Method         string
	Target         string
	IdempotencyKey string
	Body           []byte
}

// parseCall reads a client's request. The budget is in seconds. reason is empty, or says why the request cannot be
// forwarded: what goes on to a backend holds visible ASCII only, and the ID nothing that ends a path.
func (f *Front) parseCall(request *Request) (call Call, budget float64, reason string) {
	class, isClassUnique := request.Header.GetUnique("X-Call-Class")
	id, isIDUnique := request.Header.GetUnique("X-Call-Id")
	budgetText, isBudgetUnique := request.Header.GetUnique("X-Budget-Ms")
	key, isKeyUnique := request.Header.GetUnique("Idempotency-Key")
	path, _, _ := strings.Cut(strings.TrimPrefix(request.Target, "/"), "?")
	pathClass, _, _ := strings.Cut(path, "/")
	call = Call{
		ID:             id,
		Class:          cmp.Or(class, pathClass),
		Method:         request.Method,
		Target:         request.Target,
		IdempotencyKey: key,
		Body:           request.Body,
	}
	// ParseUint, since ParseFloat would accept Inf, hexadecimal and 1e300.
	milliseconds, err := strconv.ParseUint(budgetText, 10, 32)
	switch {
	case !isClassUnique || !isIDUnique || !isBudgetUnique || !isKeyUnique:
		reason = "a field is there twice"
	case id == "" || len(id) > maxCallID || !httpwire.IsVisibleASCII(id) || strings.ContainsAny(id, `/?#%"\`):
		reason = "X-Call-Id missing or bad"
	case err != nil:
		reason = "X-Budget-Ms missing or bad"
	case !httpwire.IsVisibleASCII(key):
		reason = "Idempotency-Key bad"
	case call.Class != pathClass:
		reason = "X-Call-Class is not the path's"
	}
	return call, float64(milliseconds) / 1000, reason
}

// parseCallInfo reads the name=value list of a request's X-Call-Info header; what is malformed is left out.
func parseCallInfo(text string) map[string]float64 {
	info := map[string]float64{}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			info[name] = v
		}
	}
	return info
}
