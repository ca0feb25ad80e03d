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
	leastPatience     = 1    // seconds
	mostPatience      = 3600 // seconds
	mostUsernameBytes = 256
	mostPasswordBytes = 4096
	rightsOfOthers    = 0o077 // of a password's file
)

const defaultPrefix = "cinderroad"

var plainPath = regexp.MustCompile(`^[A-Za-z0-9_-]+(\.[A-Za-z0-9_-]+)*$`)

func (g *Graphite) check(wrong sectionError) (err error) {
	if g.ParsedAddress, err = parseAddress(g.Address); err != nil {
		return wrong("address", err)
	}
	if err := checkChoice(&g.Protocol, "plaintext", "pickle"); err != nil {
		return wrong("form", err)
	}
	if err := checkChoice(&g.Confirm, "close", "none"); err != nil {
		return wrong("confirm", err)
	}
	if err := checkSeconds(&g.TimeoutSeconds, DefaultTimeoutSeconds, leastPatience, mostPatience); err != nil {
		return wrong("patience_s", err)
	}
	if g.Prefix == "" {
		g.Prefix = defaultPrefix
	}
	if !plainPath.MatchString(g.Prefix) {
		return wrong("prefix", fmt.Errorf("%q: letters, digits, _ and - between dots", g.Prefix))
	}
	return nil
}

func (c *Collectd) check(wrong sectionError) (err error) {
	switch {
	case (c.Socket == "") == (c.Address == ""):
		return wrong("socket", errors.New("either socket or address must be there"))
	case c.Address != "":
		if c.ParsedAddress, err = parseAddress(c.Address); err != nil {
			return wrong("address", err)
		}
	}
	if err := checkChoice(&c.Security, "none", "sign", "encrypt"); err != nil {
		return wrong("security", err)
	}
	if err := checkSeconds(&c.TimeoutSeconds, DefaultTimeoutSeconds, leastPatience, mostPatience); err != nil {
		return wrong("patience_s", err)
	}
	return c.checkSecurity(wrong)
}

// checkSecurity checks what messages are signed or encrypted with, and reads the password.
func (c *Collectd) checkSecurity(wrong sectionError) (err error) {
	switch {
	case c.Security == "none" && (c.Username != "" || c.PasswordFile != ""):
		return wrong("security", errors.New("username and password_file are for sign or encrypt"))
	case c.Security == "none":
		return nil
	case c.Socket != "":
		return wrong("security", errors.New("the unix socket has none"))
	case c.Username == "" || len(c.Username) > mostUsernameBytes:
		return wrong("username", fmt.Errorf("must be there, with %d bytes at most", mostUsernameBytes))
	case c.PasswordFile == "":
		return wrong("password_file", errors.New("must be there"))
	}
	if c.Password, err = readPassword(c.PasswordFile); err != nil {
		return wrong("password_file", err)
	}
	return nil
}

// readPassword reads a key from a file that nobody else may read. No error holds any of it.
func readPassword(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", err
	}
	if info.Mode().Perm()&rightsOfOthers != 0 {
		return "", fmt.Errorf("%s has rights for others (%v): chmod 600", path, info.Mode().Perm())
	}
	if info.Size() > mostPasswordBytes {
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
