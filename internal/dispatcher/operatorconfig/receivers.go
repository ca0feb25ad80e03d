package operatorconfig

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strings"
)

// Graphite is a section [graphite]: a receiver that speaks one of Graphite's protocols.
type Graphite struct {
	Address  string `toml:"address"` // IP address and port
	Protocol string `toml:"form"`    // "plaintext" or "pickle"
	Prefix   string `toml:"prefix"`  // precedes the dispatcher's name in every path
	// Confirm says when a batch counts as delivered: "close", once the receiver has closed the connection in answer to
	// our close; or "none", once its kernel has acknowledged it, for relays that never close.
	Confirm string `toml:"confirm"`
	// TimeoutSeconds without progress end an attempt to deliver.
	TimeoutSeconds  float64 `toml:"patience_s"`
	IntervalSeconds float64 `toml:"every_s"` // another place for Telemetry.IntervalSeconds; 0 if not set here

	ParsedAddress netip.AddrPort `toml:"-"` // set from Address when the file is checked
}

// Collectd is a section [collectd]: a collectd, reached by its unix socket or by its network protocol.
type Collectd struct {
	Socket         string  `toml:"socket"`   // path; either this or Address is set
	Address        string  `toml:"address"`  // IP address and UDP port
	Security       string  `toml:"security"` // of the network protocol: "none", "sign" or "encrypt"
	Username       string  `toml:"username"`
	PasswordFile   string  `toml:"password_file"`
	TimeoutSeconds float64 `toml:"patience_s"` // without progress, of the socket

	// Set from Address and PasswordFile when the file is checked. The password must not be logged.
	ParsedAddress netip.AddrPort `toml:"-"`
	Password      string         `toml:"-"`
}

// DefaultTimeoutSeconds is the default of patience_s of all receivers, as in deploy/operator.toml.
const DefaultTimeoutSeconds = 20.0

// Bounds of the receivers' keys.
const (
	minTimeoutSeconds     = 1
	maxTimeoutSeconds     = 3600
	maxUsernameBytes      = 256
	maxPasswordBytes      = 4096
	otherUsersPermissions = 0o077 // permission bits that a password file must not have
)

// defaultPrefix is the default of Graphite.Prefix.
const defaultPrefix = "cinderroad"

// prefixPattern matches the prefixes that are safe in paths of all of Graphite's protocols.
var prefixPattern = regexp.MustCompile(`^[A-Za-z0-9_-]+(\.[A-Za-z0-9_-]+)*$`)

// validate checks the section and applies defaults.
func (g *Graphite) validate(errorAt keyErrorFunc) (err error) {
	if g.ParsedAddress, err = parseAddress(g.Address); err != nil {
		return errorAt("address", err)
	}
	if err := validateChoice(&g.Protocol, "plaintext", "pickle"); err != nil {
		return errorAt("form", err)
	}
	if err := validateChoice(&g.Confirm, "close", "none"); err != nil {
		return errorAt("confirm", err)
	}
	if err := validateSeconds(&g.TimeoutSeconds, DefaultTimeoutSeconds, minTimeoutSeconds, maxTimeoutSeconds); err != nil {
		return errorAt("patience_s", err)
	}
	if g.Prefix == "" {
		g.Prefix = defaultPrefix
	}
	if !prefixPattern.MatchString(g.Prefix) {
		return errorAt("prefix", fmt.Errorf("%q: letters, digits, _ and - between dots", g.Prefix))
	}
	return nil
}

// validate checks the section, applies defaults and reads the password.
func (c *Collectd) validate(errorAt keyErrorFunc) (err error) {
	switch {
	case (c.Socket == "") == (c.Address == ""):
		return errorAt("socket", errors.New("either socket or address is required"))
	case c.Address != "":
		if c.ParsedAddress, err = parseAddress(c.Address); err != nil {
			return errorAt("address", err)
		}
	}
	if err := validateChoice(&c.Security, "none", "sign", "encrypt"); err != nil {
		return errorAt("security", err)
	}
	if err := validateSeconds(&c.TimeoutSeconds, DefaultTimeoutSeconds, minTimeoutSeconds, maxTimeoutSeconds); err != nil {
		return errorAt("patience_s", err)
	}
	return c.validateSecurity(errorAt)
}

// validateSecurity checks the keys for signing or encrypting messages and reads the password.
func (c *Collectd) validateSecurity(errorAt keyErrorFunc) (err error) {
	switch {
	case c.Security == "none" && (c.Username != "" || c.PasswordFile != ""):
		return errorAt("security", errors.New("username and password_file are for sign or encrypt"))
	case c.Security == "none":
		return nil
	case c.Socket != "":
		return errorAt("security", errors.New("not supported by the Unix socket"))
	case c.Username == "" || len(c.Username) > maxUsernameBytes:
		return errorAt("username", fmt.Errorf("is required, with at most %d bytes", maxUsernameBytes))
	case c.PasswordFile == "":
		return errorAt("password_file", errors.New("is required"))
	}
	if c.Password, err = readPassword(c.PasswordFile); err != nil {
		return errorAt("password_file", err)
	}
	return nil
}

// readPassword reads a password from a file of one line, which must not be accessible to other users. No error contains
// any of its text.
func readPassword(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", err
	}
	if info.Mode().Perm()&otherUsersPermissions != 0 {
		return "", fmt.Errorf("%s has permissions for other users (%v): chmod 600", path, info.Mode().Perm())
	}
	if info.Size() > maxPasswordBytes {
		return "", fmt.Errorf("%s is too long for a password", path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	password := strings.TrimRight(string(text), "\r\n")
	if password == "" || strings.ContainsAny(password, "\r\n") {
		return "", fmt.Errorf("%s must hold one line", path)
	}
	return password, nil
}
