package scene

import (
	"os"
	"os/exec"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// file writes a text to a file of its own and returns its path.
func (s *Scene) file(text string) string {
	path := filepath.Join(s.TempDir(), "file.json")
	s.must(os.WriteFile(path, []byte(text), 0o600))
	return path
}

func exitCode(err error) int {
	var e *exec.ExitError
	if errors.As(err, &e) {
		return e.ExitCode()
	}
	return 0
}
