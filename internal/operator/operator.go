// Package operator reads the operator's file, deploy/operator.toml: what is set by whoever runs a dispatcher, beside the
// deployment's own configuration. Every key that is not known is an error, and every error names the file, the line where
// there is one, and the key.
package operator

import (
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
)

// File is the operator's file. A section that is not there is off.
type File struct {
	Graphite   []Graphite  `toml:"-"`
	Collectd   []Collectd  `toml:"-"`
	Telemetry  Telemetry   `toml:"telemetry"`
	RequestLog *RequestLog `toml:"request_log"`
	Fleet      *Fleet      `toml:"fleet"`

	// One receiver may be a table, several are an array of tables.
	RawGraphite toml.Primitive `toml:"graphite"`
	RawCollectd toml.Primitive `toml:"collectd"`

	path string
	text string
}

// Graphite is a receiver of Graphite's protocols.
type Graphite struct {
	Address  string  `toml:"address"`
	Form     string  `toml:"form"`
	Prefix   string  `toml:"prefix"`
	Confirm  string  `toml:"confirm"`
	Patience float64 `toml:"patience_s"`
	Every    float64 `toml:"every_s"` // short for telemetry.every_s

	Addr netip.AddrPort `toml:"-"`
}

// Collectd is a collectd, by its unix socket or by its network protocol.
type Collectd struct {
	Socket       string  `toml:"socket"`
	Address      string  `toml:"address"`
	Security     string  `toml:"security"`
	Username     string  `toml:"username"`
	PasswordFile string  `toml:"password_file"`
	Patience     float64 `toml:"patience_s"`

	Addr     netip.AddrPort `toml:"-"`
	Password string         `toml:"-"`
}

// Telemetry is how periods are closed and held.
type Telemetry struct {
	Every       float64 `toml:"every_s"`
	MemoryBytes int     `toml:"memory_bytes"`
	SpoolDir    string  `toml:"spool_dir"`
	SpoolBytes  int64   `toml:"spool_bytes"`
	NodeSeries  *int    `toml:"node_series"`
}

// RequestLog is where a line for each final answer goes.
type RequestLog struct {
	Path     string `toml:"path"`
	MaxBytes int64  `toml:"max_bytes"`
	Keep     *int   `toml:"keep"`
}

// The defaults, which deploy/operator.toml tells, too.
const (
	DefaultEvery       = 10.0
	DefaultMemoryBytes = 1 << 20
	DefaultSpoolBytes  = 64 << 20
	DefaultNodeSeries  = 256
	DefaultPatience    = 20.0
	DefaultLogBytes    = 64 << 20
	DefaultLogKeep     = 4
	leastSpoolBytes    = 64 << 10
	mostNodes          = 20000
)

// Default is what holds without a file.
func Default() *File {
	f := &File{}
	if err := f.check(); err != nil {
		panic(err) // of constants
	}
	return f
}

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

// Read reads and checks a file. Errors are of type *Error.
func Read(path string) (*File, error) {
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
func Parse(path, text string) (*File, error) {
	f := &File{path: path, text: text}
	meta, err := toml.Decode(text, f)
	if err == nil {
		f.Graphite, err = tables[Graphite](meta, "graphite", f.RawGraphite)
	}
	if err == nil {
		f.Collectd, err = tables[Collectd](meta, "collectd", f.RawCollectd)
	}
	if err != nil {
		e := &Error{Path: path, Err: err}
		var syntax toml.ParseError
		if errors.As(err, &syntax) {
			e.Line, e.Key, e.Err = syntax.Position.Line, syntax.LastKey, errors.New(syntax.Message)
			if e.Err.Error() == "" {
				e.Err = err
			}
		} else if m := mistyped.FindStringSubmatch(err.Error()); m != nil {
			e.Line, _ = strconv.Atoi(m[1])
			e.Key, e.Err = m[2], errors.New(m[3])
		}
		return nil, e
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		text := "unknown key"
		if unknown[0][0] == "fleet" {
			text += "; [fleet] has name, bind, advertise, seeds, period_s, forget_s, whole and discovery"
		}
		return nil, f.wrong(unknown[0].String(), errors.New(text))
	}
	if err := f.check(); err != nil {
		return nil, err
	}
	return f, nil
}

// mistyped is how the library tells of a value of the wrong kind.
var mistyped = regexp.MustCompile(`line (\d+) \(last key "([^"]+)"\): (.*)`)

// tables reads [name] or each [[name]].
func tables[T any](meta toml.MetaData, name string, raw toml.Primitive) (all []T, err error) {
	if !meta.IsDefined(name) {
		return nil, nil
	}
	if meta.Type(name) == "Hash" {
		var one T
		err = meta.PrimitiveDecode(raw, &one)
		return []T{one}, err
	}
	err = meta.PrimitiveDecode(raw, &all)
	return all, err
}

// wrong makes an error of a key. A key of the second receiver of a kind is named with its number, as graphite[1].form.
func (f *File) wrong(key string, err error) error { return &Error{f.path, f.line(key), key, err} }

var numbered = regexp.MustCompile(`^(\w+)(?:\[(\d+)\])?\.(.+)$`)

// line finds the line of a key; 0 if it is not there.
func (f *File) line(key string) int {
	section, wanted, name := "", 0, key
	if m := numbered.FindStringSubmatch(key); m != nil {
		section, name = m[1], m[3]
		wanted, _ = strconv.Atoi(m[2])
	}
	at, seen := "", -1
	for i, line := range strings.Split(f.text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			head, _, _ := strings.Cut(strings.Trim(line, "["), "]")
			at = strings.TrimSpace(head)
			if at == section {
				seen++
			}
			if at == key {
				return i + 1
			}
			continue
		}
		left, _, ok := strings.Cut(line, "=")
		if left = strings.Trim(strings.TrimSpace(left), `"`); ok && at == section && left == name && max(seen, 0) == wanted {
			return i + 1
		}
	}
	return 0
}

// in makes a path of the file its own.
func (f *File) in(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(f.path), path)
}

func (f *File) check() error {
	for i := range f.Graphite {
		if every := f.Graphite[i].Every; every != 0 { // one period for all: each is closed once
			if t := f.Telemetry.Every; t != 0 && t != every {
				return f.wrong(fmt.Sprintf("graphite[%d].every_s", i), fmt.Errorf("%v, and %v elsewhere: all receivers share one period", every, t))
			}
			f.Telemetry.Every = every
		}
		if err := f.Graphite[i].check(func(key string, err error) error {
			return f.wrong(fmt.Sprintf("graphite[%d].%s", i, key), err)
		}); err != nil {
			return err
		}
	}
	for i := range f.Collectd {
		c := &f.Collectd[i]
		c.PasswordFile = f.in(c.PasswordFile)
		if err := c.check(func(key string, err error) error {
			return f.wrong(fmt.Sprintf("collectd[%d].%s", i, key), err)
		}); err != nil {
			return err
		}
	}
	if err := f.Telemetry.check(func(key string, err error) error { return f.wrong("telemetry."+key, err) }); err != nil {
		return err
	}
	f.Telemetry.SpoolDir = f.in(f.Telemetry.SpoolDir)
	if l := f.RequestLog; l != nil {
		if err := l.check(func(key string, err error) error { return f.wrong("request_log."+key, err) }); err != nil {
			return err
		}
		l.Path = f.in(l.Path)
	}
	if f.Fleet != nil {
		if err := f.Fleet.check(func(key string, err error) error { return f.wrong("fleet."+key, err) }); err != nil {
			return err
		}
		switch {
		case f.Fleet.Ledger != "":
			f.Fleet.Ledger = f.in(f.Fleet.Ledger)
		case f.RequestLog != nil:
			f.Fleet.Ledger = f.RequestLog.Path + ".ledger"
		}
	}
	return f.apart()
}

// apart says which two receivers are one: each would get every point twice, and what one has got is kept by its name.
func (f *File) apart() error {
	seen := map[string]bool{}
	for i, g := range f.Graphite {
		if seen[g.Addr.String()] {
			return f.wrong(fmt.Sprintf("graphite[%d].address", i), fmt.Errorf("%s is there twice", g.Addr))
		}
		seen[g.Addr.String()] = true
	}
	clear(seen)
	for i, c := range f.Collectd {
		key, name := "socket", c.Socket
		if c.Address != "" {
			key, name = "address", c.Addr.String()
		}
		if seen[name] {
			return f.wrong(fmt.Sprintf("collectd[%d].%s", i, key), fmt.Errorf("%s is there twice", name))
		}
		seen[name] = true
	}
	return nil
}

type wrong func(key string, err error) error

func address(text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		return a, fmt.Errorf("%q is no IP address and port, like 127.0.0.1:7946", text)
	case a.Port() == 0:
		return a, fmt.Errorf("%s has no port", text)
	}
	return a, nil
}

func oneOf(value *string, first string, rest ...string) error {
	if *value == "" {
		*value = first
	}
	for _, v := range append(rest, first) {
		if *value == v {
			return nil
		}
	}
	return fmt.Errorf("%q is none of %s", *value, strings.Join(append([]string{first}, rest...), ", "))
}

func seconds(value *float64, fallback, least, most float64) error {
	if *value == 0 {
		*value = fallback
	}
	if !(*value >= least && *value <= most) {
		return fmt.Errorf("%v is not within %v and %v seconds", *value, least, most)
	}
	return nil
}

var plainPath = regexp.MustCompile(`^[A-Za-z0-9_-]+(\.[A-Za-z0-9_-]+)*$`)

func (g *Graphite) check(wrong wrong) (err error) {
	if g.Addr, err = address(g.Address); err != nil {
		return wrong("address", err)
	}
	if err := oneOf(&g.Form, "plaintext", "pickle"); err != nil {
		return wrong("form", err)
	}
	if err := oneOf(&g.Confirm, "close", "none"); err != nil {
		return wrong("confirm", err)
	}
	if err := seconds(&g.Patience, DefaultPatience, 1, 3600); err != nil {
		return wrong("patience_s", err)
	}
	if g.Prefix == "" {
		g.Prefix = "cinderroad"
	}
	if !plainPath.MatchString(g.Prefix) {
		return wrong("prefix", fmt.Errorf("%q: letters, digits, _ and - between dots", g.Prefix))
	}
	return nil
}

func (c *Collectd) check(wrong wrong) (err error) {
	switch {
	case (c.Socket == "") == (c.Address == ""):
		return wrong("socket", errors.New("either socket or address must be there"))
	case c.Address != "":
		if c.Addr, err = address(c.Address); err != nil {
			return wrong("address", err)
		}
	}
	if err := oneOf(&c.Security, "none", "sign", "encrypt"); err != nil {
		return wrong("security", err)
	}
	if err := seconds(&c.Patience, DefaultPatience, 1, 3600); err != nil {
		return wrong("patience_s", err)
	}
	switch {
	case c.Security == "none" && (c.Username != "" || c.PasswordFile != ""):
		return wrong("security", errors.New("username and password_file are for sign or encrypt"))
	case c.Security == "none":
		return nil
	case c.Socket != "":
		return wrong("security", errors.New("the unix socket has none"))
	case c.Username == "" || len(c.Username) > 256:
		return wrong("username", errors.New("must be there, with 256 bytes at most"))
	case c.PasswordFile == "":
		return wrong("password_file", errors.New("must be there"))
	}
	if c.Password, err = password(c.PasswordFile); err != nil {
		return wrong("password_file", err)
	}
	return nil
}

// password reads a key from a file that nobody else may read. No error holds any of it.
func password(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return "", fmt.Errorf("%s has rights for others (%v): chmod 600", path, info.Mode().Perm())
	}
	if info.Size() > 4096 {
		return "", fmt.Errorf("%s is too long for a password", path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	key := strings.TrimRight(string(text), "\r\n")
	if key == "" || strings.ContainsAny(key, "\r\n") {
		return "", fmt.Errorf("%s must hold one line", path)
	}
	return key, nil
}

func (t *Telemetry) check(wrong wrong) error {
	if err := seconds(&t.Every, DefaultEvery, 1, 3600); err != nil {
		return wrong("every_s", err)
	}
	if t.MemoryBytes == 0 {
		t.MemoryBytes = DefaultMemoryBytes
	}
	if t.MemoryBytes < 4096 {
		return wrong("memory_bytes", fmt.Errorf("%d is below 4096", t.MemoryBytes))
	}
	if t.SpoolBytes == 0 {
		t.SpoolBytes = DefaultSpoolBytes
	}
	if t.SpoolBytes < leastSpoolBytes {
		return wrong("spool_bytes", fmt.Errorf("%d is below %d", t.SpoolBytes, leastSpoolBytes))
	}
	if t.NodeSeries == nil {
		n := DefaultNodeSeries
		t.NodeSeries = &n
	}
	if *t.NodeSeries < 0 || *t.NodeSeries > mostNodes {
		return wrong("node_series", fmt.Errorf("%d is not within 0 and %d nodes", *t.NodeSeries, mostNodes))
	}
	return nil
}

func (l *RequestLog) check(wrong wrong) error {
	if l.Path == "" {
		return wrong("path", errors.New("must be there"))
	}
	if l.MaxBytes == 0 {
		l.MaxBytes = DefaultLogBytes
	}
	if l.MaxBytes < 4096 {
		return wrong("max_bytes", fmt.Errorf("%d is below 4096", l.MaxBytes))
	}
	if l.Keep == nil {
		n := DefaultLogKeep
		l.Keep = &n
	}
	if *l.Keep < 0 || *l.Keep > 1000 {
		return wrong("keep", fmt.Errorf("%d is not within 0 and 1000", *l.Keep))
	}
	return nil
}

// Text is what the file says; empty is none.
func (f *File) Text() string { return f.text }

// own are the keys that say where a member's own things are.
var own = []string{"bind", "advertise", "seeds", "ledger", "path", "spool_dir"}

// Common is what the file says but for comments and where the member's own things are, so that members whose files say the same show it.
func (f *File) Common() string {
	var out strings.Builder
	for _, line := range strings.Split(f.text, "\n") {
		line = strings.TrimSpace(line)
		key, _, _ := strings.Cut(line, "=")
		if line != "" && line[0] != '#' && !slices.Contains(own, strings.TrimSpace(key)) {
			out.WriteString(line + "\n")
		}
	}
	return out.String()
}

// Path is where the file was read from; empty is none.
func (f *File) Path() string { return f.path }
