package drive

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a run. Latencies are those of requests that were done,
// from the moment the request was due, in microseconds.
type Report struct {
	Sent    int64 `json:"sent"`
	Done    int64 `json:"done"`
	NotRun  int64 `json:"not_run"`
	Unknown int64 `json:"unknown"`
	// Failed counts responses with a status of 500 or above from a backend.
	Failed int64 `json:"failed"`
	// Broken counts requests without any response, such as on failed connections.
	Broken int64 `json:"broken"`
	// Crossed counts responses whose body is that of another request or truncated.
	Crossed int64 `json:"crossed"`
	P50     int64 `json:"p50_us"`
	P90     int64 `json:"p90_us"`
	P99     int64 `json:"p99_us"`
	P999    int64 `json:"p999_us"`
	Max     int64 `json:"max_us"`
	// RefusedP99 is the 99th percentile of the time until a refusal.
	RefusedP99 int64            `json:"refused_p99_us"`
	Reasons    map[string]int64 `json:"reasons"`
}

// maxLatencyUS is the upper end of the histograms' range, in microseconds: the
// longest deadline that the settings allow. Longer latencies count as this one.
const maxLatencyUS = 60_000_000

// tally collects the outcomes of a run. It is safe for concurrent use.
type tally struct {
	mu      sync.Mutex
	report  Report
	done    *hdrhistogram.Histogram
	refused *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{done: hdrhistogram.New(1, maxLatencyUS, 3), refused: hdrhistogram.New(1, maxLatencyUS, 3), report: Report{Reasons: map[string]int64{}}}
}

func (t *tally) add(o outcome, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Sent++
	if o.reason != "" {
		t.report.Reasons[o.reason]++
	}
	us := min(max(latency.Microseconds(), 1), maxLatencyUS)
	switch o.kind {
	case done:
		t.report.Done++
		t.done.RecordValue(us)
	case notRun:
		t.report.NotRun++
		t.refused.RecordValue(us)
	case unknown:
		t.report.Unknown++
	case failed:
		t.report.Failed++
	case wrongBody:
		t.report.Crossed++
	default:
		t.report.Broken++
	}
}

func (t *tally) finalReport() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.report
	r.P50, r.P90, r.P99 = t.done.ValueAtQuantile(50), t.done.ValueAtQuantile(90), t.done.ValueAtQuantile(99)
	r.P999, r.Max = t.done.ValueAtQuantile(99.9), t.done.Max()
	r.RefusedP99 = t.refused.ValueAtQuantile(99)
	return r
}
