package metrics

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/marlwood/marlwood/internal/accounting"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/sockets"
)

// TestPage checks that the page shows the recorded values in the Prometheus text format, and that the methods of a nil
// Set do nothing.
func TestPage(t *testing.T) {
	var off *Set
	off.Loop(time.Second)
	off.Round(Ask, time.Second)
	off.Report(time.Second)
	off.Store("leader", time.Second)
	off.Takeover(time.Second)
	off.Token(LeaderRole, 7)

	budget := sockets.New(sockets.Limits{Listener: 10, Workers: 5})
	budget.Accepted()
	budget.ChangeDuty(sockets.UnknownDuty, sockets.Workers)
	s := New("berth-0", budget.Use)
	s.Round(Place, 3*time.Millisecond)
	s.Round(Place, 30*time.Millisecond)
	s.Store("leader", 2*time.Second)
	s.Takeover(5 * time.Second)
	s.Token(OwnerRole, 7)

	probe, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := probe.Addr().String()
	_ = probe.Close()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Serve(ctx, addr, slog.New(slog.DiscardHandler)); close(done) }()
	defer func() { cancel(); <-done }()
	var page string
	for range 100 {
		if r, err := http.Get("http://" + addr + "/metrics"); err == nil {
			b, _ := io.ReadAll(r.Body)
			_ = r.Body.Close()
			page = string(b)
			if r.StatusCode != http.StatusOK || !strings.HasPrefix(r.Header.Get("Content-Type"), "text/plain") {
				t.Fatalf("%d, %s", r.StatusCode, r.Header.Get("Content-Type"))
			}
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, want := range []string{
		`marlwood_round_seconds_count{controller="berth-0",part="place"} 2`,
		`marlwood_round_seconds_bucket{controller="berth-0",part="place",le="0.0064"} 1`,
		`marlwood_store_queue_seconds_sum{budget="leader",controller="berth-0"} 2`,
		`marlwood_takeover_seconds_count{controller="berth-0"} 1`,
		`marlwood_fencing_token{controller="berth-0",role="owner"} 7`,
		`marlwood_sockets{controller="berth-0",duty="workers"} 1`,
		`marlwood_sockets_closed_total{controller="berth-0",how="resting"} 0`,
	} {
		if !strings.Contains(page, want+"\n") {
			t.Errorf("the page lacks %s", want)
		}
	}
}

// BenchmarkLoop measures the cost of recording one event.
func BenchmarkLoop(b *testing.B) {
	s := New("berth-0", func() sockets.Use { return sockets.Use{} })
	b.ReportAllocs()
	for b.Loop() {
		s.Loop(time.Millisecond)
	}
}

// TestUsageOnPage checks that the page shows the usage of teams while it is known, and no usage series at all while it
// is unknown.
func TestUsageOnPage(t *testing.T) {
	set := New("berth-0", sockets.New(sockets.Limits{Listener: 10, Workers: 5}).Use)
	ledger := accounting.NewLedger()
	ledger.Count(accounting.Interval{Account: accounting.Account{Team: "grafo", Class: "tiles"}, Kind: accounting.Run,
		Size: model.Size{CPUs: 2}, Duration: 5 * time.Second})
	rows := accounting.NewAccounts(1, ledger).Rows()
	for _, step := range []struct {
		rows  []accounting.Row
		shown bool
	}{{nil, false}, {rows, true}, {nil, false}, {rows, true}} {
		set.Usage(step.rows)
		page, err := set.Page()
		if err != nil {
			t.Fatal(err)
		}
		const line = `marlwood_team_cpu_seconds{class="tiles",controller="berth-0",kind="run",spot="false",team="grafo"} 10`
		if strings.Contains(string(page), line) != step.shown || strings.Contains(string(page), "marlwood_team_cpu_seconds{") != step.shown {
			t.Errorf("with %d rows: %s", len(step.rows), page)
		}
	}
}
