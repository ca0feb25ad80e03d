package httpwire

import "strings"

// Header holds the fields of a message in their order.
type Header []Field

// Field is one field of a message.
type Field struct{ Name, Value string }

// Get returns the first value of a field, whose name is case-insensitive; empty if there is none.
func (h Header) Get(name string) string {
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			return h[i].Value
		}
	}
	return ""
}

// Has reports whether a field is present, possibly with an empty value.
func (h Header) Has(name string) bool { return h.Count(name) > 0 }

// Count returns how many fields have the name.
func (h Header) Count(name string) (n int) {
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			n++
		}
	}
	return n
}

// GetUnique returns the value of a field; ok is false if it occurs more than once, since two recipients might choose
// different values.
func (h Header) GetUnique(name string) (value string, ok bool) {
	return h.Get(name), h.Count(name) <= 1
}

// HasElement reports whether the comma-separated elements of a field include the given one, ignoring case.
func (h Header) HasElement(name, element string) bool {
	for i := range h {
		if !strings.EqualFold(h[i].Name, name) {
			continue
		}
		for part := range strings.SplitSeq(h[i].Value, ",") {
			if strings.EqualFold(strings.Trim(part, " \t"), element) {
				return true
			}
		}
	}
	return false
}

// ClosesConnection reports whether the connection is closed after the message.
func (h Header) ClosesConnection(version string) bool {
	return h.HasElement("Connection", "close") || version == "HTTP/1.0" && !h.HasElement("Connection", "keep-alive")
}

// hopByHop lists the fields that concern one connection only and those that frame a body, which each hop writes anew.
// Fields named by Connection are hop-by-hop as well.
var hopByHop = [...]string{
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"TE",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Content-Length",
	"Expect",
}

// IsEndToEnd reports whether a field of the header is forwarded to the next hop.
func (h Header) IsEndToEnd(name string) bool {
	for _, hop := range hopByHop {
		if len(hop) == len(name) && strings.EqualFold(hop, name) {
			return false
		}
	}
	return !h.HasElement("Connection", name)
}

// parseField parses one line of a header or trailer.
func parseField(line string) (name, value string, ok bool) {
	name, value, ok = strings.Cut(line, ":")
	if !ok || !IsToken(name) || strings.ContainsFunc(value, isControl) {
		return "", "", false
	}
	return name, strings.Trim(value, " \t"), true
}

// isControl reports whether c is a control character other than tab, none of which is allowed in a field value.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

// IsToken reports whether s is an HTTP token.
func IsToken(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c <= ' ' || c >= 0x7f || strings.IndexByte(`()<>@,;:\"/[]?={}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

// IsVisibleASCII reports whether s consists of visible ASCII characters. Other bytes in a target or an id could be
// interpreted differently by the next hop, or end its line there.
func IsVisibleASCII(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}
