// Package operatorconfig reads the operator's file of a dispatcher: receivers of metrics, the request log and cluster
// membership, which whoever runs a dispatcher sets beside the deployment's settings. deploy/operator.toml shows every key
// with its default.
//
// A Config returned by Read or Parse has been checked: defaults are filled in, addresses parsed, passwords read, and
// relative paths resolved against the file's folder. An unknown key is an error. Every error is an *Error that names the
// file, the line if there is one, and the key; none contains a password. The keys are the operators' interface and must
// not change with the names of the fields.
package operatorconfig

import (
	"errors"
	"io/fs"
	"os"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"

	"cinderroad/internal/dispatcher/configerror"
)

// Config is the content of the operator's file. A nil or empty section is off. It must not be changed after it was read.
type Config struct {
	Graphite   []Graphite  `toml:"-"`
	Collectd   []Collectd  `toml:"-"`
	Telemetry  Telemetry   `toml:"telemetry"`
	RequestLog *RequestLog `toml:"request_log"`
	Cluster    *Cluster    `toml:"fleet"`

	// RawGraphite and RawCollectd are for decoding only: one receiver may be a table, several are an array of tables.
	RawGraphite toml.Primitive `toml:"graphite"`
	RawCollectd toml.Primitive `toml:"collectd"`

	path string // empty: no file
	text string
}

// Default returns the configuration that applies without a file.
func Default() *Config {
	c := &Config{}
	if err := c.validate(); err != nil {
		panic(err) // the defaults are constants
	}
	return c
}

// Read reads and checks a file. Its errors are of type *Error.
func Read(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		var cause *fs.PathError
		if errors.As(err, &cause) {
			err = cause.Err
		}
		return nil, &configerror.Error{File: fileKind, Path: path, Err: err}
	}
	return Parse(path, string(text))
}

// Parse parses and checks the text of a file. The path is used in errors, and relative paths are resolved against its
// folder. Its errors are of type *Error.
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

// decode fills the fields from the text. Its errors are those of the TOML library.
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

// decodeTables decodes the one table [name] or every table [[name]].
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

// Text returns the text of the file; empty if there is none.
func (c *Config) Text() string { return c.text }

// Path returns the path of the file; empty if there is none.
func (c *Config) Path() string { return c.path }

// memberKeys are the keys whose values differ between the members of a cluster: addresses and paths.
var memberKeys = []string{"bind", "advertise", "seeds", "ledger", "path", "spool_dir"}

// Common returns the text without comments and without the keys that differ between members, so that members can compare
// hashes of it to find out whether they are configured alike.
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
