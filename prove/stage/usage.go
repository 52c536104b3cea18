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
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0
	}
	userTicks, _ := strconv.ParseInt(fields[userField], 10, 64)
	systemTicks, _ := strconv.ParseInt(fields[systemField], 10, 64)
	return time.Duration(userTicks+systemTicks) * time.Second / ticksPerSecond
}

// RSS returns the resident memory of the process in bytes.
func (p *Proc) RSS() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.PID()))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// PeakRSS returns the largest resident memory that the process has had so far in
// bytes.
func (p *Proc) PeakRSS() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes << 10
}

// Descriptors returns the number of file descriptors that the process has open.
func (p *Proc) Descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
	if err != nil {
		return 0
	}
	return len(entries)
}
