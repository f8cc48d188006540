package settings

import (
	_ "embed"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"olympos.io/encoding/edn"
)

//go:embed defaults.sexp
var defaults []byte

// Operator holds the operators' settings. The tags name the S-expression of
// each; every field must be present in defaults.sexp.
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

// LoadOperator returns the defaults, changed by the file at path unless path
// is empty.
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

// OperatorsListen is the address where a controller serves operators. A port alone, such
// as ":7400", is on the host that siblings reach it at, so that all controllers can have
// the same settings.
func (o *Operator) OperatorsListen(p *Platform) string { return onHost(o.Operators.Listen, p) }

// MetricsListen is the address where a controller's metrics are read, in the same way.
func (o *Operator) MetricsListen(p *Platform) string { return onHost(o.Metrics.Listen, p) }

func onHost(listen string, p *Platform) string {
	if host, _, err := net.SplitHostPort(p.PeerListen); err == nil && strings.HasPrefix(listen, ":") {
		return net.JoinHostPort(host, listen[1:])
	}
	return listen
}

// checkMetrics tells whether the page of metrics can be served where the settings say.
func (o *Operator) checkMetrics() error {
	if o.Metrics.Listen != "off" {
		if _, err := netip.ParseAddrPort(o.MetricsListen(&Platform{PeerListen: "127.0.0.1:1"})); err != nil {
			return fmt.Errorf("metrics.listen: not an address with a port, nor \"off\": %q", o.Metrics.Listen)
		}
	}
	return nil
}

// checkOperators checks the settings of the interface to operators, which hang together.
func (o *Operator) checkOperators() error {
	s := o.Operators
	if s.Listen == "off" {
		return nil
	}
	addr, err := netip.ParseAddrPort(o.OperatorsListen(&Platform{PeerListen: "127.0.0.1:1"}))
	switch {
	case err != nil:
		return fmt.Errorf("operators.listen: not an address with a port, nor \"off\": %q", s.Listen)
	case s.Plaintext == "yes" && !addr.Addr().IsLoopback():
		return fmt.Errorf("operators.plaintext: only a loopback address is served without certificates, not %q", s.Listen)
	case s.Plaintext == "no" && (s.CA == "" || s.Cert == "" || s.Key == ""):
		return errors.New("operators: ca, cert and key must name files made by marlwood keys")
	}
	return nil
}

// apply reads (marlwood (section (name value) ...) ...).
func (o *Operator) apply(text []byte, seen map[string]bool) error {
	var doc any
	if err := edn.Unmarshal(text, &doc); err != nil {
		return fmt.Errorf("not an S-expression: %w", err)
	}
	name, sections, err := form(doc)
	if err != nil {
		return err
	}
	if name != "marlwood" {
		return fmt.Errorf("starts with (%s, not (marlwood", name)
	}
	for _, s := range sections {
		section, entries, err := form(s)
		if err != nil {
			return err
		}
		target, _, ok := field(reflect.ValueOf(o).Elem(), section)
		if !ok {
			return fmt.Errorf("%s: unknown section", section)
		}
		for _, e := range entries {
			entry, values, err := form(e)
			if err != nil {
				return fmt.Errorf("%s: %w", section, err)
			}
			path := section + "." + entry
			v, tag, ok := field(target, entry)
			if !ok {
				return fmt.Errorf("%s: unknown setting", path)
			}
			if seen[path] {
				return fmt.Errorf("%s: given twice", path)
			}
			seen[path] = true
			if len(values) != 1 {
				return fmt.Errorf("%s: needs one value", path)
			}
			if err := set(v, strings.Fields(tag.Get("oneof")), values[0]); err != nil {
				return fmt.Errorf("%s: %w", path, err)
			}
		}
	}
	return nil
}

// form takes a list that starts with a symbol apart.
func form(v any) (string, []any, error) {
	list, ok := v.([]any)
	if !ok || len(list) == 0 {
		return "", nil, errors.New("expected a list (name ...)")
	}
	sym, ok := list[0].(edn.Symbol)
	if !ok {
		return "", nil, errors.New("expected a list that starts with a name")
	}
	return string(sym), list[1:], nil
}

func field(v reflect.Value, name string) (reflect.Value, reflect.StructTag, bool) {
	for i := range v.NumField() {
		if tag := v.Type().Field(i).Tag; tag.Get("sexp") == name {
			return v.Field(i), tag, true
		}
	}
	return reflect.Value{}, "", false
}

// set gives a setting its value; words are those that a text may be.
func set(v reflect.Value, words []string, value any) error {
	switch {
	case v.Kind() == reflect.String:
		s, ok := value.(string)
		if !ok {
			return errors.New("needs a text in quotes")
		}
		if len(words) > 0 && !slices.Contains(words, s) {
			return fmt.Errorf("needs one of %q", words)
		}
		v.SetString(s)
	case v.Type() == reflect.TypeFor[time.Duration]():
		s, ok := value.(string)
		if !ok {
			return errors.New(`needs a duration such as "1.5s"`)
		}
		d, err := time.ParseDuration(strings.TrimSpace(s))
		if err != nil || d <= 0 {
			return errors.New(`needs a positive duration such as "1.5s"`)
		}
		v.SetInt(int64(d))
	case v.Kind() == reflect.Int:
		n, ok := value.(int64)
		if !ok || n <= 0 {
			return errors.New("needs a positive whole number")
		}
		v.SetInt(n)
	case v.Kind() == reflect.Float64:
		f, ok := value.(float64)
		if n, whole := value.(int64); whole {
			f, ok = float64(n), true
		}
		if !ok || f <= 0 {
			return errors.New("needs a positive number")
		}
		v.SetFloat(f)
	}
	return nil
}
