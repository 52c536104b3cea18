package stage

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the resolution of the processor times in /proc.
const ticksPerSecond = 100

// CPU returns the processor time that the process has used.
func (p *Proc) CPU() time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	f := strings.Fields(rest)
	const user, system = 11, 12
	if len(f) <= system {
		return 0
	}
	u, _ := strconv.ParseInt(f[user], 10, 64)
	s, _ := strconv.ParseInt(f[system], 10, 64)
	return time.Duration(u+s) * time.Second / ticksPerSecond
}

// RSS returns the resident memory of the process in bytes.
func (p *Proc) RSS() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.PID()))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(data))
	if len(f) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(f[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
