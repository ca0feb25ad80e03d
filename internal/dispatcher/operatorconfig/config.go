// Package operator reads the operator's file, deploy/operator.toml: what is set by whoever runs a dispatcher, beside the
// deployment's own configuration. Every key that is not known is an error, and every error names the file, the line where
// there is one, and the key.
package operatorconfig

import (
	"errors"
	"io/fs"
	"os"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// Config is the operator's file. A section that is not there is off.
type Config struct {
	Graphite   []Graphite  `toml:"-"`
	Collectd   []Collectd  `toml:"-"`
	Telemetry  Telemetry   `toml:"telemetry"`
	RequestLog *RequestLog `toml:"request_log"`
	Cluster    *Cluster    `toml:"fleet"`

	// One receiver may be a table, several are an array of tables.
	RawGraphite toml.Primitive `toml:"graphite"`
	RawCollectd toml.Primitive `toml:"collectd"`

	path string
	text string
}

// Default is what holds without a file.
func Default() *Config {
	c := &Config{}
	if err := c.validate(); err != nil {
		panic(err) // of constants
	}
	return c
}

// Read reads and checks a file. Errors are of type *Error.
func Read(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		var cause *fs.PathError
		if errors.As(err, &cause) {
			err = cause.Err
		}
		return nil, &Error{Path: path, Err: err}
	}
	return Parse(path, string(text))
}

// Parse checks the text of a file; path is for messages, and for the places that the file names relative to its own.
// Errors are of type *Error.
func Parse(path, text string) (*Config, error) {
	c := &Config{path: path, text: text}
	meta, err := c.decode()
	if err != nil {
		return nil, newDecodeError(path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, c.unknownKey(unknown[0])
	}
	if err := c.validate(); err != nil {
		return nil, err
	}
	return c, nil
}

// decode fills the file's fields from its text. Errors are those of the TOML library.
func (c *Config) decode() (toml.MetaData, error) {
	meta, err := toml.Decode(c.text, c)
	if err != nil {
		return meta, err
	}
	if c.Graphite, err = decodeTables[Graphite](meta, "graphite", c.RawGraphite); err != nil {
		return meta, err
	}
	c.Collectd, err = decodeTables[Collectd](meta, "collectd", c.RawCollectd)
	return meta, err
}

// decodeTables reads [name] or each [[name]].
func decodeTables[T any](meta toml.MetaData, name string, raw toml.Primitive) (all []T, err error) {
	if !meta.IsDefined(name) {
		return nil, nil
	}
	if meta.Type(name) == "Hash" {
		var table T
		err = meta.PrimitiveDecode(raw, &table)
		return []T{table}, err
	}
	err = meta.PrimitiveDecode(raw, &all)
	return all, err
}

// Text is what the file says; empty is none.
func (c *Config) Text() string { return c.text }

// Path is where the file was read from; empty is none.
func (c *Config) Path() string { return c.path }

// memberKeys are the keys that say where a member's own things are.
var memberKeys = []string{"bind", "advertise", "seeds", "ledger", "path", "spool_dir"}

// Common is what the file says but for comments and where the member's own things are, so that members whose files say the same show it.
func (c *Config) Common() string {
	var out strings.Builder
	for _, line := range strings.Split(c.text, "\n") {
		line = strings.TrimSpace(line)
		key, _, _ := strings.Cut(line, "=")
		if line != "" && line[0] != '#' && !slices.Contains(memberKeys, strings.TrimSpace(key)) {
			out.WriteString(line + "\n")
		}
	}
	return out.String()
}
