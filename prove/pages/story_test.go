package pages

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestOperationsPageShowsActualOutput guards against sample output on the
// operations page that differs from what the shown commands print.
func TestOperationsPageShowsActualOutput(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	beryl, err := filepath.Abs("../../bin/beryl")
	if err != nil {
		t.Fatal(err)
	}
	out, commands, lines := "", 0, 0
	for line := range strings.SplitSeq(string(page), "\n") {
		command, isCommand := strings.CutPrefix(line, "    $ beryl ")
		shown, isShown := strings.CutPrefix(line, "    ")
		switch {
		case isCommand:
			c := exec.CommandContext(t.Context(), beryl, strings.Fields(command)...)
			c.Dir = "testdata"
			data, err := c.Output()
			if err != nil {
				t.Fatalf("%s: %v", command, err)
			}
			out = string(data)
			commands++
		case isShown:
			lines++
			if !strings.Contains(out, shown) {
				t.Errorf("the page shows %q, which no command gives", shown)
			}
		}
	}
	if commands < 5 || lines < 15 {
		t.Errorf("only %d commands and %d lines", commands, lines)
	}
}
