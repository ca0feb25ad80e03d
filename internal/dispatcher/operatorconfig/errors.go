package operatorconfig

import (
	"errors"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"

	"cinderroad/internal/dispatcher/configerror"
)

// fileKind begins the text of each error.
const fileKind = "operator's file"

// typeErrorPattern matches the TOML library's message for a value of the wrong type, which has no error type of its own.
var typeErrorPattern = regexp.MustCompile(`line (\d+) \(last key "([^"]+)"\): (.*)`)

// newDecodeError converts an error of the TOML library, with the line and key that it reports.
func newDecodeError(path string, err error) *configerror.Error {
	var syntax toml.ParseError
	if errors.As(err, &syntax) {
		cause := errors.New(syntax.Message)
		if syntax.Message == "" {
			cause = err
		}
		return &configerror.Error{File: fileKind, Path: path, Line: syntax.Position.Line, Key: syntax.LastKey, Err: cause}
	}
	if match := typeErrorPattern.FindStringSubmatch(err.Error()); match != nil {
		line, _ := strconv.Atoi(match[1])
		return &configerror.Error{File: fileKind, Path: path, Line: line, Key: match[2], Err: errors.New(match[3])}
	}
	return &configerror.Error{File: fileKind, Path: path, Err: err}
}

// unknownKey returns the error for a key that no section has.
func (c *Config) unknownKey(key toml.Key) error {
	text := "unknown key"
	if key[0] == "fleet" {
		text += "; [fleet] has " + strings.Join(keysOf(Cluster{}), ", ")
	}
	return c.keyError(key.String(), errors.New(text))
}

// keysOf returns the keys of a section, in the order of its fields.
func keysOf(section any) (keys []string) {
	fields := reflect.TypeOf(section)
	for i := range fields.NumField() {
		if key := fields.Field(i).Tag.Get("toml"); key != "" && key != "-" {
			keys = append(keys, key)
		}
	}
	return keys
}

// keyError returns the error for a key, with its line. Keys of receivers are numbered from 0: graphite[1].form is of the
// second.
func (c *Config) keyError(key string, err error) error {
	return &configerror.Error{File: fileKind, Path: c.path, Line: c.lineOf(key), Key: key, Err: err}
}

// keyErrorFunc returns the error for a key of one section.
type keyErrorFunc func(key string, err error) error

// sectionErrors returns the keyErrorFunc of a section, named with its number if there may be several.
func (c *Config) sectionErrors(name string) keyErrorFunc {
	return func(key string, err error) error { return c.keyError(name+"."+key, err) }
}

// keyPattern matches a key with its section and, if there is one, the section's number.
var keyPattern = regexp.MustCompile(`^(\w+)(?:\[(\d+)\])?\.(.+)$`)

// lineOf returns the line of a key or section header, from 1; 0 if it is not in the file.
func (c *Config) lineOf(key string) int {
	section := ""
	wantedIndex := 0
	name := key
	if match := keyPattern.FindStringSubmatch(key); match != nil {
		section = match[1]
		name = match[3]
		wantedIndex, _ = strconv.Atoi(match[2])
	}
	current, index := "", -1 // the section of the line, and the index of the wanted section so far
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
