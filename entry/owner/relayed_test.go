package owner

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/stand/store"
	"github.com/valyala/fasthttp"
)

// An entry that the store does not answer sends submissions through another one, whose
// address for peers took bodies of 16 KiB at most: a larger job had an unknown outcome.
func TestLargeSubmissionIsRelayed(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	b, err := common.NewBase(t.Context(), common.DefaultSettings(), "entry", "e", io.Discard, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	c := NewCandidate(b.Common, DefaultSettings(), store.NewClient(&store.Store{}, 1), nil, nil, "e", link.EntryRecord{}, nil, func() time.Duration { return 0 }, NewHTTPPeers())
	if _, err := common.ServeAdmin(t.Context(), address, b, c.AddRoutes, c.MaxRequestBytes()); err != nil {
		t.Fatal(err)
	}
	for name, tt := range map[string]struct{ size, want int }{
		"a job of 100 KiB":   {100 << 10, fasthttp.StatusOK},
		"the largest record": {c.settings.valueBytes(), fasthttp.StatusOK},
		"beyond a record":    {c.settings.valueBytes() + 1, fasthttp.StatusRequestEntityTooLarge},
	} {
		code, body, err := c.peers.Call(fasthttp.MethodPost, address, "/records?key="+JobPrefix+"1", []byte(strings.Repeat("x", tt.size)), 5*time.Second)
		if err != nil || code != tt.want {
			t.Errorf("%s: status %d %q, %v, want %d", name, code, body, err, tt.want)
		}
	}
}
