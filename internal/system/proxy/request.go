package proxy

import (
	"strings"
	"time"

	"cinderroad/internal/shared/httpwire"
	"cinderroad/internal/system/placement"
)

// pathOf returns the path of a request target.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// appendRequest encodes the head of the request for a runner; the body follows it.
func (x *exchange) appendRequest(b []byte, choice placement.Choice) []byte {
	b = append(b, x.head.Method...)
	b = append(b, ' ')
	b = append(b, x.head.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	resumed := x.response.started
	for i := range x.head.Header {
		field := &x.head.Header[i]
		if !x.isForwarded(field.Name, choice, resumed) {
			continue
		}
		b = httpwire.AppendField(b, field.Name, field.Value)
	}
	if resumed && x.eventReader.lastID != "" {
		b = httpwire.AppendField(b, headerLastEventID, x.eventReader.lastID)
	}
	left := (x.request.Deadline - x.proxy.now()) / time.Millisecond
	b = httpwire.AppendIntField(b, headerTimeLeft, max(1, int64(left)))
	b = httpwire.AppendField(b, headerWantedServer, choice.Runner)
	if choice.Priority >= 0 {
		b = httpwire.AppendIntField(b, headerPriority, int64(choice.Priority))
	}
	if x.head.Body.Kind != httpwire.NoBody {
		b = httpwire.AppendIntField(b, "Content-Length", int64(len(x.body)))
	}
	return append(b, "\r\n"...)
}

// isForwarded reports whether a field of the client is forwarded to the runner unchanged.
func (x *exchange) isForwarded(name string, choice placement.Choice, resumed bool) bool {
	switch {
	case strings.EqualFold(name, headerTryID), strings.EqualFold(name, "Host"):
		return true
	case strings.EqualFold(name, headerTimeLeft), strings.EqualFold(name, headerWantedServer):
		return false
	case strings.EqualFold(name, headerPriority):
		return choice.Priority < 0
	case strings.EqualFold(name, headerLastEventID):
		return !resumed || x.eventReader.lastID == ""
	}
	return x.head.Header.IsEndToEnd(name)
}
