package metrics

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/prometheus/common/expfmt"

	"github.com/marlwood/marlwood/internal/httpwire"
	"github.com/marlwood/marlwood/internal/sockets"
)

// Page returns all metrics in the text format.
func (s *Set) Page() ([]byte, error) {
	families, err := s.registry.Gather()
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	var out bytes.Buffer
	enc := expfmt.NewEncoder(&out, expfmt.NewFormat(expfmt.TypeTextPlain))
	for _, f := range families {
		if err := enc.Encode(f); err != nil {
			return nil, fmt.Errorf("metrics: %w", err)
		}
	}
	return out.Bytes(), nil
}

// maxPageConnections limits the connections to the page.
const maxPageConnections = 8

// Serve answers GET /metrics on an address until ctx ends. A failure to listen is logged
// and has no other effect.
func (s *Set) Serve(ctx context.Context, addr string, log *slog.Logger) {
	options := httpwire.ServerOptions{
		Limits:      httpwire.Limits{Head: 8 << 10, Body: 1 << 10},
		Admission:   pageAdmission{sockets.New(sockets.Limits{Listener: maxPageConnections, Workers: maxPageConnections})},
		PartialWait: 5 * time.Second,
		IdleWait:    time.Minute,
		Log:         log,
	}
	server := httpwire.NewServer(options, func(request *httpwire.Request, reply httpwire.Reply) { reply(s.answer(request)) })
	go func() {
		<-ctx.Done()
		stop, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		_ = server.Stop(stop)
	}()
	if err := server.Run(addr); err != nil {
		log.Error("metrics are not served", "listen", addr, "err", err)
	}
}

// answer returns the answer to one request.
func (s *Set) answer(request *httpwire.Request) httpwire.Answer {
	if request.Path != "/metrics" || request.Method != http.MethodGet {
		return httpwire.Answer{Status: http.StatusNotFound, Body: []byte(`{"error":"GET /metrics is all there is here"}`)}
	}
	page, err := s.Page()
	if err != nil {
		return httpwire.Answer{Status: http.StatusInternalServerError, Body: []byte(`{"error":"the page cannot be made"}`)}
	}
	return httpwire.Answer{Status: http.StatusOK, Body: page, Type: string(expfmt.NewFormat(expfmt.TypeTextPlain))}
}

// pageAdmission admits connections to the page.
type pageAdmission struct{ *sockets.Budget }

// DutyOf implements httpwire.Admission.
func (pageAdmission) DutyOf(*httpwire.Request) sockets.Duty { return sockets.Users }

// CloseOrder implements httpwire.Admission.
func (pageAdmission) CloseOrder() []sockets.Duty { return []sockets.Duty{sockets.Users} }
