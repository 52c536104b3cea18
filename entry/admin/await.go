package admin

import (
	"time"

	"github.com/berylspar/spar/fold"
	"github.com/valyala/fasthttp"
)

const (
	// readBackTimeout bounds how long a request about an unknown job waits until the
	// log has been read. It exceeds two reads that wait for a record.
	readBackTimeout = 2 * time.Second
	// readBackPause is the pause between two looks at what has been read.
	readBackPause = 10 * time.Millisecond
)

// readJob returns what read returns for a job. If the job does not exist, it answers
// the request and returns false. Another entry may have accepted the job just before,
// so that a job is denied only once the log has been read up to the arrival of the
// request.
func readJob[T any](a *Admin, c *fasthttp.RequestCtx, job string, read func(*fold.Job) T) (T, bool) {
	arrived := time.Now()
	for {
		readUpTo := a.tail.FreshAt()
		if out, ok := findJob(a, job, read); ok {
			return out, true
		}
		var none T
		switch {
		case readUpTo.After(arrived):
			writeError(c, fasthttp.StatusNotFound, "job", "no job "+job)
			return none, false
		case time.Since(arrived) > readBackTimeout:
			c.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
			writeError(c, fasthttp.StatusServiceUnavailable, "job", "the log could not be read to find job "+job+"; ask again")
			return none, false
		}
		time.Sleep(readBackPause)
	}
}

// findJob returns what read returns for a job, and false if none has been read.
func findJob[T any](a *Admin, job string, read func(*fold.Job) T) (out T, ok bool) {
	a.tail.View(func(f *fold.State) {
		if j := f.Job(job); j != nil {
			out, ok = read(j), true
		}
	})
	return out, ok
}
