package model

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"unicode/utf8"
)

// MaxBody is the maximum size of a request's body in bytes, as set by the protocol.
const MaxBody = 64 << 10

// FieldError reports an invalid field of a submission, and what to send instead.
type FieldError struct {
	Field  string // name on the wire; "" for the body as a whole
	Reason string
	Remedy string
	Err    error // the decoder's error, if there is one
}

// Error returns a message for the user with the field, the reason and the remedy.
func (e *FieldError) Error() string {
	subject := "body"
	if e.Field != "" {
		subject = "field " + e.Field
	}
	return fmt.Sprintf("%s: %s; %s", subject, e.Reason, e.Remedy)
}

// Unwrap returns the decoder's error, or nil.
func (e *FieldError) Unwrap() error { return e.Err }

// fieldError returns a *FieldError with the remedy for a field.
func fieldError(name, reason string) error {
	return &FieldError{Field: name, Reason: reason, Remedy: remedies[name]}
}

// amountRemedy is the remedy for fields that hold an amount.
const amountRemedy = "give a number from 0 to 1e9, such as 4.0"

// remedies describes the valid values of each field of a submission.
var remedies = map[string]string{
	"nameId":         "give a text of 1 to 100 letters, digits, -, _ and ., such as req-000412",
	"docket":         "give the name of the job's class",
	"crew":           "give the name of a team",
	"shape":          "give batch, gang or standing",
	"rank":           "give critical, high, normal or low",
	"pieces":         "give a whole number from 1 to 100000",
	"cpus":           amountRemedy,
	"cards":          amountRemedy,
	"memoryGb":       amountRemedy,
	"kit":            "give the name of an image",
	"sizeGb":         amountRemedy,
	"hulls":          "give a list of names of machine types, or null for any",
	"yard":           "give the name of a zone, or null for any",
	"together":       "give true or false",
	"apart":          "give true or false",
	"loaners":        "give true or false",
	"guessS":         amountRemedy,
	"snapshotEveryS": amountRemedy,
	"snapshotCostS":  amountRemedy,
	"dueS":           "give a number from 0 to 1e9, or null for no deadline",
	"awaits":         "give a list of job ids, or null for none",
}

// JobID returns the job ID in a submission's body, or "" if there is no valid one. It ignores
// all other fields, so that a repeated submission of a known job is recognised even if the
// rest of the body differs or is not valid JSON.
func JobID(body []byte) string {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if first, err := decoder.Token(); err != nil || first != json.Delim('{') {
		return ""
	}
	id := ""
	for {
		key, err := decoder.Token()
		if err != nil || key == json.Delim('}') {
			break
		}
		var value json.RawMessage
		if decoder.Decode(&value) != nil {
			break
		}
		if key == "nameId" { // the last one is used, as in ParseJob
			id = ""
			_ = json.Unmarshal(value, &id) // id stays empty if the value isn't a string
		}
	}
	if !ValidID(id) {
		return ""
	}
	return id
}

// ParseJob decodes and validates a submission. Its errors are of type *FieldError.
//
// Guard: field names are compared exactly. Decoding JSON into a struct ignores case, so "CPUS"
// was taken for cpus: a submission that lacked a field was accepted, and one with an unknown
// field was rejected.
func ParseJob(body []byte) (*Job, error) {
	raw, err := parseObject(body)
	if err != nil {
		return nil, err
	}
	var wire wireJob
	var types []*string
	if err := decodeFields(raw, wire.fields(&types)); err != nil {
		return nil, err
	}
	if err := wire.setTypes(types); err != nil {
		return nil, err
	}
	if err := wire.checkNames(); err != nil {
		return nil, err
	}
	return wire.job()
}

// parseObject splits a body into its top-level fields.
func parseObject(body []byte) (map[string]json.RawMessage, error) {
	if len(body) > MaxBody {
		return nil, &FieldError{
			Reason: fmt.Sprintf("%d bytes", len(body)),
			Remedy: fmt.Sprintf("send at most %d", MaxBody),
		}
	}
	if trimmed := bytes.TrimLeft(body, " \n\t\r"); len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, &FieldError{Reason: "not a JSON object", Remedy: "send one with the fields of a job"}
	}
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(body, &raw); err != nil {
		return nil, &FieldError{
			Reason: "not JSON: " + err.Error(),
			Remedy: "send an object with the fields of a job",
			Err:    err,
		}
	}
	if !utf8.Valid(body) {
		return nil, &FieldError{Reason: "not JSON: not UTF-8", Remedy: "send it in UTF-8"}
	}
	return raw, nil
}

// wireField is a field of a submission and the variable that it is decoded into.
type wireField struct {
	name     string
	into     any
	nullable bool // may be null or missing
}

// fields returns the fields of a submission in the order in which they are checked. Machine
// types are decoded into a list of pointers, in which a null can be detected.
func (w *wireJob) fields(types *[]*string) []wireField {
	return []wireField{
		{name: "nameId", into: &w.ID},
		{name: "docket", into: &w.Class},
		{name: "crew", into: &w.Team},
		{name: "shape", into: &w.Shape},
		{name: "rank", into: &w.Priority},
		{name: "pieces", into: &w.Tasks},
		{name: "cpus", into: &w.CPUs},
		{name: "cards", into: &w.GPUs},
		{name: "memoryGb", into: &w.MemoryGB},
		{name: "kit", into: &w.Image},
		{name: "sizeGb", into: &w.ImageGB},
		{name: "hulls", into: types, nullable: true},
		{name: "yard", into: &w.Zone, nullable: true},
		{name: "together", into: &w.OneZone},
		{name: "apart", into: &w.Spread},
		{name: "loaners", into: &w.Spot},
		{name: "guessS", into: &w.EstimateS},
		{name: "snapshotEveryS", into: &w.CheckpointS},
		{name: "snapshotCostS", into: &w.SaveS},
		{name: "dueS", into: &w.DeadlineS, nullable: true},
		{name: "awaits", into: &w.Needs, nullable: true},
	}
}

// decodeFields decodes all fields. It returns an error for the first one that is missing or
// has the wrong type.
func decodeFields(raw map[string]json.RawMessage, fields []wireField) error {
	for _, field := range fields {
		value, ok := raw[field.name]
		if !ok || string(value) == "null" {
			if !field.nullable {
				return fieldError(field.name, "missing")
			}
			continue
		}
		if err := json.Unmarshal(value, field.into); err != nil {
			reason := "not of the right type"
			var typeError *json.UnmarshalTypeError
			if errors.As(err, &typeError) {
				reason = fmt.Sprintf("cannot hold a %.40s", typeError.Value)
			}
			return fieldError(field.name, reason)
		}
	}
	return nil
}

// setTypes sets the machine types of a submission, and rejects a null among their names.
//
// Guard: a null among the names was decoded as a name that no machine type has.
func (w *wireJob) setTypes(types []*string) error {
	if types != nil {
		w.Types = &[]string{}
	}
	for _, name := range types {
		if name == nil {
			return fieldError("hulls", "holds a null")
		}
		*w.Types = append(*w.Types, *name)
	}
	return nil
}

// checkNames rejects a null among the dependencies, and empty names.
//
// Guard: an empty zone name was treated as "any zone".
func (w *wireJob) checkNames() error {
	if slices.Contains(w.Needs, nil) {
		return fieldError("awaits", "holds a null")
	}
	for _, field := range []struct {
		name string
		text *string
	}{{"docket", w.Class}, {"crew", w.Team}, {"kit", w.Image}, {"yard", w.Zone}} {
		if field.text != nil && *field.text == "" {
			return fieldError(field.name, "empty")
		}
	}
	return nil
}
