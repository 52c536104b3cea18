package crowd_test

import (
	"fmt"
	"strings"
	"testing"
)

const (
	// The memory and the descriptors of the smallest instance.
	instanceMemoryMB    = 152
	instanceDescriptors = 4096
	// largestHeartbeat is the largest heartbeat that the platform sends in bytes.
	largestHeartbeat = 4 << 20
	// jobSteps is the number of steps of a job that still fits into a record.
	jobSteps = 1500
	// calmRequests is how many are sent, one after the other.
	calmRequests = 5
)

// A bound for crowds must leave room for the largest requests of ordinary callers.
func TestLargestRequestsInCalm(t *testing.T) {
	for _, tt := range []struct {
		name, program, field string
		ask                  func(address string) ask
	}{
		{"Job", "entry", "listen", func(a string) ask { return askHTTP("POST", "http://"+a+prefix, host, largeJob) }},
		{"Heartbeat", "agent", "control", func(a string) ask { return askHTTP("PUT", "http://"+a+"/instances/w", "", largeHeartbeat) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := startBatch(t, tt.program, map[string]any{"memory_mb": instanceMemoryMB})
			ask := tt.ask(p.addresses[tt.field])
			for i := range calmRequests {
				if !askTimes(t.Context(), ask, 1) {
					t.Fatalf("request %d was not served; log: %s", i, p.logTail())
				}
			}
			resident := p.proc.PeakRSS() >> 20
			t.Logf("%d MB resident", resident)
			if resident > instanceMemoryMB {
				t.Errorf("%d MB resident, at most %d", resident, instanceMemoryMB)
			}
		})
	}
}

func largeJob() string {
	step := `{"count":2,"cpu":500,"memMb":200,"estDurationMs":500}`
	return `{"taskSpec":"` + strings.Repeat("x", 4000) + `","steps":[` + step + strings.Repeat(","+step, jobSteps-1) + `]}`
}

func largeHeartbeat() string {
	body := heartbeat()
	label := `,"` + strings.Repeat("x", 30) + `"`
	return strings.Replace(body, `["a"]`, fmt.Sprintf(`["a"%s]`, strings.Repeat(label, (largestHeartbeat-len(body))/len(label))), 1)
}
