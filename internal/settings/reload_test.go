package settings

import (
	"fmt"
	"strings"
	"testing"
)

// Every setting refuses what makes no sense, by its name, and the settings before stay as
// they were; so do files that are no settings.
func TestBroken(t *testing.T) {
	o, err := LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	before, tried := fmt.Sprint(o.Fields()), 0
	refuse := func(text, names string) {
		t.Helper()
		tried++
		if _, err := o.Overlay([]byte(text)); err == nil || !strings.Contains(err.Error(), names) {
			t.Errorf("%s: %v, which does not name %q", text, err, names)
		}
	}
	for _, f := range o.Fields() {
		section, entry, _ := strings.Cut(f.Name, ".")
		if section != "operators" || entry == "plaintext" { // addresses and files are texts
			refuse(fmt.Sprintf("(marlwood (%s (%s \"nonsense\")))", section, entry), f.Name)
			refuse(fmt.Sprintf("(marlwood (%s (%s -1)))", section, entry), f.Name)
		}
		refuse(fmt.Sprintf("(marlwood (%s (%s)))", section, entry), f.Name)
		refuse(fmt.Sprintf("(marlwood (%s (%s %s) (%s %s)))", section, entry, f.Value, entry, f.Value), f.Name)
	}
	for text, names := range map[string]string{
		"":                                 "S-expression",
		"(marlwood":                        "S-expression",
		"(other)":                          "(other",
		"marlwood":                         "list",
		"(marlwood fleet)":                 "list",
		"(marlwood (flete (idle \"1s\")))": "flete",
		"(marlwood (fleet (idel \"1s\")))": "fleet.idel",
		"(marlwood (operators (listen \"10.0.0.1:7400\")))":                     "ca, cert and key",
		"(marlwood (operators (listen \"10.0.0.1:7400\") (plaintext \"yes\")))": "operators.plaintext",
		"(marlwood (operators (listen \"everywhere\")))":                        "operators.listen",
	} {
		refuse(text, names)
	}
	t.Logf("%d broken texts", tried)
	if tried < 50 {
		t.Errorf("only %d broken texts", tried)
	}
	if after := fmt.Sprint(o.Fields()); after != before {
		t.Error("a refused text changed the settings")
	}
}

// What can be reloaded, and what needs a restart; every setting says what it does.
func TestReload(t *testing.T) {
	o, err := LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range o.Fields() {
		if f.Note == "" {
			t.Errorf("%s says nothing", f.Name)
		}
	}
	for text, restart := range map[string]string{
		`(marlwood (fleet (idle "25s")) (placement (draws 3)))`:           "",
		`(marlwood (leadership (hold "9s")))`:                             "leadership.hold",
		`(marlwood (fleet (idle "25s")) (service (memory-share 0.5)))`:    "service.memory-share",
		`(marlwood (operators (listen "127.0.0.1:1") (plaintext "yes")))`: "operators.listen",
		`(marlwood (record (lines "stderr")))`:                            "record.lines",
		`(marlwood (regions (name "a") (others "b 127.0.0.1:1")))`:        "regions.name",
		`(marlwood (leadership (hold "5s")))`:                             "", // as it is
	} {
		next, err := o.Overlay([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		got, err := o.Reload(next)
		if restart != "" {
			if err == nil || !strings.HasPrefix(err.Error(), restart+":") {
				t.Errorf("%s: %v", text, err)
			}
			continue
		}
		if err != nil || got.Fleet != next.Fleet || got.Placement != next.Placement || got.Leadership != o.Leadership {
			t.Errorf("%s: %v", text, err)
		}
	}
}
