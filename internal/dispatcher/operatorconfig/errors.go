package operatorconfig

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
)

// Error is what is wrong with a file.
type Error struct {
	Path string
	Line int    // 0 is not known
	Key  string // as section.key, empty where it is none's
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	where := e.Path
	if e.Line > 0 {
		where = fmt.Sprintf("%s:%d", where, e.Line)
	}
	if e.Key != "" {
		where += ": " + e.Key
	}
	return fmt.Sprintf("operator's file: %s: %v", where, e.Err)
}

// Unwrap implements errors.
func (e *Error) Unwrap() error { return e.Err }

// typeErrorPattern is how the TOML library tells of a value of the wrong kind.
var typeErrorPattern = regexp.MustCompile(`line (\d+) \(last key "([^"]+)"\): (.*)`)

// newDecodeError makes an error of one of the TOML library, with the line and the key that it tells.
func newDecodeError(path string, err error) *Error {
	var syntax toml.ParseError
	if errors.As(err, &syntax) {
		cause := errors.New(syntax.Message)
		if syntax.Message == "" {
			cause = err
		}
		return &Error{Path: path, Line: syntax.Position.Line, Key: syntax.LastKey, Err: cause}
	}
	if match := typeErrorPattern.FindStringSubmatch(err.Error()); match != nil {
		line, _ := strconv.Atoi(match[1])
		return &Error{Path: path, Line: line, Key: match[2], Err: errors.New(match[3])}
	}
	return &Error{Path: path, Err: err}
}

func (c *Config) unknownKey(key toml.Key) error {
	text := "unknown key"
	if key[0] == "fleet" {
		text += "; [fleet] has name, bind, advertise, seeds, period_s, forget_s, whole and discovery"
	}
	return c.keyError(key.String(), errors.New(text))
}

// keyError makes an error of a key. A key of the second receiver of a kind is named with its number, as graphite[1].form.
func (c *Config) keyError(key string, err error) error {
	return &Error{Path: c.path, Line: c.lineOf(key), Key: key, Err: err}
}

// keyErrorFunc makes errors of the keys of one section.
type keyErrorFunc func(key string, err error) error

// sectionErrors makes errors of the keys of a section, which is named with its number if there may be several.
func (c *Config) sectionErrors(name string) keyErrorFunc {
	return func(key string, err error) error { return c.keyError(name+"."+key, err) }
}

// keyPattern is a key with its section and the section's number.
var keyPattern = regexp.MustCompile(`^(\w+)(?:\[(\d+)\])?\.(.+)$`)

// lineOf finds the line of a key; 0 if it is not there.
func (c *Config) lineOf(key string) int {
	section, wantedIndex, name := "", 0, key
	if match := keyPattern.FindStringSubmatch(key); match != nil {
		section, name = match[1], match[3]
		wantedIndex, _ = strconv.Atoi(match[2])
	}
	current, index := "", -1 // the section that a line is in, and how many of the wanted name came before it
	for i, line := range strings.Split(c.text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			header, _, _ := strings.Cut(strings.Trim(line, "["), "]")
			current = strings.TrimSpace(header)
			if current == section {
				index++
			}
			if current == key {
				return i + 1
			}
			continue
		}
		lineKey, _, assigned := strings.Cut(line, "=")
		lineKey = strings.Trim(strings.TrimSpace(lineKey), `"`)
		if assigned && current == section && lineKey == name && max(index, 0) == wantedIndex {
			return i + 1
		}
	}
	return 0
}
