package cmds

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// entry is one line of a daemon's log.
type entry struct {
	at, name, msg string
	rest          []string
}

// whyLogs tells the story of a job, a task or an instance from logs: from the
// files, or from standard input where the name is "-".
func (r *Runner) whyLogs(subject string, files []string) error {
	var all []entry
	for _, f := range files {
		found, err := r.readLog(subject, f)
		if err != nil {
			return errors.Wrapf(err, "log %q", f)
		}
		all = append(all, found...)
	}
	slices.SortStableFunc(all, func(a, b entry) int { return cmp.Compare(a.at, b.at) })
	for _, e := range all {
		fmt.Fprintf(r.Out, "%s %-24s %s %s\n", e.at, e.name, e.msg, strings.Join(e.rest, " "))
	}
	if len(all) == 0 {
		fmt.Fprintf(r.Out, "no line speaks of %s\n", subject)
	}
	return nil
}

func (r *Runner) readLog(subject, file string) ([]entry, error) {
	if file == "-" {
		return parseLog(subject, r.In)
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return parseLog(subject, f)
}

// maxLine bounds a log line, in bytes.
const maxLine = 1 << 20

// parseLog keeps the lines that speak of the subject. Text before a line's
// first pair, such as a collector's own time, is passed over, and so are lines
// of another format.
func parseLog(subject string, in io.Reader) ([]entry, error) {
	var out []entry
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if e, about := parseLine(subject, lines.Text()); about && e.msg != "" {
			out = append(out, e)
		}
	}
	return out, lines.Err()
}

func parseLine(subject, line string) (entry, bool) {
	var e entry
	about := false
	d := logfmt.NewDecoder(strings.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			key, value := string(d.Key()), string(d.Value())
			switch key {
			case "ts":
				e.at = value
			case "msg":
				e.msg = value
			case "level", "program":
			case "name":
				e.name = value
			default:
				if value != "" && value != "null" {
					e.rest = append(e.rest, key+"="+value)
				}
			}
			about = about || speaksOf(key, value, subject)
		}
	}
	return e, about
}

// speaksOf tells whether a pair names the subject, or a task of it.
func speaksOf(key, value, subject string) bool {
	switch key {
	case "job", "task", "node", "name", "worker":
		return value == subject || strings.HasPrefix(value, subject+".")
	}
	return false
}
