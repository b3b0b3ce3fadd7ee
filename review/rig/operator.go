package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	manifestVersion = 7
	routeHost       = "q.example"
	routePrefix     = "/a/"
	serviceName     = "s"
)

// manifest returns a valid manifest with one route and one service.
func manifest(version uint64) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r-1","host":%q,"path_prefix":%q,"kind":"unsafe","timeout_ms":1500,"target_latency_ms":60,"priority":0,"service":%q,"max_attempts":4,"stretch":1.6}],`+
		`"services":[{"name":%q,"health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"enforces_capacity":false,"standby":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, routeHost, routePrefix, serviceName, serviceName)
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 16,
	}}
}

// call sends a request and returns the status and the body of the answer.
func call(client *http.Client, timeout time.Duration, method, url, hostName string, header map[string]string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	req.Host = hostName
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}

// operator sends orders to the control hosts as the pages say: after a failure, a 5xx or a
// second without a response it moves on to the next one, with increasing backoff.
type operator struct {
	f        *fleet
	controls []*host
	client   *http.Client
	text     []byte // of the manifest that declare sends; nil: manifest(version)
}

// declare sends a manifest until it is acknowledged or the time is up. It returns the host
// that acknowledged it, or nil.
func (o *operator) declare(version uint64, within time.Duration) *host {
	text := o.text
	if text == nil {
		text = manifest(version)
	}
	backoff := 50 * time.Millisecond
	until := time.Now().Add(within)
	for i := 0; time.Now().Before(until); i++ {
		h := o.controls[i%len(o.controls)]
		sent := time.Now()
		status, _, err := call(o.client, time.Second, http.MethodPut, "http://"+o.f.address(h.ip, o.f.ports.control)+"/-/config", "", nil, text)
		o.f.rec.printf("operator: PUT /-/config version %d to %s: status %d, error %v, after %v", version, h.ip, status, err, time.Since(sent).Round(time.Millisecond))
		if err == nil && status == http.StatusOK {
			return h
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, time.Second)
	}
	return nil
}

// read asks every control host for the manifest until one answers with it or the time is
// up. It returns the version that was read, or 0.
func (o *operator) read(within time.Duration) uint64 {
	until := time.Now().Add(within)
	for i := 0; time.Now().Before(until); i++ {
		h := o.controls[i%len(o.controls)]
		sent := time.Now()
		status, body, err := call(o.client, 2*time.Second, http.MethodGet, "http://"+o.f.address(h.ip, o.f.ports.control)+"/-/config", "", nil, nil)
		o.f.rec.printf("operator: GET /-/config from %s: status %d, %d bytes, error %v, after %v", h.ip, status, len(body), err, time.Since(sent).Round(time.Millisecond))
		var m struct{ Version uint64 }
		if err == nil && status == http.StatusOK && json.Unmarshal(body, &m) == nil {
			return m.Version
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0
}
