package scenarios

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
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

const (
	// firstExamplePort and examplePorts are the range of ports that the examples use.
	firstExamplePort = 7100
	examplePorts     = 1200
	// firstMovedPort is below the ports that the system gives to outgoing connections.
	firstMovedPort = 19_000
)

var loopbackAddress = regexp.MustCompile(`127\.0\.0\.1:(\d+)`)

// movePorts returns a function that replaces the examples' ports by free ones, so that the test
// does not talk to whatever else listens on them.
func movePorts(t *testing.T) func(string) string {
	t.Helper()
	base := firstMovedPort
	for !allFree(base) {
		base += examplePorts
		require.Less(t, base, 31_000, "no free range of ports")
	}
	return func(text string) string {
		return loopbackAddress.ReplaceAllStringFunc(text, func(address string) string {
			port, err := strconv.Atoi(strings.TrimPrefix(address, "127.0.0.1:"))
			if err != nil || port < firstExamplePort || port >= firstExamplePort+examplePorts {
				return address
			}
			return "127.0.0.1:" + strconv.Itoa(port-firstExamplePort+base)
		})
	}
}

// allFree says whether no one listens on the ports of a range.
func allFree(base int) bool {
	for port := base; port < base+examplePorts; port++ {
		listener, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

func movePortsOfFiles(t *testing.T, dir string, move func(string) string) {
	t.Helper()
	require.NoError(t, filepath.WalkDir(dir, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(path, []byte(move(string(data))), 0o600)
	}))
}

// withServer names the default server in the commands that leave it out.
func withServer(commands []string) []string {
	client := regexp.MustCompile(`\./oleanderbend (apply|get|delete|watch|timeline|explain)\b`)
	out := make([]string, len(commands))
	for i, command := range commands {
		if !strings.Contains(command, "--server") && !strings.Contains(command, "$S") {
			command = client.ReplaceAllString(command, "$0 --server 127.0.0.1:7161")
		}
		out[i] = command
	}
	return out
}

// Guards against a first-hour page whose commands do not work as written.
func TestFirstHourPage(t *testing.T) {
	commands := pageCommands(t, filepath.Join("..", "docs", "operators", "first-hour.md"))
	require.Greater(t, len(commands), 10)
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(filepath.Join(dir, "examples"), os.DirFS(filepath.Join("..", "examples"))))
	move := movePorts(t)
	movePortsOfFiles(t, filepath.Join(dir, "examples"), move)
	root, err := filepath.Abs("..")
	require.NoError(t, err)
	script := strings.ReplaceAll(move(pageScript(withServer(commands))), "go build -o oleanderbend", "go build -C "+root+" -o "+dir+"/oleanderbend")
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
