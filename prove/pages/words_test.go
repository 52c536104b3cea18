package pages

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// platformNames are names of the platform's calls and fields that may only appear
// in its adapter and the stand-ins.
var platformNames = []string{
	`log-append`, `log-read`, `log-newest`, `log-join`, `log-leave`, `run-start`, `run-stop`, `"/hold"`, `"/pace"`,
	`ackedUpto`, `untilMs`, `fencingToken`, `coldLeftMs`, `remainingMs`, `estDurationMs`, `antiAffinity`, `dependsOn`,
	`checkpointing"`, `longRunning`, `mayMiss"`, `taskSpec`, `Expect-Instance`, `Time-Remaining`, `heartbeatAddr`, `pathPrefix`,
	`targetDurationMs`, `admissionCheck`, `platform/platform`, `keyed.`,
}

// TestPlatformNamesOnlyInAdapter guards against code outside the adapter that
// depends on the platform's protocol, and against imports of the adapter outside
// the programs' composition roots.
func TestPlatformNamesOnlyInAdapter(t *testing.T) {
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if d.IsDir() && (name == "platform" || name == "stand" || name == ".git" || name == "journal" || name == "target") {
			return filepath.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, w := range platformNames {
			if strings.Contains(string(data), w) {
				t.Errorf("%s knows the platform's word %s", name, w)
			}
		}
		if strings.Contains(string(data), `"github.com/berylspar/spar/platform"`) && filepath.Base(filepath.Dir(name)) != "batch" {
			t.Errorf("%s imports the platform's adapter", name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
