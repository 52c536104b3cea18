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

// logLine is one parsed line of a daemon's log.
type logLine struct {
	timestamp, name, msg string
	fields               []string
}

// whyFromLogs prints the log lines about a job, a task or an instance in order of
// time. They are read from the files, or from standard input for the name "-".
func (r *Runner) whyFromLogs(subject string, files []string) error {
	var found []logLine
	for _, f := range files {
		lines, err := r.readLog(subject, f)
		if err != nil {
			return errors.Wrapf(err, "log %q", f)
		}
		found = append(found, lines...)
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return cmp.Compare(a.timestamp, b.timestamp) })
	for _, e := range found {
		fmt.Fprintf(r.Out, "%s %-24s %s %s\n", e.timestamp, e.name, e.msg, strings.Join(e.fields, " "))
	}
	if len(found) == 0 {
		fmt.Fprintf(r.Out, "no line speaks of %s\n", subject)
	}
	return nil
}

func (r *Runner) readLog(subject, file string) ([]logLine, error) {
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

// maxLineBytes bounds the length of a log line and so the memory for reading it.
// A longer line is an error.
const maxLineBytes = 1 << 20

// parseLog returns the lines that name the subject. Text before the first
// key-value pair of a line, such as a timestamp that a log collector adds, is
// ignored, and so are lines that aren't in logfmt.
func parseLog(subject string, in io.Reader) ([]logLine, error) {
	var out []logLine
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if e, matches := parseLine(subject, lines.Text()); matches && e.msg != "" {
			out = append(out, e)
		}
	}
	return out, lines.Err()
}

func parseLine(subject, line string) (logLine, bool) {
	var e logLine
	matches := false
	d := logfmt.NewDecoder(strings.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			key, value := string(d.Key()), string(d.Value())
			switch key {
			case "ts":
				e.timestamp = value
			case "msg":
				e.msg = value
			case "level", "program":
			case "name":
				e.name = value
			default:
				if value != "" && value != "null" {
					e.fields = append(e.fields, key+"="+value)
				}
			}
			matches = matches || namesSubject(key, value, subject)
		}
	}
	return e, matches
}

// namesSubject reports whether a key-value pair names the subject or one of its
// tasks.
func namesSubject(key, value, subject string) bool {
	switch key {
	case "job", "task", "node", "name", "worker":
		return value == subject || strings.HasPrefix(value, subject+".")
	}
	return false
}
