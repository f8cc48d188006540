// Package httpwire implements the part of HTTP/1.1 that the protocol needs: one
// incremental parser for requests and responses, a listener built on gnet, and a client
// with pooled connections and deadlines. It doesn't do TLS, compression or pipelining.
package httpwire

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Limits bounds the size of the messages that the parser accepts.
type Limits struct {
	Head int // bytes of start line and headers
	Body int // bytes of body
}

// Parsing errors. After ErrIncomplete the caller parses again when more bytes have arrived;
// after any other error it closes the connection.
var (
	ErrIncomplete = errors.New("httpwire: message incomplete")
	ErrMalformed  = errors.New("httpwire: malformed message")
	ErrHeadSize   = errors.New("httpwire: head too large")
	ErrBodySize   = errors.New("httpwire: body too large")
)

// Request is one parsed request.
type Request struct {
	Method string
	Path   string
	Query  string
	Body   []byte
	Close  bool
}

// Response is one parsed response.
type Response struct {
	Status     int
	Body       []byte
	Close      bool
	RetryAfter string
}

// headEnd separates the head of a message from its body.
const headEnd = "\r\n\r\n"

// head holds the start line of a message and the values of the headers that the package uses.
type head struct {
	start       string
	length      int // -1: not given
	chunked     bool
	close       bool
	keepAlive   bool
	retryAfter  string
	bodyStarts  int
	lengthGiven bool
}

// parseHead parses the start line and the headers at the front of buffered.
func parseHead(buffered []byte, limits Limits) (head, error) {
	parsed := head{length: -1}
	end := bytes.Index(buffered, []byte(headEnd))
	if end < 0 {
		return parsed, incompleteHead(buffered, limits)
	}
	if end > limits.Head {
		return parsed, ErrHeadSize
	}
	parsed.bodyStarts = end + len(headEnd)
	lines := strings.Split(string(buffered[:end]), "\r\n")
	parsed.start = lines[0]
	for _, line := range lines[1:] {
		if err := parsed.addHeader(line); err != nil {
			return parsed, err
		}
	}
	if parsed.chunked && parsed.lengthGiven {
		return parsed, ErrMalformed // conflicting framings allow request smuggling
	}
	if parsed.length > limits.Body {
		return parsed, ErrBodySize
	}
	return parsed, nil
}

// incompleteHead returns ErrIncomplete if a head whose end has not arrived can still be valid,
// and the parsing error otherwise.
func incompleteHead(buffered []byte, limits Limits) error {
	if len(buffered) > limits.Head {
		return ErrHeadSize
	}
	// The parser doesn't accept a bare line feed as a line end, so a head whose first
	// line feed is bare is rejected before the rest arrives.
	if i := bytes.IndexByte(buffered, '\n'); i >= 0 && (i == 0 || buffered[i-1] != '\r') {
		return ErrMalformed
	}
	return ErrIncomplete
}

// addHeader parses one header line. Unknown headers are ignored.
func (h *head) addHeader(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || strings.ContainsAny(name, " \t\n\r") || strings.ContainsAny(value, "\n\r\x00") {
		return ErrMalformed
	}
	value = strings.Trim(value, " \t")
	switch strings.ToLower(name) {
	case "content-length":
		length, err := strconv.ParseUint(value, 10, 31)
		if err != nil || (h.lengthGiven && h.length != int(length)) {
			return ErrMalformed
		}
		h.lengthGiven, h.length = true, int(length)
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			return ErrMalformed
		}
		h.chunked = true
	case "connection":
		h.addConnectionOptions(value)
	case "retry-after":
		h.retryAfter = value
	}
	return nil
}

// addConnectionOptions parses the value of a Connection header.
func (h *head) addConnectionOptions(value string) {
	for _, option := range strings.Split(value, ",") {
		switch strings.ToLower(strings.TrimSpace(option)) {
		case "close":
			h.close = true
		case "keep-alive":
			h.keepAlive = true
		}
	}
}

// closes reports whether the connection is closed after the message.
func (h *head) closes(http10 bool) bool { return h.close || (http10 && !h.keepAlive) }

// endsWithConnection reports whether the body of a response ends when the connection is closed.
func (h *head) endsWithConnection(status int) bool {
	return !h.chunked && !h.lengthGiven && status != http.StatusNoContent && status != http.StatusNotModified
}

// parseBody returns the body and the length of the whole message.
func parseBody(buffered []byte, head head, limits Limits) ([]byte, int, error) {
	if head.chunked {
		return parseChunks(buffered, head.bodyStarts, limits)
	}
	size := head.length
	if size < 0 {
		size = 0
	}
	if len(buffered) < head.bodyStarts+size {
		return nil, 0, ErrIncomplete
	}
	body := make([]byte, size)
	copy(body, buffered[head.bodyStarts:])
	return body, head.bodyStarts + size, nil
}

func parseChunks(buffered []byte, offset int, limits Limits) ([]byte, int, error) {
	var body []byte
	for {
		i := bytes.Index(buffered[offset:], []byte("\r\n"))
		if i < 0 {
			if len(buffered)-offset > 1024 {
				return nil, 0, ErrMalformed
			}
			return nil, 0, ErrIncomplete
		}
		size, _, _ := strings.Cut(string(buffered[offset:offset+i]), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return nil, 0, ErrMalformed
		}
		offset += i + 2
		if n == 0 {
			break
		}
		if len(body)+int(n) > limits.Body {
			return nil, 0, ErrBodySize
		}
		if len(buffered) < offset+int(n)+2 {
			return nil, 0, ErrIncomplete
		}
		body = append(body, buffered[offset:offset+int(n)]...)
		offset += int(n)
		if buffered[offset] != '\r' || buffered[offset+1] != '\n' {
			return nil, 0, ErrMalformed
		}
		offset += 2
	}
	for { // skip the trailers
		i := bytes.Index(buffered[offset:], []byte("\r\n"))
		if i < 0 {
			if len(buffered)-offset > limits.Head {
				return nil, 0, ErrHeadSize
			}
			return nil, 0, ErrIncomplete
		}
		offset += i + 2
		if i == 0 {
			return body, offset, nil
		}
	}
}

// version reports whether s is HTTP/1.0 rather than HTTP/1.1; ok is false for other versions.
func version(s string) (http10, ok bool) {
	switch s {
	case "HTTP/1.1":
		return false, true
	case "HTTP/1.0":
		return true, true
	}
	return false, false
}

// ParseRequest parses one request at the front of buffered and returns it with its
// length in bytes.
func ParseRequest(buffered []byte, limits Limits) (*Request, int, error) {
	head, err := parseHead(buffered, limits)
	if err != nil {
		return nil, 0, err
	}
	parts := strings.Split(head.start, " ")
	if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[1], "/") {
		return nil, 0, ErrMalformed
	}
	for _, c := range []byte(parts[0]) {
		if c < 'A' || c > 'Z' {
			return nil, 0, ErrMalformed
		}
	}
	for _, c := range []byte(parts[1]) {
		if c <= ' ' || c >= 0x7f {
			return nil, 0, ErrMalformed
		}
	}
	isHTTP10, ok := version(parts[2])
	if !ok {
		return nil, 0, ErrMalformed
	}
	body, size, err := parseBody(buffered, head, limits)
	if err != nil {
		return nil, 0, err
	}
	request := &Request{Method: parts[0], Body: body, Close: head.closes(isHTTP10)}
	request.Path, request.Query, _ = strings.Cut(parts[1], "?")
	return request, size, nil
}

// parseStatusLine parses the start line of a response.
func parseStatusLine(line string) (status int, isHTTP10 bool, err error) {
	proto, rest, ok := strings.Cut(line, " ")
	if !ok {
		return 0, false, ErrMalformed
	}
	isHTTP10, ok = version(proto)
	code, _, _ := strings.Cut(rest, " ")
	status, err = strconv.Atoi(code)
	if !ok || err != nil || status < 100 || status > 599 {
		return 0, false, ErrMalformed
	}
	return status, isHTTP10, nil
}

// ParseResponse parses one response at the front of buffered and returns it with its
// length in bytes. A response without any framing ends when the connection is closed;
// ended reports that the peer has closed it.
func ParseResponse(buffered []byte, ended bool, limits Limits) (*Response, int, error) {
	head, err := parseHead(buffered, limits)
	if err != nil {
		return nil, 0, err
	}
	status, isHTTP10, err := parseStatusLine(head.start)
	if err != nil {
		return nil, 0, err
	}
	if status < http.StatusOK { // interim responses are skipped
		response, size, err := ParseResponse(buffered[head.bodyStarts:], ended, limits)
		return response, size + head.bodyStarts, err
	}
	response := &Response{Status: status, Close: head.closes(isHTTP10), RetryAfter: head.retryAfter}
	if head.endsWithConnection(status) {
		if len(buffered)-head.bodyStarts > limits.Body {
			return nil, 0, ErrBodySize
		}
		if !ended {
			return nil, 0, ErrIncomplete
		}
		response.Body, response.Close = bytes.Clone(buffered[head.bodyStarts:]), true
		return response, len(buffered), nil
	}
	body, size, err := parseBody(buffered, head, limits)
	if err != nil {
		return nil, 0, err
	}
	response.Body = body
	return response, size, nil
}

// reasonPhrases are the reason phrases of RFC 9110; two of them differ from those of net/http.
var reasonPhrases = map[int]string{
	http.StatusOK:                          "OK",
	http.StatusCreated:                     "Created",
	http.StatusBadRequest:                  "Bad Request",
	http.StatusNotFound:                    "Not Found",
	http.StatusMethodNotAllowed:            "Method Not Allowed",
	http.StatusConflict:                    "Conflict",
	http.StatusRequestEntityTooLarge:       "Content Too Large",
	http.StatusMisdirectedRequest:          "Misdirected Request",
	http.StatusUnprocessableEntity:         "Unprocessable Content",
	http.StatusTooManyRequests:             "Too Many Requests",
	http.StatusRequestHeaderFieldsTooLarge: "Request Header Fields Too Large",
	http.StatusInternalServerError:         "Internal Server Error",
	http.StatusServiceUnavailable:          "Service Unavailable",
	http.StatusGatewayTimeout:              "Gateway Timeout",
}

// Answer is a handler's response to a request.
type Answer struct {
	Status     int
	Body       []byte
	Close      bool
	RetryAfter int    // seconds; 0: none
	Type       string // Content-Type of the body; "": JSON
}

// Append appends the answer to b in wire format.
func (a Answer) Append(b []byte) []byte {
	reason := reasonPhrases[a.Status]
	if reason == "" {
		reason = "Status"
	}
	contentType := a.Type
	if contentType == "" {
		contentType = "application/json"
	}
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n", a.Status, reason, contentType, len(a.Body))
	if a.RetryAfter > 0 {
		b = fmt.Appendf(b, "Retry-After: %d\r\n", a.RetryAfter)
	}
	if a.Close {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, a.Body...)
}

// appendRequest appends a request to b in wire format.
func appendRequest(b []byte, method, target, host string, body []byte) []byte {
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, host)
	if body != nil {
		b = fmt.Appendf(b, "Content-Type: application/json\r\nContent-Length: %d\r\n", len(body))
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}
