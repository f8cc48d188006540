package settings

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
)

// Decode reads (name entry ...) into a struct. The struct tag sexp holds the name of a field's entry.
// Each occurrence of an entry appends an element to a slice of structs. An entry appends all its
// values to a slice of strings. The field with the tag "name" receives the string that follows the
// entry's own name. An entry without a field is an error that names the entry. Fields without an
// entry keep their value.
func Decode(text []byte, name string, into any) error {
	entries, err := parseForm(text, name)
	if err != nil {
		return err
	}
	return decode(entries, reflect.ValueOf(into).Elem())
}

// decode reads the values of an entry into a struct.
func decode(values []any, into reflect.Value) error {
	values, err := decodeName(values, into)
	if err != nil {
		return err
	}
	seen := map[string]bool{}
	for _, value := range values {
		entry, args, err := form(value)
		if err != nil {
			return err
		}
		target, tag, ok := field(into, entry)
		if !ok || entry == "name" {
			return fieldError(entry, errUnknownEntry)
		}
		if seen[entry] && !isStructSlice(target) {
			return fieldError(entry, errGivenTwice)
		}
		seen[entry] = true
		if err := decodeEntry(args, target, tag); err != nil {
			return fieldError(entry, err)
		}
	}
	return nil
}

// decodeName reads the leading name of an entry if the struct has a field for it, and
// returns the remaining values.
func decodeName(values []any, into reflect.Value) ([]any, error) {
	target, _, ok := field(into, "name")
	if !ok {
		return values, nil
	}
	if len(values) == 0 {
		return nil, errNameMissing
	}
	name, err := quotedName(values[0])
	if err != nil {
		return nil, err
	}
	target.SetString(name)
	return values[1:], nil
}

// isStructSlice reports whether a field is a slice of structs.
func isStructSlice(target reflect.Value) bool {
	return target.Kind() == reflect.Slice && target.Type().Elem().Kind() == reflect.Struct
}

// decodeEntry reads the values of one entry into its field.
func decodeEntry(args []any, target reflect.Value, tag reflect.StructTag) error {
	switch {
	case isStructSlice(target):
		element := reflect.New(target.Type().Elem()).Elem()
		if err := decode(args, element); err != nil {
			return err
		}
		target.Set(reflect.Append(target, element))
	case target.Kind() == reflect.Slice:
		for _, arg := range args {
			text, ok := arg.(string)
			if !ok || text == "" {
				return fmt.Errorf("%v is not a quoted string", arg)
			}
			target.Set(reflect.Append(target, reflect.ValueOf(text)))
		}
	case target.Kind() == reflect.Bool:
		if len(args) != 0 {
			return errors.New("takes no value")
		}
		target.SetBool(true)
	case len(args) != 1:
		return errOneValue
	default:
		return set(target, strings.Fields(tag.Get("oneof")), args[0])
	}
	return nil
}
