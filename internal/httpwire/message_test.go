package httpwire

import (
	"errors"
	"strings"
	"testing"
)

var testLimits = Limits{Head: 256, Body: 64}

func TestParseRequest(t *testing.T) {
	long := strings.Repeat("x", 300)
	for _, c := range []struct {
		name, in string
		err      error
		method   string
		path     string
		query    string
		body     string
		close    bool
	}{
		{name: "get", in: "GET /up HTTP/1.1\r\nHost: a\r\n\r\n", method: "GET", path: "/up"},
		{name: "query", in: "GET /kv?a=b HTTP/1.1\r\n\r\n", method: "GET", path: "/kv", query: "a=b"},
		{name: "body", in: "POST /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", method: "POST", path: "/x", body: "abc"},
		{name: "chunked",
			in:     "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;e=1\r\nabc\r\n2\r\nde\r\n0\r\nT: v\r\n\r\n",
			method: "POST", path: "/x", body: "abcde"},
		{name: "close", in: "GET / HTTP/1.1\r\nConnection: Close\r\n\r\n", method: "GET", path: "/", close: true},
		{name: "HTTP/1.0 closes by default", in: "GET / HTTP/1.0\r\n\r\n", method: "GET", path: "/", close: true},
		{name: "HTTP/1.0 with keep-alive stays open", in: "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", method: "GET", path: "/"},
		{name: "incomplete head", in: "GET / HTTP/1.1\r\nHost", err: ErrIncomplete},
		{name: "incomplete body", in: "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabc", err: ErrIncomplete},
		{name: "no version", in: "GET /\r\n\r\n", err: ErrMalformed},
		{name: "other version", in: "GET / HTTP/2.0\r\n\r\n", err: ErrMalformed},
		{name: "relative target", in: "GET up HTTP/1.1\r\n\r\n", err: ErrMalformed},
		{name: "lower-case method", in: "get / HTTP/1.1\r\n\r\n", err: ErrMalformed},
		{name: "control byte in target", in: "GET /\x01 HTTP/1.1\r\n\r\n", err: ErrMalformed},
		{name: "header without colon", in: "GET / HTTP/1.1\r\nHost\r\n\r\n", err: ErrMalformed},
		{name: "space before colon", in: "GET / HTTP/1.1\r\nHost : a\r\n\r\n", err: ErrMalformed},
		{name: "bare line feed", in: "GET / HTTP/1.1\n\n", err: ErrMalformed},
		{name: "negative length", in: "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", err: ErrMalformed},
		{name: "two lengths", in: "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", err: ErrMalformed},
		{name: "length and chunked encoding", in: "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", err: ErrMalformed},
		{name: "other encoding", in: "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", err: ErrMalformed},
		{name: "bad chunk size", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", err: ErrMalformed},
		{name: "head too large", in: "GET /" + long, err: ErrHeadSize},
		{name: "body too large", in: "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n", err: ErrBodySize},
		{name: "chunks too large", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n", err: ErrBodySize},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, n, err := ParseRequest([]byte(c.in), testLimits)
			if !errors.Is(err, c.err) {
				t.Fatalf("error %v, want %v", err, c.err)
			}
			if err != nil {
				return
			}
			if n != len(c.in) || r.Method != c.method || r.Path != c.path || r.Query != c.query || string(r.Body) != c.body || r.Close != c.close {
				t.Errorf("got %+v with a length of %d bytes", r, n)
			}
			// Bytes may arrive in any portions: every strict prefix is incomplete.
			for i := range len(c.in) {
				if _, _, err := ParseRequest([]byte(c.in[:i]), testLimits); !errors.Is(err, ErrIncomplete) {
					t.Fatalf("prefix of %d bytes: error %v, want ErrIncomplete", i, err)
				}
			}
		})
	}
}

func TestParseResponse(t *testing.T) {
	for _, c := range []struct {
		name, in string
		ended    bool
		err      error
		status   int
		body     string
		close    bool
	}{
		{name: "length", in: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", status: 200, body: "{}"},
		{name: "no reason phrase", in: "HTTP/1.1 503\r\nContent-Length: 0\r\n\r\n", status: 503},
		{name: "interim", in: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", status: 200, body: "x"},
		{name: "body until the connection is closed", in: "HTTP/1.1 200 OK\r\n\r\nabc", ended: true, status: 200, body: "abc", close: true},
		{name: "connection not closed yet", in: "HTTP/1.1 200 OK\r\n\r\nabc", err: ErrIncomplete},
		{name: "not HTTP", in: "hello there\r\n\r\n", err: ErrMalformed},
		{name: "status out of range", in: "HTTP/1.1 999 X\r\n\r\n", err: ErrMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, _, err := ParseResponse([]byte(c.in), c.ended, testLimits)
			if !errors.Is(err, c.err) {
				t.Fatalf("error %v, want %v", err, c.err)
			}
			if err == nil && (r.Status != c.status || string(r.Body) != c.body || r.Close != c.close) {
				t.Errorf("got %+v", r)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, n, err := ParseRequest(b, testLimits); err == nil && (n <= 0 || n > len(b) || len(r.Body) > testLimits.Body) {
			t.Errorf("input of %d bytes: request of %d bytes with a body of %d", len(b), n, len(r.Body))
		}
		if r, n, err := ParseResponse(b, true, testLimits); err == nil && (n <= 0 || n > len(b) || len(r.Body) > testLimits.Body) {
			t.Errorf("input of %d bytes: response of %d bytes with a body of %d", len(b), n, len(r.Body))
		}
	})
}
