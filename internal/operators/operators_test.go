package operators

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/marlwood/marlwood/internal/operators/operatorspb"
)

// startServer starts a server on loopback with the given certificate files and returns its address. Its
// responses contain the caller's name.
func startServer(t *testing.T, ca, cert, key string, log *slog.Logger) string {
	t.Helper()
	addr := "127.0.0.1:0"
	got := make(chan string, 1)
	stop, err := Serve(Options{Listen: addr, CA: ca, Cert: cert, Key: key, Plaintext: cert == "",
		Log: slog.New(&addrHandler{Handler: log.Handler(), addr: got}),
		Ask: func(_ context.Context, r *operatorspb.Request) (*operatorspb.Reply, error) {
			if r.GetDrain() != nil {
				return &operatorspb.Reply{What: &operatorspb.Reply_Drain{Drain: &operatorspb.DrainResponse{Drain: &operatorspb.Drain{Who: r.Caller.Name}}}}, nil
			}
			return &operatorspb.Reply{What: &operatorspb.Reply_Status{Status: &operatorspb.StatusResponse{Member: r.Caller.Name + "/" + r.Caller.Role}}}, nil
		}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return <-got
}

// addrHandler captures the address that the server logs.
type addrHandler struct {
	slog.Handler
	addr chan string
}

func (h *addrHandler) Enabled(context.Context, slog.Level) bool { return true }

func (h *addrHandler) Handle(ctx context.Context, r slog.Record) error {
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "addr" {
			h.addr <- a.Value.String()
		}
		return true
	})
	return h.Handler.Handle(ctx, r)
}

func queryStatus(addr, ca, cert, key string) (string, error) {
	c, err := NewClient([]string{addr}, ca, cert, key)
	if err != nil {
		return "", err
	}
	defer c.Close()
	out, err := Call(context.Background(), c, false, func(ctx context.Context, s operatorspb.OperatorsClient) (*operatorspb.StatusResponse, error) {
		return s.Status(ctx, &operatorspb.StatusRequest{})
	})
	return out.GetMember(), err
}

func requestDrain(addr, ca, cert, key string) (string, error) {
	c, err := NewClient([]string{addr}, ca, cert, key)
	if err != nil {
		return "", err
	}
	defer c.Close()
	out, err := Call(context.Background(), c, true, func(ctx context.Context, s operatorspb.OperatorsClient) (*operatorspb.DrainResponse, error) {
		return s.Drain(ctx, &operatorspb.DrainRequest{Node: "n"})
	})
	return out.GetDrain().GetWho(), err
}

func mustSucceed(t *testing.T, errs ...error) {
	t.Helper()
	if err := errors.Join(errs...); err != nil {
		t.Fatal(err)
	}
}

// A certificate's authority, expiry and role decide whether its holder may query and drain.
func TestRoles(t *testing.T) {
	own, foreign := filepath.Join(t.TempDir(), "own"), filepath.Join(t.TempDir(), "foreign")
	for _, dir := range []string{own, foreign} {
		mustSucceed(t, MakeCA(dir, "ca", 48*time.Hour), MakeCertificate(dir, "node", NodeRole, []string{"127.0.0.1"}, time.Hour),
			MakeCertificate(dir, "anna", Operator, nil, time.Hour), MakeCertificate(dir, "vito", Viewer, nil, time.Hour),
			MakeCertificate(dir, "late", Operator, nil, -time.Second), MakeCertificate(dir, "odd", "admin", nil, time.Hour))
	}
	file := func(dir, name string) string { return filepath.Join(dir, name+".pem") }
	addr := startServer(t, file(own, "ca"), file(own, "node"), file(own, "node-key"), slog.New(slog.DiscardHandler))
	for _, c := range []struct {
		name, ca, dir, who string
		status, drain      codes.Code
	}{
		{"operator", own, own, "anna", codes.OK, codes.OK},
		{"viewer", own, own, "vito", codes.OK, codes.PermissionDenied},
		{"expired", own, own, "late", codes.Unavailable, codes.Unavailable},
		{"unknown role", own, own, "odd", codes.PermissionDenied, codes.PermissionDenied},
		{"signed by another authority", own, foreign, "anna", codes.Unavailable, codes.Unavailable},
		{"trusts another authority", foreign, own, "anna", codes.Unavailable, codes.Unavailable},
		{"certificate of a controller", own, own, "node", codes.Unavailable, codes.Unavailable},
	} {
		got, err := queryStatus(addr, file(c.ca, "ca"), file(c.dir, c.who), file(c.dir, c.who+"-key"))
		if status.Code(err) != c.status || (err == nil && !strings.HasPrefix(got, c.who+"/")) {
			t.Errorf("%s: status query: %q, %v", c.name, got, err)
		}
		if _, err := requestDrain(addr, file(c.ca, "ca"), file(c.dir, c.who), file(c.dir, c.who+"-key")); status.Code(err) != c.drain {
			t.Errorf("%s: drain: %v", c.name, err)
		}
	}
	if _, err := queryStatus(addr, "", "", ""); status.Code(err) != codes.Unavailable {
		t.Errorf("status query without a certificate: %v", err)
	}
	// A server with a person's certificate is not accepted as a controller.
	impostorAddr := startServer(t, file(own, "ca"), file(own, "vito"), file(own, "vito-key"), slog.New(slog.DiscardHandler))
	if _, err := queryStatus(impostorAddr, file(own, "ca"), file(own, "anna"), file(own, "anna-key")); status.Code(err) != codes.Unavailable {
		t.Errorf("a server with a viewer's certificate was accepted as a controller: %v", err)
	}
}

// Changed certificate files are reloaded without a restart. While the files are unusable, the previous
// certificates stay in force. A certificate that expires soon causes a warning.
func TestKeysAreReloaded(t *testing.T) {
	dir := t.TempDir()
	mustSucceed(t, MakeCA(dir, "ca", 100*24*time.Hour), MakeCertificate(dir, "node", NodeRole, nil, 24*time.Hour),
		MakeCertificate(dir, "anna", Operator, nil, time.Hour), MakeCertificate(dir, "next", NodeRole, nil, 90*24*time.Hour))
	var log strings.Builder
	k, err := OpenKeys(filepath.Join(dir, "ca.pem"), filepath.Join(dir, "node.pem"), filepath.Join(dir, "node-key.pem"),
		slog.New(slog.NewTextHandler(&log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	_, first := k.current()
	if !strings.Contains(log.String(), "expires soon") {
		t.Errorf("no warning before the certificate expires: %s", log.String())
	}
	move := func(from, to string, at time.Time) {
		text, err := os.ReadFile(filepath.Join(dir, from))
		if err != nil {
			t.Fatal(err)
		}
		mustSucceed(t, os.WriteFile(filepath.Join(dir, to), text, 0o600), os.Chtimes(filepath.Join(dir, to), at, at))
	}
	reloaded := func() []byte {
		k.checkedAt = time.Time{}
		_, pair := k.current()
		return pair.Leaf.Raw
	}
	move("next.pem", "node.pem", time.Now().Add(time.Second)) // the old key does not match it
	if string(reloaded()) != string(first.Leaf.Raw) || !strings.Contains(log.String(), "the previous keys stay in force") {
		t.Errorf("a certificate without its key was used, or the failure not logged: %s", log.String())
	}
	move("next-key.pem", "node-key.pem", time.Now().Add(2*time.Second))
	if string(reloaded()) == string(first.Leaf.Raw) {
		t.Errorf("the new certificate was not loaded: %s", log.String())
	}
}

// Existing files are not overwritten, and no certificate can expire after its authority.
func TestMakeCAAndMakeCertificate(t *testing.T) {
	dir := t.TempDir()
	if err := MakeCertificate(dir, "anna", Operator, nil, time.Hour); err == nil {
		t.Error("a certificate was made without an authority")
	}
	mustSucceed(t, MakeCA(dir, "ca", time.Hour), MakeCertificate(dir, "anna", Operator, nil, time.Minute))
	if err := MakeCA(dir, "ca", time.Hour); !errors.Is(err, ErrExists) {
		t.Errorf("making an authority twice: %v", err)
	}
	if err := MakeCertificate(dir, "anna", Viewer, nil, time.Minute); !errors.Is(err, ErrExists) {
		t.Errorf("making a key twice: %v", err)
	}
	if err := MakeCertificate(dir, "late", Viewer, nil, 2*time.Hour); err == nil {
		t.Error("a certificate was made that expires after its authority")
	}
	if info, err := os.Stat(filepath.Join(dir, "anna-key.pem")); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("mode of the key file: %v, %v", info, err)
	}
}

// A failure to serve operators must not end the controller.
//
// Guard: in a deployment test where the operators' address could not be listened on, every controller
// exited.
func TestServeWithRetryRetriesWhenServeFails(t *testing.T) {
	var log strings.Builder
	stop := ServeWithRetry(t.Context(), Options{Listen: "127.0.0.1:0", CA: "nowhere.pem", Cert: "nowhere.pem", Key: "nowhere.pem",
		Log: slog.New(slog.NewTextHandler(&log, nil))})
	time.Sleep(50 * time.Millisecond)
	stop()
	if !strings.Contains(log.String(), "operators are not served") {
		t.Errorf("the failure was not logged: %s", log.String())
	}
}

// Without certificates, server and client accept only loopback addresses. The server limits the request rate.
func TestPlaintext(t *testing.T) {
	if _, err := Serve(Options{Listen: "0.0.0.0:0", Plaintext: true, Log: slog.New(slog.DiscardHandler)}); err == nil {
		t.Error("served a non-loopback address without certificates")
	}
	if _, err := NewClient([]string{"10.0.0.1:7400"}, "", "", ""); err == nil {
		t.Error("made a plaintext client of another machine")
	}
	addr := startServer(t, "", "", "", slog.New(slog.DiscardHandler))
	c, err := NewClient([]string{addr}, "", "", "")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	refused := 0
	for range 3 * requestBurst {
		if _, err := operatorspb.NewOperatorsClient(c.conns[0]).Status(t.Context(), &operatorspb.StatusRequest{}); status.Code(err) == codes.ResourceExhausted {
			refused++
		}
	}
	if refused < requestBurst {
		t.Errorf("%d of %d requests refused", refused, 3*requestBurst)
	}
}
