package settings

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"time"
)

// LimitError reports a setting whose value is outside its range on this platform.
type LimitError struct {
	Field string // section.entry
	Value string // as in the settings file
	Bound string // "at least" or "at most" a value
	Since string // what the bound follows from
}

// Error returns a text such as "placement.heartbeat 6m40s: at most 1.5s, since ...".
func (e *LimitError) Error() string {
	return fmt.Sprintf("%s %s: %s, since %s", e.Field, e.Value, e.Bound, e.Since)
}

// Check returns an error if a setting is outside the range that the platform and the other settings leave for it.
// Every path on which settings come into force calls it: the start, a reload, and the adoption of stored settings.
// The built-in value of a setting is within its range on every platform.
func (o *Operator) Check(p *Platform) error {
	timing, err := p.Timing(o)
	if err != nil {
		return err
	}
	builtIn, err := builtInSettings()
	if err != nil {
		return err
	}
	context := &limitContext{platform: p, operator: o, timing: timing}
	for _, limit := range limits {
		if err := limit.check(context, builtIn); err != nil {
			return err
		}
	}
	return nil
}

// builtInSettings returns the settings without any file.
var builtInSettings = sync.OnceValues(func() (*Operator, error) { return LoadOperator("") })

// limitContext holds what the bounds of a setting may depend on.
type limitContext struct {
	platform *Platform
	operator *Operator
	timing   Timing
}

// limit is the range of one numeric setting.
type limit struct {
	field       string // section.entry
	least, most bound
}

// bound returns one end of a setting's range, and what it follows from. Durations are in seconds.
type bound func(c *limitContext) (value float64, since string)

// check returns a LimitError if the setting is outside its range.
func (l *limit) check(c *limitContext, builtIn *Operator) error {
	setting := c.operator.setting(l.field)
	value, builtInValue := quantity(setting), quantity(builtIn.setting(l.field))
	least, leastSince := l.least(c)
	most, mostSince := l.most(c)
	outside := func(word string, bound float64, since string) error {
		return &LimitError{Field: l.field, Value: quantityText(setting, value), Bound: word + " " + quantityText(setting, bound), Since: since}
	}
	if least = min(least, builtInValue); value < least || math.IsNaN(value) {
		return outside("at least", least, leastSince)
	}
	if most = max(most, builtInValue); value > most {
		return outside("at most", most, mostSince)
	}
	return nil
}

// setting returns the field of a setting that exists.
func (o *Operator) setting(path string) reflect.Value {
	section, entry, _ := strings.Cut(path, ".")
	fields, _, _ := field(reflect.ValueOf(o).Elem(), section)
	setting, _, _ := field(fields, entry)
	return setting
}

// quantity returns the value of a numeric setting. Durations are in seconds.
func quantity(setting reflect.Value) float64 {
	switch value := setting.Interface().(type) {
	case time.Duration:
		return value.Seconds()
	case int:
		return float64(value)
	}
	return setting.Float()
}

// quantityText returns a quantity as text, in the syntax of the setting's kind.
func quantityText(setting reflect.Value, quantity float64) string {
	if setting.Type() == reflect.TypeFor[time.Duration]() {
		return time.Duration(quantity * float64(time.Second)).Round(time.Millisecond).String()
	}
	return strconv.FormatFloat(quantity, 'g', -1, 64)
}
