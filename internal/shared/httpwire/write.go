package httpwire

import (
	"strconv"
	"strings"
)

// reasonPhrases are the reason phrases of the statuses that the programs answer with.
var reasonPhrases = map[int]string{200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 413: "Content Too Large",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 502: "Bad Gateway",
	503: "Service Unavailable", 504: "Gateway Timeout", 505: "HTTP Version Not Supported"}

// ReasonPhrase is the reason phrase of a status; empty for one that the programs never answer with.
func ReasonPhrase(status int) string { return reasonPhrases[status] }

// AppendStatusLine writes the first line of a response.
func AppendStatusLine(b []byte, status int, reason string) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reason...)
	return append(b, "\r\n"...)
}

// AppendField writes one field.
func AppendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// AppendIntField writes one field with a number.
func AppendIntField(b []byte, name string, value int64) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, value, 10)
	return append(b, "\r\n"...)
}

// AppendChunk writes one chunk; none for no data, which would end the body.
func AppendChunk(b, data []byte) []byte {
	if len(data) == 0 {
		return b
	}
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(b, "\r\n"...)
	b = append(b, data...)
	return append(b, "\r\n"...)
}

// AppendLastChunk ends a chunked body.
func AppendLastChunk(b []byte) []byte { return append(b, "0\r\n\r\n"...) }

// hopByHop are the fields that concern one connection only, and those that frame a body: whoever sends the message on
// writes them anew. Beside them are those that Connection names.
var hopByHop = [...]string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// IsEndToEnd says whether a field of the header goes on to the next machine.
func (h Header) IsEndToEnd(name string) bool {
	for _, hop := range hopByHop {
		if len(hop) == len(name) && strings.EqualFold(hop, name) {
			return false
		}
	}
	return !h.HasElement("Connection", name)
}
