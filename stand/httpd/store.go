// Package httpd serves the stand-ins of the store and of the workers over the
// platform's HTTP interface, so that real processes can run against them.
package httpd

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/stand/store"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// topicPrefix marks compacted topics, the only ones that the stand-in has.
const topicPrefix = "keyed."

// newestPage is the maximum number of records in one answer of /log-newest.
const newestPage = 500

// StoreHandler serves the calls of the store interface.
func StoreHandler(s *store.Store) fasthttp.RequestHandler {
	r := router.New()
	r.POST("/log-append", func(c *fasthttp.RequestCtx) { appendTo(s, c) })
	r.GET("/log-read", func(c *fasthttp.RequestCtx) { read(s, c) })
	r.GET("/log-newest", func(c *fasthttp.RequestCtx) { newest(s, c) })
	r.POST("/log-join", func(c *fasthttp.RequestCtx) { join(s, c) })
	r.POST("/log-leave", func(c *fasthttp.RequestCtx) { leave(s, c) })
	return r.Handler
}

func topicName(c *fasthttp.RequestCtx) string {
	name := string(c.QueryArgs().Peek("topic"))
	return name[min(len(topicPrefix), len(name)):]
}

func intArg(c *fasthttp.RequestCtx, name string) int64 {
	return int64(c.QueryArgs().GetUintOrZero(name))
}

func writeJSON(c *fasthttp.RequestCtx, code int, body any) {
	out, err := json.Marshal(body)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode answer"))
	}
	c.SetStatusCode(code)
	c.SetContentType("application/json")
	c.SetBody(out)
}

func appendTo(s *store.Store, c *fasthttp.RequestCtx) {
	var records []spar.Record
	for body := c.PostBody(); len(body) >= 4; {
		n := int(binary.BigEndian.Uint32(body))
		content := body[4 : 4+n]
		body = body[4+n:]
		k := int(content[0])
		records = append(records, spar.Record{Key: string(content[1 : 1+k]), Value: append([]byte(nil), content[1+k:]...)})
	}
	var p *spar.Producer
	if name := c.QueryArgs().Peek("producer"); len(name) > 0 {
		p = &spar.Producer{Name: string(name), Epoch: intArg(c, "epoch"), Seq: intArg(c, "seq")}
	}
	offset, err := s.Append(topicName(c), p, records)
	switch {
	case errors.Is(err, spar.ErrInvalid):
		writeJSON(c, fasthttp.StatusRequestEntityTooLarge, map[string]any{})
	case errors.Is(err, spar.ErrFenced):
		writeJSON(c, fasthttp.StatusConflict, map[string]any{"reason": "fenced"})
	case err != nil:
		writeJSON(c, fasthttp.StatusConflict, map[string]any{"reason": "seq"})
	default:
		writeJSON(c, fasthttp.StatusOK, map[string]any{"offset": offset, "end": offset + int64(len(records))})
	}
}

func read(s *store.Store, c *fasthttp.RequestCtx) {
	from := intArg(c, "from")
	b, more, err := s.Read(topicName(c), from)
	if err == nil && len(b.Records) == 0 {
		select {
		case <-more:
		case <-time.After(time.Duration(intArg(c, "waitMs")) * time.Millisecond):
		}
		b, _, err = s.Read(topicName(c), from)
	}
	if err != nil {
		writeJSON(c, fasthttp.StatusGone, map[string]any{"first": from})
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(b.Next))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range b.Records {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.Key)+len(r.Value)))
		out = append(out, byte(len(r.Key)))
		out = append(out, r.Key...)
		out = append(out, r.Value...)
	}
	c.SetBody(out)
}

func newest(s *store.Store, c *fasthttp.RequestCtx) {
	b := s.Newest(topicName(c))
	after := string(c.QueryArgs().Peek("dependsOn"))
	type item struct {
		Key   string `json:"key"`
		Value string `json:"value"`
	}
	items, more := []item{}, false
	for _, r := range b.Records {
		if r.Key <= after {
			continue
		}
		if len(items) == newestPage {
			more = true
			break
		}
		items = append(items, item{r.Key, base64.StdEncoding.EncodeToString(r.Value)})
	}
	writeJSON(c, fasthttp.StatusOK, map[string]any{"items": items, "hasMore": more, "end": b.Next})
}

type memberBody struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int64    `json:"ttlMs"`
	Generation int64    `json:"generation"`
}

func join(s *store.Store, c *fasthttp.RequestCtx) {
	var b memberBody
	if err := json.Unmarshal(c.PostBody(), &b); err != nil || len(b.Topics) != 1 {
		c.Error("bad body", fasthttp.StatusBadRequest)
		return
	}
	m := s.Join(spar.Member{Group: b.Group, Name: b.Member, TTL: time.Duration(b.TTL) * time.Millisecond, Generation: b.Generation}, time.Now())
	rows := [][]any{}
	for _, p := range m.Partitions {
		rows = append(rows, []any{b.Topics[0], p, 0})
	}
	writeJSON(c, fasthttp.StatusOK, map[string]any{"generation": m.Generation, "ttlMs": b.TTL, "parts": rows})
}

func leave(s *store.Store, c *fasthttp.RequestCtx) {
	var b memberBody
	if err := json.Unmarshal(c.PostBody(), &b); err != nil {
		c.Error("bad body", fasthttp.StatusBadRequest)
		return
	}
	s.Leave(b.Group, b.Member, time.Now())
	writeJSON(c, fasthttp.StatusOK, struct{}{})
}
