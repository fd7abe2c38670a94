package scenarios

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// pageCommands returns the commands of an operators' page: the indented lines that begin with a
// word of its shell.
func pageCommands(t *testing.T, page string) []string {
	t.Helper()
	data, err := os.ReadFile(page)
	require.NoError(t, err)
	var commands []string
	for line := range strings.Lines(string(data)) {
		command, indented := strings.CutPrefix(strings.TrimRight(line, "\n"), "    ")
		if !indented {
			continue
		}
		for _, word := range []string{"go build", "S=", "./oleanderbend", "for ", "curl "} {
			if strings.HasPrefix(command, word) {
				commands = append(commands, command)
			}
		}
	}
	return commands
}

// pageScript makes one shell script of the page's commands. Commands that never end or need an
// editor are bounded or left out; where the page waits for a state, the script waits too.
func pageScript(commands []string) string {
	var script strings.Builder
	script.WriteString("set -e\ntrap 'kill $(jobs -p) 2>/dev/null; wait' EXIT\n")
	for _, command := range commands {
		switch {
		case strings.Contains(command, " watch "):
			command = "timeout 2 " + command + " || test $? -eq 124"
		case strings.Contains(command, "policy"), strings.Contains(command, "request ID"):
			// They need a policy, or an id, that a reader makes by hand.
			continue
		case strings.Contains(command, "get instances"):
			command = "for n in $(seq 600); do " + command + " 2>/dev/null | grep -c 'alive *yes' | grep -q 6 && break; sleep 0.1; done\n" + command
		case strings.HasPrefix(command, "./oleanderbend standin"):
			command += "\nfor n in $(seq 600); do curl -sf http://127.0.0.1:8100/faults/ >/dev/null && break; sleep 0.1; done"
		}
		script.WriteString("echo '+ " + strings.ReplaceAll(command, "'", `'\''`) + "'\n" + command + "\n")
	}
	return script.String()
}

// Guards against a first-hour page whose commands do not work as written.
func TestFirstHourPage(t *testing.T) {
	commands := pageCommands(t, filepath.Join("..", "docs", "operators", "first-hour.md"))
	require.Greater(t, len(commands), 10)
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(filepath.Join(dir, "examples"), os.DirFS(filepath.Join("..", "examples"))))
	root, err := filepath.Abs("..")
	require.NoError(t, err)
	script := strings.ReplaceAll(pageScript(commands), "go build -o oleanderbend", "go build -C "+root+" -o "+dir+"/oleanderbend")
	cmd := exec.Command("bash", "-c", script)
	cmd.Dir = dir
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	// A file, not a pipe: the end of the script must not wait for processes that it left.
	file, err := os.Create(filepath.Join(dir, "output"))
	require.NoError(t, err)
	defer file.Close()
	cmd.Stdout, cmd.Stderr = file, file
	err = cmd.Run()
	_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
	out, readErr := os.ReadFile(file.Name())
	require.NoError(t, readErr)
	require.NoError(t, err, string(out))
	require.Contains(t, string(out), "jobs/forecast created")
}
