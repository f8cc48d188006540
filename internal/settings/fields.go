package settings

import (
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Field is one of the operators' settings.
type Field struct {
	Name    string // section.entry
	Value   string // in the syntax of the settings file
	Note    string // description
	Restart bool   // a change needs a restart
}

// reloadable lists the sections that a running controller can change. They guide the leader's
// decisions. The other sections are used only once, for clients, listeners and the lease times
// that safety depends on.
var reloadable = []string{"placement", "fleet"}

// notes returns the comments in the default settings, by section.entry.
var notes = sync.OnceValue(func() map[string]string {
	out := map[string]string{}
	sectionLine := regexp.MustCompile(`^  \(([a-z]+)\b`)
	entryLine := regexp.MustCompile(`^    \(([a-z-]+) .*?\)+\s*; ?(.*)$`)
	section := ""
	for line := range strings.Lines(string(defaults)) {
		line = strings.TrimRight(line, "\n")
		if match := sectionLine.FindStringSubmatch(line); match != nil {
			section = match[1]
			continue
		}
		if match := entryLine.FindStringSubmatch(line); match != nil {
			out[section+"."+match[1]] = match[2]
		}
	}
	return out
})

// Fields lists all settings, in the order of the struct.
func (o *Operator) Fields() (out []Field) {
	settings := reflect.ValueOf(o).Elem()
	for i := range settings.NumField() {
		section, sectionName := settings.Field(i), settings.Type().Field(i).Tag.Get("sexp")
		for k := range section.NumField() {
			name := sectionName + "." + section.Type().Field(k).Tag.Get("sexp")
			out = append(out, Field{
				Name:    name,
				Value:   valueText(section.Field(k).Interface()),
				Note:    notes()[name],
				Restart: !slices.Contains(reloadable, sectionName),
			})
		}
	}
	return out
}

// valueText returns a setting's value in the syntax of the settings file.
func valueText(value any) string {
	switch value := value.(type) {
	case time.Duration:
		return strconv.Quote(value.String())
	case string:
		return strconv.Quote(value)
	}
	return fmt.Sprint(value)
}

// Overlay returns a copy of the settings in which the settings in a text replace the current ones.
// It checks the result.
func (o Operator) Overlay(text []byte) (*Operator, error) {
	if err := o.apply(text, map[string]bool{}); err != nil {
		return nil, err
	}
	if err := o.checkMetrics(); err != nil {
		return nil, err
	}
	if err := o.checkOperators(); err != nil {
		return nil, err
	}
	if _, err := o.OtherRegions(); err != nil {
		return nil, err
	}
	return &o, nil
}

// Difference is a setting with its current and its new value.
type Difference struct {
	Field        // in force
	Next  string // the new value
}

// Differences returns the settings whose values differ in next.
func (o *Operator) Differences(next *Operator) (out []Difference) {
	other := next.Fields()
	for i, f := range o.Fields() {
		if f.Value != other[i].Value {
			out = append(out, Difference{Field: f, Next: other[i].Value})
		}
	}
	return out
}

// Reload returns a copy of the settings with the reloadable sections of next. If a setting differs
// whose change needs a restart, it returns an error that names the setting.
func (o Operator) Reload(next *Operator) (*Operator, error) {
	for _, d := range o.Differences(next) {
		if d.Restart {
			return nil, fieldErrorf(d.Name, "a change from %s to %s needs a restart of the controllers", d.Value, d.Next)
		}
	}
	o.Placement, o.Fleet = next.Placement, next.Fleet
	return &o, nil
}
