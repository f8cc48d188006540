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
	Value   string // as it is written
	Note    string // what it does
	Restart bool   // a change needs a restart
}

// reloaded are the sections that a running controller can change: what the leader
// decides by. The others are bound into clients, listeners and the terms that safety
// rests on.
var reloaded = []string{"placement", "fleet"}

// notes are what the defaults say of each entry, by section.entry.
var notes = sync.OnceValue(func() map[string]string {
	out := map[string]string{}
	section := ""
	for line := range strings.Lines(string(defaults)) {
		line = strings.TrimRight(line, "\n")
		if m := regexp.MustCompile(`^  \(([a-z]+)\b`).FindStringSubmatch(line); m != nil {
			section = m[1]
			continue
		}
		if m := regexp.MustCompile(`^    \(([a-z-]+) .*?\)+\s*; ?(.*)$`).FindStringSubmatch(line); m != nil {
			out[section+"."+m[1]] = m[2]
		}
	}
	return out
})

// Fields lists all settings, in their order.
func (o *Operator) Fields() (out []Field) {
	v := reflect.ValueOf(o).Elem()
	for i := range v.NumField() {
		section := v.Type().Field(i).Tag.Get("sexp")
		for k := range v.Field(i).NumField() {
			f := Field{Name: section + "." + v.Field(i).Type().Field(k).Tag.Get("sexp"), Restart: !slices.Contains(reloaded, section)}
			switch x := v.Field(i).Field(k).Interface().(type) {
			case time.Duration:
				f.Value = strconv.Quote(x.String())
			case string:
				f.Value = strconv.Quote(x)
			default:
				f.Value = fmt.Sprint(x)
			}
			f.Note = notes()[f.Name]
			out = append(out, f)
		}
	}
	return out
}

// Overlay returns these settings with those that a text gives; the others stay as they
// are.
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

// Difference is a setting that differs.
type Difference struct {
	Field        // as it runs
	Next  string // as it would be
}

// Differences lists what other settings would change.
func (o *Operator) Differences(next *Operator) (out []Difference) {
	other := next.Fields()
	for i, f := range o.Fields() {
		if f.Value != other[i].Value {
			out = append(out, Difference{f, other[i].Value})
		}
	}
	return out
}

// Reload returns these settings with the sections of others that a running controller can
// change. An error names a setting whose change needs a restart.
func (o Operator) Reload(next *Operator) (*Operator, error) {
	for _, d := range o.Differences(next) {
		if d.Restart {
			return nil, fmt.Errorf("%s: a change from %s to %s needs a restart of the controllers", d.Name, d.Value, d.Next)
		}
	}
	o.Placement, o.Fleet = next.Placement, next.Fleet
	return &o, nil
}
