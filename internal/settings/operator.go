package settings

import (
	_ "embed"
	"fmt"
	"net"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"time"
)

//go:embed defaults.sexp
var defaults []byte

// Operator holds the operators' settings. The struct tags contain the names of the entries in the
// S-expression. Every field must be present in defaults.sexp.
type Operator struct {
	Leadership struct {
		Hold   time.Duration `sexp:"hold"`
		Poll   time.Duration `sexp:"poll"`
		Grant  time.Duration `sexp:"grant"`
		Margin time.Duration `sexp:"margin"`
	} `sexp:"leadership"`
	Placement struct {
		Draws         int           `sexp:"draws"`
		Round         time.Duration `sexp:"round"`
		Heartbeat     time.Duration `sexp:"heartbeat"`
		ScanAfter     int           `sexp:"scan-after"`
		TasksPerRound int           `sexp:"tasks-per-round"`
		PreemptWait   time.Duration `sexp:"preempt-wait"`
		ShortFirst    float64       `sexp:"short-first"`
		BeginWithin   time.Duration `sexp:"begin-within"`
		Apart         time.Duration `sexp:"replicas-apart"`
		Claims        string        `sexp:"claims" oneof:"yes no"`
		Unhurried     time.Duration `sexp:"unhurried"`
		Spare         float64       `sexp:"spare"`
		ReportWait    time.Duration `sexp:"report-wait"`
		OwnerBack     time.Duration `sexp:"owner-back"`
		Standing      float64       `sexp:"standing"`
	} `sexp:"placement"`
	Fleet struct {
		Tick        time.Duration `sexp:"tick"`
		Idle        time.Duration `sexp:"idle"`
		Keep        time.Duration `sexp:"keep"`
		Horizon     time.Duration `sexp:"horizon"`
		RefusedWait time.Duration `sexp:"refused-wait"`
		ListEvery   time.Duration `sexp:"list-every"`
		BootFactor  float64       `sexp:"boot-factor"`
		SilentWait  time.Duration `sexp:"silent-wait"`
		Errors      int           `sexp:"errors"`
		HostGroups  string        `sexp:"host-groups" oneof:"no yes"`
	} `sexp:"fleet"`
	Service struct {
		MemoryShare    float64       `sexp:"memory-share"`
		HeapGrowth     int           `sexp:"heap-growth"`
		UserConnsShare float64       `sexp:"user-conns-share"`
		Call           time.Duration `sexp:"call"`
		CloudCall      time.Duration `sexp:"cloud-call"`
		PeerCall       time.Duration `sexp:"peer-call"`
		DirectCall     time.Duration `sexp:"direct-call"`
		Glance         time.Duration `sexp:"glance"`
		AskWait        time.Duration `sexp:"ask-wait"`
		FinalCache     int           `sexp:"final-cache"`
	} `sexp:"service"`
	Operators struct {
		Listen    string `sexp:"listen"`
		CA        string `sexp:"ca"`
		Cert      string `sexp:"cert"`
		Key       string `sexp:"key"`
		Plaintext string `sexp:"plaintext" oneof:"no yes"`
	} `sexp:"operators"`
	Metrics struct {
		Listen string `sexp:"listen"`
	} `sexp:"metrics"`
	Accounts struct {
		Keep  string        `sexp:"keep" oneof:"yes no"`
		Flush time.Duration `sexp:"flush"`
		Ties  string        `sexp:"ties" oneof:"age share"`
	} `sexp:"accounts"`
	Record struct {
		Lines string `sexp:"lines" oneof:"off stderr"`
	} `sexp:"record"`
	Regions struct {
		Name   string `sexp:"name"`
		Others string `sexp:"others"`
	} `sexp:"regions"`
}

// LoadOperator returns the default settings. If path is not empty, the settings in that file replace
// the defaults.
func LoadOperator(path string) (*Operator, error) {
	var o Operator
	seen := map[string]bool{}
	if err := o.apply(defaults, seen); err != nil {
		return nil, fmt.Errorf("built-in settings: %w", err)
	}
	if path == "" {
		return &o, nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	next, err := o.Overlay(b)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return next, nil
}

// OperatorsListen returns the address at which a controller serves operators. If the setting is only
// a port, such as ":7400", the host is that of the controller's peer address, so that all controllers
// can have the same settings.
func (o *Operator) OperatorsListen(p *Platform) string { return withPeerHost(o.Operators.Listen, p) }

// MetricsListen returns the address at which a controller serves metrics. Its host is added in the same way.
func (o *Operator) MetricsListen(p *Platform) string { return withPeerHost(o.Metrics.Listen, p) }

// anyPlatform is a placeholder for the platform where only the syntax of an address is checked.
var anyPlatform = &Platform{PeerListen: "127.0.0.1:1"}

// withPeerHost adds the host of the peer address to an address that is only a port.
func withPeerHost(listen string, p *Platform) string {
	if host, _, err := net.SplitHostPort(p.PeerListen); err == nil && strings.HasPrefix(listen, ":") {
		return net.JoinHostPort(host, listen[1:])
	}
	return listen
}

// checkMetrics checks the address at which metrics are served.
func (o *Operator) checkMetrics() error {
	if o.Metrics.Listen != "off" {
		if _, err := netip.ParseAddrPort(o.MetricsListen(anyPlatform)); err != nil {
			return fieldErrorf("metrics.listen", "not an address with a port, nor \"off\": %q", o.Metrics.Listen)
		}
	}
	return nil
}

// checkOperators checks the settings of the operators' interface, which depend on each other.
func (o *Operator) checkOperators() error {
	s := o.Operators
	if s.Listen == "off" {
		return nil
	}
	addr, err := netip.ParseAddrPort(o.OperatorsListen(anyPlatform))
	switch {
	case err != nil:
		return fieldErrorf("operators.listen", "not an address with a port, nor \"off\": %q", s.Listen)
	case s.Plaintext == "yes" && !addr.Addr().IsLoopback():
		return fieldErrorf("operators.plaintext", "only a loopback address is served without certificates, not %q", s.Listen)
	case s.Plaintext == "no" && (s.CA == "" || s.Cert == "" || s.Key == ""):
		return fieldErrorf("operators", "ca, cert and key must name files made by marlwood keys")
	}
	return nil
}

// apply reads (marlwood (section (name value) ...) ...). It adds the name of each setting to seen, as
// section.name.
func (o *Operator) apply(text []byte, seen map[string]bool) error {
	sections, err := parseForm(text, "marlwood")
	if err != nil {
		return err
	}
	for _, value := range sections {
		section, entries, err := form(value)
		if err != nil {
			return err
		}
		target, _, ok := field(reflect.ValueOf(o).Elem(), section)
		if !ok {
			return fieldError(section, errUnknownSection)
		}
		if err := applySection(target, section, entries, seen); err != nil {
			return err
		}
	}
	return nil
}

// applySection sets the settings of one section.
func applySection(target reflect.Value, section string, entries []any, seen map[string]bool) error {
	for _, value := range entries {
		entry, values, err := form(value)
		if err != nil {
			return fieldError(section, err)
		}
		path := section + "." + entry
		setting, tag, ok := field(target, entry)
		if !ok {
			return fieldError(path, errUnknownSetting)
		}
		if seen[path] {
			return fieldError(path, errGivenTwice)
		}
		seen[path] = true
		if len(values) != 1 {
			return fieldError(path, errOneValue)
		}
		if err := set(setting, strings.Fields(tag.Get("oneof")), values[0]); err != nil {
			return fieldError(path, err)
		}
	}
	return nil
}
