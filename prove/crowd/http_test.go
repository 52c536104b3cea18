package crowd_test

import (
	"context"
	"fmt"
	"strings"
)

const (
	// manyMembers is a crowd with more connections than the limit on descriptors.
	manyMembers = 400
	// heldBytes is about what a crowd holds in bodies.
	heldBytes = 300 << 20
	// excessBytes is the announced length of bodies over the limit, and sentBytes
	// what is sent of them.
	excessBytes = 256 << 20
	sentBytes   = 6 << 20
	// headerBytes is the length of a header that does not end.
	headerBytes = 15 << 10
	// pipelined is the number of requests on a connection that are sent without a
	// wait for answers.
	pipelined = 1000
)

// way is a crowd with a name.
type way struct {
	name string
	crowd
}

func (t *target) ways() []way {
	return []way{
		{"AnnouncedOverLimit", crowd{size: 100, script: t.sendAnnounced}},
		{"ChunkedOverLimit", crowd{size: 100, script: t.sendChunked}},
		{"HeldBodies", crowd{size: min(manyMembers, heldBytes/t.maxBody), script: t.holdBody}},
		{"EndlessHeaders", crowd{size: manyMembers, script: t.sendHeaderWithoutEnd}},
		{"Silent", crowd{size: manyMembers, script: func(context.Context, *connection, func()) error { return nil }}},
		{"Pipelined", crowd{size: 100, script: t.pipeline}},
		{"AnswersNotTaken", crowd{size: manyMembers, script: t.pipeline, deaf: true}},
		{"HugeJSON", crowd{size: 6, script: t.sendJSON}},
		{"NullJSON", crowd{size: 6, script: t.sendNulls}},
		{"DeepJSON", crowd{size: 20, script: t.sendDeepJSON}},
	}
}

// head returns the head of a request without its last line.
func (t *target) head(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n", method, path, t.host)
}

func (t *target) bodyPath() string {
	if t.path == prefix {
		return prefix + newID()
	}
	return t.path
}

func (t *target) sendAnnounced(_ context.Context, c *connection, _ func()) error {
	if err := c.sendString(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", t.head(t.method, t.bodyPath()), excessBytes)); err != nil {
		return err
	}
	return c.sendFiller(sentBytes)
}

func (t *target) sendChunked(_ context.Context, c *connection, _ func()) error {
	if err := c.sendString(t.head(t.method, t.bodyPath()) + "Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	for range sentBytes / len(filler) {
		if err := c.sendString(fmt.Sprintf("%x\r\n%s\r\n", len(filler), filler)); err != nil {
			return err
		}
	}
	return nil
}

// holdBody sends nearly all of a body within the limit.
func (t *target) holdBody(_ context.Context, c *connection, _ func()) error {
	if err := c.sendString(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", t.head(t.method, t.bodyPath()), t.maxBody-6)); err != nil {
		return err
	}
	return c.sendFiller(t.maxBody / 100 * 95)
}

func (t *target) sendHeaderWithoutEnd(ctx context.Context, c *connection, inPlace func()) error {
	line := "X-Filler: " + strings.Repeat("y", 100) + "\r\n"
	if err := c.sendString(t.head(t.method, t.bodyPath()) + strings.Repeat(line, headerBytes/len(line)) + "X-Last: "); err != nil {
		return err
	}
	inPlace()
	return c.trickle(ctx)
}

// pipeline sends many requests and does not wait for their answers.
func (t *target) pipeline(_ context.Context, c *connection, _ func()) error {
	for range pipelined {
		if err := c.sendString(t.head("GET", t.read) + "\r\n"); err != nil {
			return err
		}
	}
	return nil
}

func (t *target) sendJSON(_ context.Context, c *connection, _ func()) error {
	return t.sendBody(c, t.json(t.maxBody-6))
}

// sendNulls sends a job with as many steps of null as the limit allows.
func (t *target) sendNulls(_ context.Context, c *connection, _ func()) error {
	return t.sendBody(c, `{"steps":[null`+strings.Repeat(",null", (t.maxBody-30)/5)+`]}`)
}

func (t *target) sendDeepJSON(_ context.Context, c *connection, _ func()) error {
	return t.sendBody(c, `{"steps":`+strings.Repeat("[", t.maxBody-20))
}

// sendBody sends a whole request and waits for the answer.
func (t *target) sendBody(c *connection, body string) error {
	err := c.sendString(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", t.head(t.method, t.bodyPath()), len(body), body))
	if err == nil {
		<-c.answered
	}
	return err
}

// manySteps returns a job with as many steps as a size in bytes holds.
func manySteps(size int) string {
	return `{"steps":[{}` + strings.Repeat(`,{}`, (size-20)/3) + `]}`
}

// manyLabels returns a heartbeat with as many labels as a size in bytes holds.
func manyLabels(size int) string {
	return `{"labels":[""` + strings.Repeat(`,""`, (size-20)/3) + `]}`
}
