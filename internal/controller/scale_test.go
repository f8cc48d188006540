package controller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	fastjson "github.com/segmentio/encoding/json"

	"github.com/marlwood/marlwood/internal/httpwire"
	"github.com/marlwood/marlwood/internal/model"
	"github.com/marlwood/marlwood/internal/peers/peerspb"
	"github.com/marlwood/marlwood/internal/workers"
)

// FuzzDecodeHeartbeat checks that the heartbeat decoder, which was chosen for its speed, accepts the same input as
// the standard library's decoder, except invalid UTF-8, and decodes it to the same value.
func FuzzDecodeHeartbeat(f *testing.F) {
	for _, s := range []string{`{"berth":"m1","addr":"x:1","hull":"g","yard":"a","shift":1,"tally":2,"baton":7,"recallS":1.5,"loaners":true,"pieces":[{"piece":"j/1","try":2,"stage":"running"}]}`,
		`{"BERTH":"\u00e9\n","shift":1e2}`, `{"pieces":null,"recallS":null}`, `{"pieces":[{"stored":false,"x":[{}]}]} `} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		if !utf8.Valid(body) {
			if _, err := decodeHeartbeat(body); err == nil {
				t.Fatal("a heartbeat that is not valid UTF-8 is accepted")
			}
			return
		}
		var want, got model.Heartbeat
		wantErr, gotErr := json.Unmarshal(body, &want), fastjson.Unmarshal(body, &got)
		if (wantErr == nil) != (gotErr == nil) || wantErr == nil && !reflect.DeepEqual(want, got) {
			t.Errorf("%q is decoded to %+v (%v), by the standard library to %+v (%v)", body, got, gotErr, want, wantErr)
		}
	})
}

// BenchmarkReport measures the handling of a heartbeat that reports no change: it is parsed, decoded, checked,
// handled by the registry and answered.
func BenchmarkReport(b *testing.B) {
	for _, tasks := range []int{0, 4, 30} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			var pieces []string
			for i := range tasks {
				pieces = append(pieces, fmt.Sprintf(`{"piece":"req-000412/%d","try":2,"stage":"running"}`, i))
			}
			body := `{"berth":"vm-000231","addr":"10.1.0.232:9000","hull":"big","yard":"a","loaners":true,"shift":1,"tally":%09d,"baton":7,"recallS":null,"pieces":[` +
				strings.Join(pieces, ",") + `]}`
			term, _, _ := newLeadingTerm(b)
			ctrl := term.ctrl
			ctrl.registry.HandleRound(ctrl.startedAt, answeringRound(ctrl))
			b.ReportAllocs()
			seq := 0
			for b.Loop() {
				seq++
				text := fmt.Sprintf(body, 1000000000+seq)
				raw := fmt.Appendf(nil, "POST /checkin HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
				req, _, err := httpwire.ParseRequest(raw, httpwire.Limits{Head: 8 << 10, Body: 64 << 10})
				if err != nil {
					b.Fatal(err)
				}
				heartbeat, err := decodeHeartbeat(req.Body)
				if err != nil {
					b.Fatal(err)
				}
				ctrl.HandleHeartbeat(time.Now(), heartbeat, func(v workers.HeartbeatResult) {
					if heartbeatAnswer(v).Append(nil); v.Status != http.StatusOK {
						b.Fatal(v.Status)
					}
				})
			}
		})
	}
}

// answeringRound returns a round under which a controller answers the heartbeats of BenchmarkReport.
func answeringRound(ctrl *Controller) *peerspb.RoundRequest {
	return &peerspb.RoundRequest{
		Token:        7,
		Leader:       "n1",
		Boot:         ctrl.bootID,
		GrantUntilNs: int64(time.Hour),
		Owners:       []*peerspb.KindOwner{{Kind: &peerspb.Kind{Type: "big", Zone: "a"}, Member: ctrl.cfg.Member}},
		OpenJobs:     &peerspb.OpenJobs{List: 1, To: 1, Opened: []string{"req-000412"}, Complete: true, ViewedNs: int64(time.Hour)},
	}
}

// TestDecodeHeartbeat checks that a heartbeat with unknown fields is decoded in full, and that malformed
// heartbeats are rejected.
func TestDecodeHeartbeat(t *testing.T) {
	for _, c := range []struct {
		body string
		ok   bool
	}{
		{`{"berth":"m1","addr":"x:1","hull":"big","yard":"a","shift":1,"tally":18446744073709551615,"baton":7,"later":{"a":[1]},"pieces":[{"piece":"j/1","try":9,"stage":"ended","cause":"done","stored":true}]}`, true},
		{`{"berth":"m1","addr":"x:1","hull":"big","yard":"a","shift":1,"tally":1,"baton":7}`, true},
		{`{"berth":"m1","addr":"x:1","hull":"big","yard":"a","shift":"1","tally":1,"baton":7}`, false},
		{`{"berth":"m1","addr":"x:1","hull":"big","yard":"a","shift":1,"tally":18446744073709551616,"baton":7}`, false},
		{`{"berth":"m1"`, false},
		{`[]`, false},
		{`{"berth":"m1","hull":"big","yard":"a","shift":1} x`, false},
	} {
		heartbeat, err := decodeHeartbeat([]byte(c.body))
		if (err == nil) != c.ok {
			t.Errorf("%s: %+v, %v", c.body, heartbeat, err)
		}
		if err == nil && len(heartbeat.Tasks) > 0 && (heartbeat.Seq != 1<<64-1 || heartbeat.Tasks[0] != (model.TaskStatus{Task: "j/1", Attempt: 9, State: model.TaskExited, Cause: model.CauseDone, Saved: true})) {
			t.Errorf("%s is decoded to %+v", c.body, heartbeat)
		}
	}
}
