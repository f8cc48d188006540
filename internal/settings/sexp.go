package settings

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"olympos.io/encoding/edn"
)

// parseForm parses a text (name entry ...) and returns its entries.
func parseForm(text []byte, name string) ([]any, error) {
	var document any
	if err := edn.Unmarshal(text, &document); err != nil {
		return nil, &SyntaxError{Reason: "not an S-expression", Err: err}
	}
	first, rest, err := form(document)
	if err != nil {
		return nil, err
	}
	if first != name {
		return nil, headError(first, name)
	}
	return rest, nil
}

// form splits a list that starts with a symbol into the symbol's name and the other elements.
func form(value any) (string, []any, error) {
	list, ok := value.([]any)
	if !ok || len(list) == 0 {
		return "", nil, &SyntaxError{Reason: "expected a list (name ...)"}
	}
	symbol, ok := list[0].(edn.Symbol)
	if !ok {
		return "", nil, &SyntaxError{Reason: "expected a list that starts with a name"}
	}
	return string(symbol), list[1:], nil
}

// quotedName returns value as a string. It must be a string that is not empty.
func quotedName(value any) (string, error) {
	text, ok := value.(string)
	if !ok || text == "" {
		return "", fmt.Errorf("%v is not a quoted name", value)
	}
	return text, nil
}

// errNameMissing reports that an entry lacks the quoted name that must follow the entry's own name.
var errNameMissing = errors.New("quoted name missing")

// field returns the field of a struct whose sexp tag is name.
func field(structure reflect.Value, name string) (reflect.Value, reflect.StructTag, bool) {
	for i := range structure.NumField() {
		if tag := structure.Type().Field(i).Tag; tag.Get("sexp") == name {
			return structure.Field(i), tag, true
		}
	}
	return reflect.Value{}, "", false
}

// set sets a setting to value. If allowed is not empty, a string must be one of its elements.
func set(setting reflect.Value, allowed []string, value any) error {
	switch {
	case setting.Kind() == reflect.String:
		return setText(setting, allowed, value)
	case setting.Type() == reflect.TypeFor[time.Duration]():
		return setDuration(setting, value)
	case setting.Kind() == reflect.Int:
		number, ok := value.(int64)
		if !ok || number <= 0 {
			return errNeedsWholeNumber
		}
		setting.SetInt(number)
	case setting.Kind() == reflect.Float64:
		number, ok := value.(float64)
		if whole, isWhole := value.(int64); isWhole {
			number, ok = float64(whole), true
		}
		if !ok || number <= 0 {
			return errNeedsNumber
		}
		setting.SetFloat(number)
	}
	return nil
}

func setText(setting reflect.Value, allowed []string, value any) error {
	text, ok := value.(string)
	if !ok {
		return errors.New("needs a quoted string")
	}
	if len(allowed) > 0 && !slices.Contains(allowed, text) {
		return fmt.Errorf("needs one of %q", allowed)
	}
	setting.SetString(text)
	return nil
}

func setDuration(setting reflect.Value, value any) error {
	text, ok := value.(string)
	if !ok {
		return errors.New(`needs a duration such as "1.5s"`)
	}
	duration, err := time.ParseDuration(strings.TrimSpace(text))
	if err != nil || duration <= 0 {
		return errors.New(`needs a positive duration such as "1.5s"`)
	}
	setting.SetInt(int64(duration))
	return nil
}
