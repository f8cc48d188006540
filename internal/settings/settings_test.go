package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const platform = `{"member":"n0","location":"a","listen":"127.0.0.1:1","peer_listen":"127.0.0.1:2",
"siblings":[{"member":"n1","location":"b","endpoint":"127.0.0.1:3"}],"endpoints":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"},
"news":{},"deployment":{"teams":[{"name":"t","cpus":1,"cpus_max":2,"gpus":0,"gpus_max":0}],
"workers":{"report_s":1,"lease_s":10,"gang_wait_s":35,"gang_peer_s":6,"cancel_s":35},
"state":{"rps":250,"write_rps":60,"value_kb":16,"txn_ops":16},"cloud":{"rps":3,"list_lag_s":3},
"quota":{"cpu_share":0.06,"mem_mb":98,"sockets":900}}}`

func TestParsePlatform(t *testing.T) {
	p, err := ParsePlatform([]byte(platform))
	if err != nil || p.Lease != 10*time.Second || p.ValueBytes != 16384 || p.Teams["t"].Limit.CPUs != 2 {
		t.Fatalf("%+v, %v", p, err)
	}
	for _, c := range []struct{ from, to, err string }{
		{`"member":"n0"`, `"member":""`, "member"},
		{`"location":"a"`, `"location":7`, "location"},
		{`"127.0.0.1:1"`, `"localhost:1"`, "listen"},
		{`"127.0.0.1:5"`, `""`, "endpoints.state"},
		{`"member":"n1"`, `"member":"n0"`, "siblings[0].member"},
		{`"127.0.0.1:3"`, `"x"`, "siblings[0].endpoint"},
		{`"lease_s":10`, `"lease_s":0`, "workers.lease_s"},
		{`"rps":250`, `"rps":-1`, "state.rps"},
		{`"txn_ops":16`, `"txn_ops":"x"`, "txn_ops"},
		{`"sockets":900`, `"other":1`, "quota.sockets"},
		{`"cpus_max":2`, `"cpus_max":-2`, "teams[0]"},
		{`{"member"`, `["member"`, "not JSON"},
	} {
		_, err := ParsePlatform([]byte(strings.Replace(platform, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.err) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", c.to, err)
		}
	}
}

// Announced next limits of the state service apply from the start if they are stricter than the current ones.
func TestNextStateLimitsApplyAtOnce(t *testing.T) {
	for _, c := range []struct {
		next             string
		rps, writes      float64
		value, wide, ops int
		err              string
	}{
		{`null`, 250, 60, 16384, 16384, 16, ""},
		{`{}`, 250, 60, 16384, 16384, 16, ""},
		{`{"write_rps":42,"value_kb":2,"txn_ops":5,"other":1}`, 250, 42, 2048, 16384, 5, ""},
		{`{"rps":100,"write_rps":80,"value_kb":32,"txn_ops":32}`, 100, 60, 16384, 16384, 16, ""},
		{`{"write_rps":0}`, 0, 0, 0, 0, 0, "deployment.state.next.write_rps"},
		{`{"value_kb":0.5}`, 0, 0, 0, 0, 0, "deployment.state.next.value_kb"},
		{`{"txn_ops":1}`, 0, 0, 0, 0, 0, "deployment.state.next.txn_ops"},
		{`{"txn_ops":"x"}`, 0, 0, 0, 0, 0, "txn_ops"},
		{`7`, 0, 0, 0, 0, 0, "next"},
	} {
		p, err := ParsePlatform([]byte(strings.Replace(platform, `"txn_ops":16`, `"txn_ops":16,"next":`+c.next, 1)))
		if c.err != "" {
			if err == nil || !strings.Contains(err.Error(), c.err) {
				t.Errorf("%s: %v", c.next, err)
			}
			continue
		}
		if err != nil || p.StateRPS != c.rps || p.StateWriteRPS != c.writes || p.ValueBytes != c.value ||
			p.WideValueBytes != c.wide || p.TxnOps != c.ops {
			t.Errorf("%s: %+v, %v", c.next, p, err)
		}
	}
}

// The sum of the durations derived from cancel_s never exceeds it: a cancelled job's tasks must have
// ended by then, even if the leader can no longer be notified of the cancellation.
func TestTimingFitsIntoCancelWait(t *testing.T) {
	o, err := LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		lease, cancel, act time.Duration
	}{
		{10 * time.Second, 35 * time.Second, 20 * time.Second},
		{26 * time.Second, 46 * time.Second, 15 * time.Second},
		{3 * time.Second, 9 * time.Second, 3500 * time.Millisecond},
	} {
		p := &Platform{Lease: c.lease, CancelWait: c.cancel}
		got, err := p.Timing(o)
		if err != nil || got.LeaderLease != c.act || got.LeaderLease+got.DelegatedLease+got.Margin+c.lease > c.cancel || got.PollInterval*2 > got.LeaderLease {
			t.Errorf("%v in %v: %+v, %v", c.lease, c.cancel, got, err)
		}
	}
	if _, err := (&Platform{Lease: 10 * time.Second, CancelWait: 11 * time.Second}).Timing(o); err == nil {
		t.Error("accepted a cancel_s that leaves the leader no time to act")
	}
}

func TestLoadOperator(t *testing.T) {
	for _, c := range []struct{ name, text, err string }{
		{"change", `(marlwood (placement (draws 3)) (leadership (grant "1500ms")))`, ""},
		{"no settings", `(marlwood)`, ""},
		{"unknown section", `(marlwood (placing (draws 3)))`, "placing: unknown section"},
		{"unknown setting", `(marlwood (placement (drawz 3)))`, "placement.drawz: unknown setting"},
		{"setting given twice", `(marlwood (placement (draws 3) (draws 4)))`, "given twice"},
		{"bare number for a duration", `(marlwood (leadership (grant 3)))`, "leadership.grant: needs a duration"},
		{"negative", `(marlwood (placement (draws -1)))`, "placement.draws: needs a positive whole number"},
		{"zero duration", `(marlwood (leadership (grant "0s")))`, "positive duration"},
		{"two values", `(marlwood (placement (draws 3 4)))`, "needs one value"},
		{"unclosed list", `(marlwood (placement`, "not an S-expression"},
		{"wrong first name", `(other)`, "not (marlwood"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "s.sexp")
			if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			o, err := LoadOperator(path)
			if c.err == "" {
				if err != nil || (c.name == "change" && (o.Placement.Draws != 3 || o.Leadership.Grant != 1500*time.Millisecond)) {
					t.Errorf("%v", err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), c.err) {
				t.Errorf("got %v, want %q", err, c.err)
			}
		})
	}
}

// Every settings file in deploy/ must load.
func TestDeployedSettingsLoad(t *testing.T) {
	files, err := filepath.Glob("../../deploy/*.sexp")
	if err != nil || len(files) < 2 {
		t.Fatalf("%v, %v", files, err)
	}
	for _, f := range files {
		if _, err := LoadOperator(f); err != nil {
			t.Error(err)
		}
	}
}
