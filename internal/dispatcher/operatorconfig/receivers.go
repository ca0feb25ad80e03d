package operatorconfig

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strings"
)

// Graphite is a receiver of Graphite's protocols.
type Graphite struct {
	Address         string  `toml:"address"`
	Protocol        string  `toml:"form"`
	Prefix          string  `toml:"prefix"`
	Confirm         string  `toml:"confirm"`
	TimeoutSeconds  float64 `toml:"patience_s"`
	IntervalSeconds float64 `toml:"every_s"` // short for telemetry.every_s

	ParsedAddress netip.AddrPort `toml:"-"`
}

// Collectd is a collectd, by its unix socket or by its network protocol.
type Collectd struct {
	Socket         string  `toml:"socket"`
	Address        string  `toml:"address"`
	Security       string  `toml:"security"`
	Username       string  `toml:"username"`
	PasswordFile   string  `toml:"password_file"`
	TimeoutSeconds float64 `toml:"patience_s"`

	ParsedAddress netip.AddrPort `toml:"-"`
	Password      string         `toml:"-"`
}

// DefaultTimeoutSeconds is for how many seconds a receiver is waited for, which deploy/operator.toml tells, too.
const DefaultTimeoutSeconds = 20.0

// Bounds of receivers' keys.
const (
	minTimeoutSeconds     = 1    // seconds
	maxTimeoutSeconds     = 3600 // seconds
	maxUsernameBytes      = 256
	maxPasswordBytes      = 4096
	otherUsersPermissions = 0o077 // of a password's file
)

const defaultPrefix = "cinderroad"

var prefixPattern = regexp.MustCompile(`^[A-Za-z0-9_-]+(\.[A-Za-z0-9_-]+)*$`)

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

func (c *Collectd) validate(errorAt keyErrorFunc) (err error) {
	switch {
	case (c.Socket == "") == (c.Address == ""):
		return errorAt("socket", errors.New("either socket or address must be there"))
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

// validateSecurity checks what messages are signed or encrypted with, and reads the password.
func (c *Collectd) validateSecurity(errorAt keyErrorFunc) (err error) {
	switch {
	case c.Security == "none" && (c.Username != "" || c.PasswordFile != ""):
		return errorAt("security", errors.New("username and password_file are for sign or encrypt"))
	case c.Security == "none":
		return nil
	case c.Socket != "":
		return errorAt("security", errors.New("the unix socket has none"))
	case c.Username == "" || len(c.Username) > maxUsernameBytes:
		return errorAt("username", fmt.Errorf("must be there, with %d bytes at most", maxUsernameBytes))
	case c.PasswordFile == "":
		return errorAt("password_file", errors.New("must be there"))
	}
	if c.Password, err = readPassword(c.PasswordFile); err != nil {
		return errorAt("password_file", err)
	}
	return nil
}

// readPassword reads a key from a file that nobody else may read. No error holds any of it.
func readPassword(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", err
	}
	if info.Mode().Perm()&otherUsersPermissions != 0 {
		return "", fmt.Errorf("%s has rights for others (%v): chmod 600", path, info.Mode().Perm())
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
