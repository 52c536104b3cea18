package owner

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Peers calls other entries.
type Peers interface {
	// Call makes a call to the entry at an address, which takes limit at most. It
	// returns the status code and the body of the answer.
	Call(method, address, path string, body []byte, limit time.Duration) (int, []byte, error)
}

// httpPeers calls other entries over HTTP.
type httpPeers struct{ client *fasthttp.Client }

// NewHTTPPeers returns Peers that calls over HTTP.
func NewHTTPPeers() Peers {
	return &httpPeers{client: &fasthttp.Client{
		Dial:                     func(addr string) (net.Conn, error) { return net.DialTimeout("tcp4", addr, connectTimeout) },
		NoDefaultUserAgentHeader: true, MaxIdleConnDuration: 10 * time.Second,
	}}
}

// Call implements Peers. If there is no answer, it closes all idle connections, since
// they may be broken as well.
func (p *httpPeers) Call(method, address, path string, body []byte, limit time.Duration) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.SetBodyRaw(body)
	if err := p.client.DoTimeout(req, resp, limit); err != nil {
		p.client.CloseIdleConnections()
		return 0, nil, errors.Wrapf(err, "call entry at %s", address)
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}
