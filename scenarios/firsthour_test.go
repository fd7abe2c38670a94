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

// pageCommands returns the shell commands of a documentation page: the indented lines that begin with
// one of the known prefixes.
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

// pageScript combines the commands into one shell script. It limits the time of watch commands, which
// never end, leaves out commands that need a hand-written policy or a request id, and waits where a
// reader of the page would wait for a state.
func pageScript(commands []string) string {
	var script strings.Builder
	script.WriteString("set -e\ntrap 'kill $(jobs -p) 2>/dev/null; wait' EXIT\n")
	for _, command := range commands {
		switch {
		case strings.Contains(command, " watch "):
			command = "timeout 2 " + command + " || test $? -eq 124"
		case strings.Contains(command, "policy"), strings.Contains(command, "request ID"):
			// The command needs a policy or a request id that a reader provides.
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
	// firstExamplePort and examplePorts are the start and the length of the port range of the examples.
	firstExamplePort = 7100
	examplePortCount = 1200
	// firstReplacementPort is the first port that may replace an example port. The replacement ports are
	// below the ephemeral ports that the operating system assigns to outgoing connections.
	firstReplacementPort = 19_000
)

var loopbackAddress = regexp.MustCompile(`127\.0\.0\.1:(\d+)`)

// newPortReplacer returns a function that replaces the ports of the examples with free ports in a text.
// Another process on the machine may be listening on the original ports.
func newPortReplacer(t *testing.T) func(string) string {
	t.Helper()
	base := firstReplacementPort
	for !allFree(base) {
		base += examplePortCount
		require.Less(t, base, 31_000, "no free port range")
	}
	return func(text string) string {
		return loopbackAddress.ReplaceAllStringFunc(text, func(address string) string {
			port, err := strconv.Atoi(strings.TrimPrefix(address, "127.0.0.1:"))
			if err != nil || port < firstExamplePort || port >= firstExamplePort+examplePortCount {
				return address
			}
			return "127.0.0.1:" + strconv.Itoa(port-firstExamplePort+base)
		})
	}
}

// allFree reports whether all examplePorts ports from base are free.
func allFree(base int) bool {
	for port := base; port < base+examplePortCount; port++ {
		listener, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

func replacePortsInFiles(t *testing.T, dir string, replacePorts func(string) string) {
	t.Helper()
	require.NoError(t, filepath.WalkDir(dir, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(path, []byte(replacePorts(string(data))), 0o600)
	}))
}

// withDefaultServer adds the default server address to the client commands that name no server.
func withDefaultServer(commands []string) []string {
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

// Guards against commands on the first-hour page of the operators' documentation that do not work as
// written.
func TestFirstHourPage(t *testing.T) {
	commands := pageCommands(t, filepath.Join("..", "docs", "operators", "first-hour.md"))
	require.Greater(t, len(commands), 10)
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(filepath.Join(dir, "examples"), os.DirFS(filepath.Join("..", "examples"))))
	replacePorts := newPortReplacer(t)
	replacePortsInFiles(t, filepath.Join(dir, "examples"), replacePorts)
	root, err := filepath.Abs("..")
	require.NoError(t, err)
	script := strings.ReplaceAll(replacePorts(pageScript(withDefaultServer(commands))), "go build -o oleanderbend", "go build -C "+root+" -o "+dir+"/oleanderbend")
	cmd := exec.Command("bash", "-c", script)
	cmd.Dir = dir
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	// Write the output to a file: with a pipe, Run would also wait for processes that the script left
	// behind.
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
