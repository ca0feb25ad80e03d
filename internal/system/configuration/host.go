package configuration

import "strings"

// NormalizeHost returns the form in which hosts are compared: in lower case, without port, brackets and final dot.
func NormalizeHost(host string) string {
	if address, rest, bracketed := strings.Cut(host, "]"); bracketed && strings.HasPrefix(host, "[") {
		if rest == "" || rest[0] == ':' {
			return strings.ToLower(address[1:])
		}
	}
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(strings.TrimSuffix(name, "."))
}
