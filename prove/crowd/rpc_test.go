package crowd_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
)

const (
	// inflatedBytes is the length of a compressed body when it is decompressed.
	inflatedBytes = 64 << 20
	// streams is the number of requests that an HTTP/2 connection carries at a time.
	streams = 30
)

// rpcWays are the crowds that need more than HTTP/1 without compression.
func (t *target) rpcWays() []way {
	// Compressing takes a second or so, in which the crowd would stand and wait.
	compressed()
	return []way{
		{"Compressed", crowd{size: 6, script: t.sendCompressed}},
		{"ManyStreams", crowd{size: heldBytes / streams / t.maxBody, script: t.holdStreams, readsItself: true}},
	}
}

func (t *target) sendCompressed(_ context.Context, c *connection, _ func()) error {
	body := compressed()
	err := c.sendString(fmt.Sprintf("%sContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n%s", t.head(t.method, t.path), len(body), body))
	if err == nil {
		<-c.answered
	}
	return err
}

// compressed returns a body of inflatedBytes in its compressed form.
var compressed = sync.OnceValue(func() string {
	var body bytes.Buffer
	w := gzip.NewWriter(&body)
	for range inflatedBytes / len(filler) {
		if _, err := w.Write(filler); err != nil {
			panic(err)
		}
	}
	if err := w.Close(); err != nil {
		panic(err)
	}
	return body.String()
})

// holdStreams sends nearly all of many bodies within the limit on one connection.
func (t *target) holdStreams(ctx context.Context, c *connection, inPlace func()) error {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols, DialContext: func(context.Context, string, string) (net.Conn, error) { return c.Conn, nil }}
	defer transport.CloseIdleConnections()
	var standing, calls sync.WaitGroup
	standing.Add(streams)
	for range streams {
		calls.Go(func() {
			stand := sync.OnceFunc(standing.Done)
			defer stand()
			body := &heldBody{ctx: ctx, left: t.maxBody / 100 * 95, held: stand}
			q, err := http.NewRequestWithContext(ctx, t.method, "http://"+c.RemoteAddr().String()+t.path, body)
			if err != nil {
				return
			}
			q.Header.Set("Content-Type", "application/json")
			if a, err := transport.RoundTrip(q); err == nil {
				a.Body.Close()
			}
		})
	}
	standing.Wait()
	inPlace()
	calls.Wait()
	return net.ErrClosed
}

// heldBody is a body of white space that does not end.
type heldBody struct {
	ctx  context.Context
	left int
	held func()
}

// Read returns white space, and nothing any more when that is used up.
func (b *heldBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		b.held()
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	n := copy(p[:min(len(p), b.left)], filler)
	b.left -= n
	return n, nil
}

// Close does nothing.
func (b *heldBody) Close() error { return nil }
