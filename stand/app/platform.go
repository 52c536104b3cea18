package app

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/plat"
	"github.com/berylspar/spar/stand/logs"
	"github.com/berylspar/spar/stand/work"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// platform serves the log, the worker API, fault injection, and the record of
// executions.
type platform struct {
	log      *logs.Log
	recorder *work.Recorder
	machines Machines
}

func newPlatform(l *logs.Log, rc *work.Recorder, m Machines) *platform {
	return &platform{log: l, recorder: rc, machines: m}
}

func (p *platform) handler() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/log", p.append)
	r.GET("/log", p.read)
	r.POST("/workers/{worker}/start", workerHandler(p, func(w *work.Worker, s spar.Start) any { return w.Start(s) }))
	r.POST("/workers/{worker}/renew", workerHandler(p, func(w *work.Worker, q plat.RenewRequest) any {
		w.Renew(time.Duration(q.UntilNS), q.Tasks)
		return spar.Listing{}
	}))
	r.POST("/workers/{worker}/throttle", workerHandler(p, func(w *work.Worker, q plat.ThrottleRequest) any { return w.Throttle(q.ID, q.CPUMilli) }))
	r.POST("/workers/{worker}/checkpoint", workerHandler(p, func(w *work.Worker, q plat.StopRequest) any { return w.Checkpoint(q.ID) }))
	r.POST("/workers/{worker}/stop", workerHandler(p, func(w *work.Worker, q plat.StopRequest) any { return w.Stop(q.ID, q.Save) }))
	r.POST("/workers/{worker}/clear", workerHandler(p, func(w *work.Worker, q plat.StopRequest) any {
		w.Clear(q.ID)
		return spar.TaskStatus{ID: q.ID}
	}))
	r.GET("/workers/{worker}/list", workerHandler(p, func(w *work.Worker, _ struct{}) any { return w.List() }))
	r.POST("/faults/log", p.logFaults)
	r.POST("/faults/workers/{worker}", workerFaultsHandler(p))
	r.GET("/truth", func(c *fasthttp.RequestCtx) { writeJSON(c, p.recorder.Report()) })
	r.GET("/counts", func(c *fasthttp.RequestCtx) { writeJSON(c, p.log.Counts()) })
	r.GET("/healthz", func(c *fasthttp.RequestCtx) { c.SetBodyString("alive\n") })
	return r.Handler
}

func (p *platform) append(c *fasthttp.RequestCtx) {
	q, ok := decodeBody[plat.AppendRequest](c)
	if !ok {
		return
	}
	offset, ok := p.log.Append(c, q.Data)
	if !ok {
		c.Error("log not available", fasthttp.StatusServiceUnavailable)
		return
	}
	writeJSON(c, plat.AppendAnswer{Offset: offset})
}

func (p *platform) read(c *fasthttp.RequestCtx) {
	from, err := strconv.ParseInt(string(c.QueryArgs().Peek("from")), 10, 64)
	if err != nil || from < 0 {
		c.Error("from: not an offset", fasthttp.StatusBadRequest)
		return
	}
	wait := time.Duration(c.QueryArgs().GetUintOrZero("wait_ms")) * time.Millisecond
	oldest, head, data, gone, ok := p.log.Read(c, from, wait)
	if !ok {
		c.Error("log not available", fasthttp.StatusServiceUnavailable)
		return
	}
	if gone {
		c.Error(strconv.FormatInt(oldest, 10), fasthttp.StatusGone)
		return
	}
	a := plat.PageAnswer{Oldest: oldest, Head: head}
	for i, d := range data {
		a.Entries = append(a.Entries, plat.PageEntry{Offset: from + int64(i), Data: d})
	}
	writeJSON(c, a)
}

func (p *platform) logFaults(c *fasthttp.RequestCtx) {
	if f, ok := decodeBody[logs.Faults](c); ok {
		p.log.SetFaults(f)
		writeJSON(c, f)
	}
}

func workerFaultsHandler(p *platform) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		m := p.machines[c.UserValue("worker").(string)]
		f, ok := decodeBody[work.Faults](c)
		if !ok {
			return
		}
		if m == nil {
			c.Error("no such worker", fasthttp.StatusNotFound)
			return
		}
		m.worker.SetFaults(f)
		writeJSON(c, f)
	}
}

// workerHandler returns a handler for one call of the worker API.
func workerHandler[Q any](p *platform, f func(*work.Worker, Q) any) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		m := p.machines[c.UserValue("worker").(string)]
		if m == nil {
			c.Error("no such worker", fasthttp.StatusNotFound)
			return
		}
		if m.worker.Faults().Down {
			c.Error("worker API not available", fasthttp.StatusServiceUnavailable)
			return
		}
		var q Q
		if c.IsPost() {
			var ok bool
			if q, ok = decodeBody[Q](c); !ok {
				return
			}
		}
		writeJSON(c, f(m.worker, q))
	}
}

func decodeBody[T any](c *fasthttp.RequestCtx) (T, bool) {
	var v T
	if err := json.Unmarshal(c.PostBody(), &v); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return v, false
	}
	return v, true
}

func writeJSON(c *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}
