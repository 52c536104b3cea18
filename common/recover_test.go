package common

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
)

// One request makes a handler panic. fasthttp does not recover, so the process would
// end, and each one that the request is repeated at.
func TestPanicOfAHandlerDoesNotEndTheServer(t *testing.T) {
	var lines bytes.Buffer
	c := Common{Logger: log.NewLogfmtLogger(log.NewSyncWriter(&lines)), Scope: tally.NoopScope}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	end := ServeFastHTTP(t.Context(), l, c.Recovering(func(rc *fasthttp.RequestCtx) {
		if string(rc.Path()) == "/poison" {
			panic("poison")
		}
	}), 1024)
	for _, tt := range []struct {
		path string
		code int
	}{{"/poison", http.StatusInternalServerError}, {"/other", http.StatusOK}} {
		a, err := http.Get("http://" + l.Addr().String() + tt.path)
		if err != nil {
			t.Fatal(err)
		}
		a.Body.Close()
		if a.StatusCode != tt.code {
			t.Errorf("%s: status %d, want %d", tt.path, a.StatusCode, tt.code)
		}
	}
	l.Close()
	<-end
	if !strings.Contains(lines.String(), "request handler panicked") {
		t.Errorf("no log line: %s", lines.String())
	}
}
