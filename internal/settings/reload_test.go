package settings

import (
	"fmt"
	"strings"
	"testing"
)

// Each setting rejects invalid values with an error that contains the setting's name. Texts that are not
// settings are rejected too. A rejected text does not change the settings.
func TestOverlayRejectsInvalidSettings(t *testing.T) {
	o, err := LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	before, tried := fmt.Sprint(o.Fields()), 0
	reject := func(text, names string) {
		t.Helper()
		tried++
		if _, err := o.Overlay([]byte(text)); err == nil || !strings.Contains(err.Error(), names) {
			t.Errorf("%s: error %v does not contain %q", text, err, names)
		}
	}
	for _, f := range o.Fields() {
		section, entry, _ := strings.Cut(f.Name, ".")
		if section != "operators" || entry == "plaintext" { // addresses and file names accept any string
			reject(fmt.Sprintf("(marlwood (%s (%s \"nonsense\")))", section, entry), f.Name)
			reject(fmt.Sprintf("(marlwood (%s (%s -1)))", section, entry), f.Name)
		}
		reject(fmt.Sprintf("(marlwood (%s (%s)))", section, entry), f.Name)
		reject(fmt.Sprintf("(marlwood (%s (%s %s) (%s %s)))", section, entry, f.Value, entry, f.Value), f.Name)
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
		reject(text, names)
	}
	t.Logf("%d invalid texts", tried)
	if tried < 50 {
		t.Errorf("only %d invalid texts were tried", tried)
	}
	if after := fmt.Sprint(o.Fields()); after != before {
		t.Error("a rejected text changed the settings")
	}
}

// Changes of reloadable settings are taken over. Changes of other settings are rejected, because they need a
// restart. Every setting has a description.
func TestReload(t *testing.T) {
	o, err := LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range o.Fields() {
		if f.Note == "" {
			t.Errorf("%s has no description", f.Name)
		}
	}
	for text, restart := range map[string]string{
		`(marlwood (fleet (idle "25s")) (placement (draws 3)))`:           "",
		`(marlwood (leadership (hold "9s")))`:                             "leadership.hold",
		`(marlwood (fleet (idle "25s")) (service (memory-share 0.5)))`:    "service.memory-share",
		`(marlwood (operators (listen "127.0.0.1:1") (plaintext "yes")))`: "operators.listen",
		`(marlwood (record (lines "stderr")))`:                            "record.lines",
		`(marlwood (regions (name "a") (others "b 127.0.0.1:1")))`:        "regions.name",
		`(marlwood (leadership (hold "5s")))`:                             "", // the default value
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
