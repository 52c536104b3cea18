package httpd

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/stand/worker"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// heartbeatInterval is the interval of a worker's heartbeats.
const heartbeatInterval = 500 * time.Millisecond

type orderBody struct {
	Task    string `json:"task"`
	Run     int64  `json:"run"`
	Spec    string `json:"taskSpec"`
	Until   int64  `json:"untilMs"`
	Token   int64  `json:"fencingToken"`
	Saved   string `json:"saved"`
	Acked   int64  `json:"ackedUpto"`
	Wait    int64  `json:"waitMs"`
	Percent int    `json:"percent"`
}

// startRefusals are the reasons of refused starts as the platform sends them.
var startRefusals = map[spar.StartResult]string{
	spar.StartFenced: "fence", spar.StartOld: "old", spar.StartLate: "late", spar.StartNoRoom: "room",
}

// WorkerHandler serves the calls of the worker interface.
func WorkerHandler(w *worker.Worker) fasthttp.RequestHandler {
	r := router.New()
	r.POST("/run-start", func(c *fasthttp.RequestCtx) { handleOrder(c, w, start) })
	r.POST("/run-stop", func(c *fasthttp.RequestCtx) { handleOrder(c, w, stop) })
	r.POST("/pace", func(c *fasthttp.RequestCtx) { writeJSON(c, fasthttp.StatusOK, map[string]any{"clockMs": 0}) })
	r.POST("/hold", func(c *fasthttp.RequestCtx) { handleOrder(c, w, hold) })
	return r.Handler
}

func handleOrder(c *fasthttp.RequestCtx, w *worker.Worker, carryOut func(*fasthttp.RequestCtx, *worker.Worker, spar.Target, orderBody) error) {
	var b orderBody
	if err := json.Unmarshal(c.PostBody(), &b); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	// The call names the worker's ID only, not when its life began.
	life, _ := w.Life()
	t := spar.Target{Token: b.Token, Life: spar.Life{ID: string(c.Request.Header.Peek("Expect-Instance")), Born: life.Born}}
	err := carryOut(c, w, t, b)
	switch {
	case errors.Is(err, spar.ErrOtherLife):
		c.SetStatusCode(fasthttp.StatusMisdirectedRequest)
	case errors.Is(err, spar.ErrRefused):
		writeJSON(c, fasthttp.StatusConflict, map[string]any{"reason": "fence"})
	case err != nil:
		c.HijackSetNoResponse(true)
		c.Hijack(func(conn net.Conn) { conn.Close() })
	}
}

func start(c *fasthttp.RequestCtx, w *worker.Worker, t spar.Target, b orderBody) error {
	task, err := parseTask(b.Task)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return nil
	}
	result, err := w.Start(t, spar.StartOrder{Task: task, Run: b.Run, Until: b.Until, Checkpoint: b.Saved})
	if err != nil {
		return err
	}
	if reason, ok := startRefusals[result]; ok {
		writeJSON(c, fasthttp.StatusConflict, map[string]any{"reason": reason})
		return nil
	}
	writeJSON(c, fasthttp.StatusOK, map[string]any{"clockMs": 0})
	return nil
}

func stop(c *fasthttp.RequestCtx, w *worker.Worker, t spar.Target, b orderBody) error {
	task, err := parseTask(b.Task)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return nil
	}
	if err := w.Stop(t, task, b.Run); err != nil {
		return err
	}
	writeJSON(c, fasthttp.StatusOK, map[string]any{"clockMs": 0})
	return nil
}

func hold(c *fasthttp.RequestCtx, w *worker.Worker, t spar.Target, b orderBody) error {
	l, more, err := w.Hold(t, b.Acked, b.Until)
	if err == nil && len(l.Ended) == 0 && b.Wait > 0 {
		select {
		case <-more:
		case <-time.After(time.Duration(b.Wait) * time.Millisecond):
		}
		l, _, err = w.Hold(t, b.Acked, b.Until)
	}
	if err != nil {
		return err
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range l.Running {
		running = append(running, []any{r.Task.String(), r.Run, r.Checkpoint, r.Percent, r.Measurement})
	}
	for _, e := range l.Ended {
		ended = append(ended, []any{e.Number, e.Task.String(), e.Run, string(e.Ending), e.Checkpoint})
	}
	writeJSON(c, fasthttp.StatusOK, map[string]any{"clockMs": l.Clock, "born": l.Born, "running": running, "ended": ended})
	return nil
}

func parseTask(name string) (spar.TaskRef, error) {
	parts := strings.Split(name, ".")
	var n [3]int
	for i := 1; i < len(parts) && i < 4; i++ {
		v, err := strconv.Atoi(parts[i])
		if err != nil {
			return spar.TaskRef{}, errors.Wrapf(err, "task %q", name)
		}
		n[i-1] = v
	}
	return spar.TaskRef{Job: parts[0], Occur: n[0], Step: n[1], Index: n[2]}, nil
}

// SendHeartbeats sends the worker's heartbeats to its agent until the context
// ends.
func SendHeartbeats(ctx context.Context, w *worker.Worker, domain, service, address, agent string) <-chan error {
	done := make(chan error, 1)
	go func() {
		client := &http.Client{Timeout: time.Second}
		t := time.NewTicker(heartbeatInterval)
		defer t.Stop()
		for seq := int64(1); ; seq++ {
			// A failed heartbeat is not repeated: the next one follows.
			_ = sendHeartbeat(ctx, client, w, domain, service, address, agent, seq)
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-t.C:
			}
		}
	}()
	return done
}

func sendHeartbeat(ctx context.Context, client *http.Client, w *worker.Worker, domain, service, address, agent string, seq int64) error {
	life, up := w.Life()
	if !up {
		return nil
	}
	size := w.Size()
	body, err := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": domain, "state": "ready", "seq": seq, "born": life.Born, "clockMs": 1,
		"capacity": map[string]any{"cpu": size.CPUMilli, "memMb": size.MemoryMB}, "labels": []string{"a"},
	})
	if err != nil {
		return err
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+agent+"/instances/"+life.ID, bytes.NewReader(body))
	if err != nil {
		return err
	}
	a, err := client.Do(q)
	if err != nil {
		return err
	}
	return a.Body.Close()
}
