package httpwire

import "strconv"

// reasonPhrases are the reason phrases of the statuses that the programs send.
var reasonPhrases = map[int]string{
	200: "OK",
	202: "Accepted",
	204: "No Content",
	400: "Bad Request",
	404: "Not Found",
	405: "Method Not Allowed",
	408: "Request Timeout",
	409: "Conflict",
	413: "Content Too Large",
	431: "Request Header Fields Too Large",
	500: "Internal Server Error",
	502: "Bad Gateway",
	503: "Service Unavailable",
	504: "Gateway Timeout",
	505: "HTTP Version Not Supported",
}

// ReasonPhrase returns the reason phrase of a status; empty for a status that the programs never send.
func ReasonPhrase(status int) string { return reasonPhrases[status] }

// AppendStatusLine appends the first line of a response to b.
func AppendStatusLine(b []byte, status int, reason string) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reason...)
	return append(b, "\r\n"...)
}

// AppendField appends a header field to b. The caller must make sure that the value contains no line break.
func AppendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// AppendIntField appends a header field with a number to b.
func AppendIntField(b []byte, name string, value int64) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, value, 10)
	return append(b, "\r\n"...)
}

// AppendChunk appends a chunk to b; nothing for empty data, which would end the body.
func AppendChunk(b, data []byte) []byte {
	if len(data) == 0 {
		return b
	}
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(b, "\r\n"...)
	b = append(b, data...)
	return append(b, "\r\n"...)
}

// AppendLastChunk appends the end of a chunked body to b.
func AppendLastChunk(b []byte) []byte { return append(b, "0\r\n\r\n"...) }
