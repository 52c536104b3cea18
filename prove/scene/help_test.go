package scene

import (
	"os"
	"os/exec"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// writeTempFile writes a text to a file in a new temporary folder and returns
// its path.
func (s *Scene) writeTempFile(text string) string {
	path := filepath.Join(s.TempDir(), "file.json")
	s.requireNoError(os.WriteFile(path, []byte(text), 0o600))
	return path
}

func exitCode(err error) int {
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) {
		return exitErr.ExitCode()
	}
	return 0
}
