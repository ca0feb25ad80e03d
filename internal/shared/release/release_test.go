package release

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"strings"
	"testing"
)

func TestNameOf(t *testing.T) {
	const revision = "0123456789abcdef0123456789abcdef01234567"
	recorded := &debug.BuildInfo{Settings: []debug.BuildSetting{{Key: "vcs.revision", Value: revision}}}
	recorded.Main.Version = "(devel)"
	unrecorded := &debug.BuildInfo{}
	unrecorded.Main.Version = "(devel)"
	for _, tc := range []struct {
		name, stamp string
		info        *debug.BuildInfo
		want        string
	}{
		{"stamped", "0123456789ab+cafe", recorded, "0123456789ab+cafe"},
		{"stamped, nothing recorded", "sources-cafe", &debug.BuildInfo{}, "sources-cafe"},
		{"a commit", "", recorded, revision[:revisionLength]},
		{"no commit", "", unrecorded, "(devel)"},
		{"nothing", "", &debug.BuildInfo{}, unknown},
		{"too long", strings.Repeat("x", 100), recorded, strings.Repeat("x", maxLength)},
	} {
		if got := nameOf(tc.stamp, tc.info); got != tc.want {
			t.Errorf("%s: %q, want %q", tc.name, got, tc.want)
		}
	}
}

// sourceFolder is a folder of sources with the script that names them.
type sourceFolder struct {
	t    *testing.T
	path string
}

func newSourceFolder(t *testing.T) sourceFolder {
	t.Helper()
	folder := sourceFolder{t, t.TempDir()}
	script, err := os.ReadFile("../../../deploy/release.sh")
	if err != nil {
		t.Fatal(err)
	}
	folder.write("deploy/release.sh", string(script))
	folder.write("go.mod", "module x\n")
	folder.write("main.go", "package main\n")
	return folder
}

func (f sourceFolder) write(name, text string) {
	f.t.Helper()
	path := filepath.Join(f.path, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o640); err != nil {
		f.t.Fatal(err)
	}
}

func (f sourceFolder) run(program string, arguments ...string) string {
	f.t.Helper()
	command := exec.Command(program, arguments...)
	command.Dir = f.path
	command.Env = append(os.Environ(), "GIT_CONFIG_GLOBAL=/dev/null", "GIT_CEILING_DIRECTORIES="+filepath.Dir(f.path))
	output, err := command.CombinedOutput()
	if err != nil {
		f.t.Fatalf("%s %s: %v\n%s", program, strings.Join(arguments, " "), err, output)
	}
	return strings.TrimSpace(string(output))
}

func (f sourceFolder) name() string { return f.run("sh", "deploy/release.sh") }

// TestNamesOfSources: outside of version control, other sources have another name, and the same ones the same.
func TestNamesOfSources(t *testing.T) {
	first, second := newSourceFolder(t), newSourceFolder(t)
	if first.name() != second.name() || !strings.HasPrefix(first.name(), "sources-") {
		t.Errorf("the same sources are %q and %q", first.name(), second.name())
	}
	second.write("main.go", "package main // changed\n")
	if first.name() == second.name() {
		t.Errorf("other sources are %q, too", second.name())
	}
}

// TestNamesOfCommits: in a checkout, a name begins with the commit, and changed sources have names of their own.
func TestNamesOfCommits(t *testing.T) {
	if _, err := exec.LookPath("git"); err != nil {
		t.Skip(err)
	}
	folder := newSourceFolder(t)
	folder.run("git", "init", "-q")
	folder.run("git", "add", "-A")
	folder.run("git", "-c", "user.name=t", "-c", "user.email=t@example.com", "commit", "-qm", "first")
	commit := folder.run("git", "rev-parse", "--short=12", "HEAD")
	folder.write("notes.txt", "no source")
	if got := folder.name(); got != commit {
		t.Errorf("a commit is %q, want %q", got, commit)
	}
	folder.write("main.go", "package main // changed\n")
	changed := folder.name()
	folder.write("main.go", "package main // changed again\n")
	again := folder.name()
	if !strings.HasPrefix(changed, commit+"+") || !strings.HasPrefix(again, commit+"+") || changed == again {
		t.Errorf("changed sources are %q and %q", changed, again)
	}
}

// TestBuildsAreStamped: the build line's program prints its name, also where the go command records no commit.
func TestBuildsAreStamped(t *testing.T) {
	target := t.TempDir()
	command := exec.Command("sh", "../../../deploy/build.sh", target, "./cmd/cinderctl")
	command.Env = append(os.Environ(), "GOFLAGS=-buildvcs=false")
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	printed, err := exec.Command(filepath.Join(target, "cinderctl"), "version").Output()
	if err != nil {
		t.Fatal(err)
	}
	named, err := exec.Command("sh", "../../../deploy/release.sh").Output()
	if err != nil {
		t.Fatal(err)
	}
	name := strings.TrimSpace(string(named))
	if !strings.Contains(string(printed), " "+name+" ") {
		t.Errorf("the program prints %q, its sources are %q", printed, name)
	}
}
