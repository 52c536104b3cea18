// Package pages tests that the documentation matches the programs.
package pages

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	agent "github.com/berylspar/spar/agent/app"
	agentbatch "github.com/berylspar/spar/agent/batch"
	"github.com/berylspar/spar/conf"
	entry "github.com/berylspar/spar/entry/app"
	entrybatch "github.com/berylspar/spar/entry/batch"
	"github.com/berylspar/spar/fleet"
	"github.com/berylspar/spar/load/drive"
	"github.com/sebdah/goldie/v2"
)

func docs(t *testing.T) *goldie.Goldie {
	return goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(""))
}

// TestSettingsPage guards against a settings page that differs from the programs'
// defaults. go test -update rewrites the page and the schemas.
func TestSettingsPage(t *testing.T) {
	page := "# Settings\n\nMade from the programs; `PROGRAM -print-default-config` prints the defaults and\n`PROGRAM -print-schema` the schema. Unknown fields and values beyond the limits\nare refused with the field's path and exit code 2.\n\n" +
		conf.MarkdownTable("entry", entry.DefaultSettings()) + "\n" + conf.MarkdownTable("agent", agent.DefaultSettings()) + "\n" + conf.MarkdownTable("load", drive.DefaultSettings()) + "\n" +
		conf.MarkdownTable("entry batch", entrybatch.DefaultSettings()) + "\n" + conf.MarkdownTable("agent batch", agentbatch.DefaultSettings())
	docs(t).Assert(t, "Config.md", []byte(page))
}

func TestSchemas(t *testing.T) {
	g := docs(t)
	g.Assert(t, "schema/configuration.json", fleet.Schema())
	g.Assert(t, "schema/entry.json", conf.Schema[entry.Settings]("entry settings"))
	g.Assert(t, "schema/agent.json", conf.Schema[agent.Settings]("agent settings"))
	g.Assert(t, "schema/entry-batch.json", conf.Schema[entrybatch.Settings]("entry batch settings"))
	g.Assert(t, "schema/agent-batch.json", conf.Schema[agentbatch.Settings]("agent batch settings"))
}

// TestCommandsInPagesExist guards against pages that show a command missing from
// the help of beryl.
func TestCommandsInPagesExist(t *testing.T) {
	help, _ := exec.CommandContext(t.Context(), filepath.Join("..", "..", "bin", "beryl"), "-h").CombinedOutput()
	pages, err := filepath.Glob("../../docs/*.md")
	if err != nil || len(pages) == 0 {
		t.Fatal("no pages", err)
	}
	shown := 0
	for _, p := range pages {
		data, err := os.ReadFile(p)
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.SplitSeq(string(data), "\n") {
			words := strings.Fields(line)
			if !strings.HasPrefix(line, "    beryl ") {
				continue
			}
			shown++
			command := words[1]
			if command == "domain" || command == "job" {
				command += " " + words[2]
			}
			if !strings.Contains(string(help), "  "+command+" ") {
				t.Errorf("%s shows %q, which beryl -h does not", p, strings.TrimSpace(line))
			}
		}
	}
	if shown == 0 {
		t.Fatal("no page shows a command")
	}
}

// TestLinksInPages guards against links to pages that do not exist.
func TestLinksInPages(t *testing.T) {
	for _, p := range []string{"../../README.md", "../../docs/Operating.md", "../../docs/PROOF.md", "../../docs/CAPACITY.md", "../../docs/OPERATIONS.md", "../../docs/design/README.md", "../../docs/design/platform.md", "../../docs/dev/codebase.md"} {
		data, err := os.ReadFile(p)
		if err != nil {
			t.Error(err)
			continue
		}
		for part := range strings.SplitSeq(string(data), "](") {
			target, _, ok := strings.Cut(part, ")")
			if !ok || !strings.HasSuffix(target, ".md") || strings.ContainsAny(target, " \n") {
				continue
			}
			if _, err := os.Stat(filepath.Join(filepath.Dir(p), target)); err != nil {
				t.Errorf("%s links to %s, which is not there", p, target)
			}
		}
	}
}
