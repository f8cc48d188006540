package settings

import (
	"errors"
	"fmt"
)

// FieldError reports an invalid setting with its name and the reason. The reason may be
// another FieldError that belongs to a nested entry.
type FieldError struct {
	Field  string // such as "leadership.hold" or "deployment.teams[0].name"
	Reason error
}

// Error returns the field's name and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason.Error() }

// Unwrap returns the reason.
func (e *FieldError) Unwrap() error { return e.Reason }

// SyntaxError reports a text that does not have the expected syntax.
type SyntaxError struct {
	Reason string
	Err    error // the parser's error, if there is one
}

// Error returns the reason and the parser's error, if there is one.
func (e *SyntaxError) Error() string {
	if e.Err == nil {
		return e.Reason
	}
	return e.Reason + ": " + e.Err.Error()
}

// Unwrap returns the parser's error, or nil.
func (e *SyntaxError) Unwrap() error { return e.Err }

// Reasons of a FieldError that are the same for every value.
var (
	errGivenTwice       = errors.New("given twice")
	errMissing          = errors.New("missing")
	errMissingOrTwice   = errors.New("missing or given twice")
	errNotPositive      = errors.New("missing or not positive")
	errOutOfRange       = errors.New("out of range")
	errOneValue         = errors.New("needs one value")
	errUnknownSection   = errors.New("unknown section")
	errUnknownSetting   = errors.New("unknown setting")
	errUnknownEntry     = errors.New("not known here")
	errNeedsWholeNumber = errors.New("needs a positive whole number")
	errNeedsNumber      = errors.New("needs a positive number")
)

// fieldError returns a FieldError.
func fieldError(field string, reason error) error { return &FieldError{Field: field, Reason: reason} }

// fieldErrorf returns a FieldError with a formatted reason.
func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Errorf(format, args...)}
}

// headError returns the error for a list that starts with an unexpected name.
func headError(got, want string) error {
	return &SyntaxError{Reason: fmt.Sprintf("starts with (%s, not (%s", got, want)}
}
