// Package filter parses and evaluates the expressions with which operators select rows of a table, such as
//
//	team = grafo and wait > 30s and zone in (lambrate, bovisa)
//
// The columns of a table are the fields of a protobuf message. Parse checks an expression against them
// before any row is read, and an error gives the position of the mistake in the text.
package filter

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// The grammar of expressions.
type (
	orExpr struct {
		Terms []*andExpr `parser:"@@ ( 'or' @@ )*"`
	}
	andExpr struct {
		Terms []*notExpr `parser:"@@ ( 'and' @@ )*"`
	}
	notExpr struct {
		Not bool     `parser:"@'not'?"`
		In  *orExpr  `parser:"( '(' @@ ')'"`
		Cmp *compare `parser:"| @@ )"`
	}
	compare struct {
		Pos    lexer.Position
		Column string   `parser:"@Word"`
		Op     string   `parser:"( @Op"`
		Value  *value   `parser:"  @@"`
		List   []*value `parser:"| 'in' '(' @@ ( ',' @@ )* ')' )?"`
	}
	value struct {
		Pos  lexer.Position
		Text string `parser:"@( Number | Word | String )"`
	}
)

// parser returns the expression parser. It is built on first use, because the daemon links this package as well.
var parser = sync.OnceValue(func() *participle.Parser[orExpr] {
	return participle.MustBuild[orExpr](
		participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
			{Name: "String", Pattern: `"[^"]*"`},
			{Name: "Number", Pattern: `-?[0-9]+(\.[0-9]+)?(ms|s|m|h|d)?\b`},
			{Name: "Word", Pattern: `[A-Za-z_][A-Za-z0-9_./-]*`},
			{Name: "Op", Pattern: `!=|<=|>=|=|<|>|~`},
			{Name: "Punct", Pattern: `[(),]`},
			{Name: "space", Pattern: `\s+`},
		})),
		participle.Unquote("String"),
		participle.UseLookahead(2),
	)
})

// Error describes a mistake in an expression.
type Error struct {
	Text   string // the expression
	Column int    // position of the mistake in Text, counted from 1
	Reason string
}

// Error returns the reason and the expression, with a mark below the mistake.
func (e *Error) Error() string {
	return fmt.Sprintf("column %d: %s\n  %s\n  %s^", e.Column, e.Reason, e.Text, strings.Repeat(" ", max(0, e.Column-1)))
}

// Filter selects rows. A nil Filter selects all rows.
type Filter struct {
	match func(m protoreflect.Message) bool
}

// Match reports whether the filter selects a row. The row must be of the message type given to Parse.
func (f *Filter) Match(row proto.Message) bool { return f == nil || f.match(row.ProtoReflect()) }

// Parse compiles an expression over the fields of a message; an empty expression selects all rows.
// A field in seconds, such as wait_s, is compared with durations such as 30s, and its name may be
// written without the suffix _s. Errors are of type *Error.
func Parse(text string, of proto.Message) (*Filter, error) {
	if strings.TrimSpace(text) == "" {
		return nil, nil
	}
	tree, err := parser().ParseString("", text)
	if err != nil {
		column, reason := 1, err.Error()
		var parseErr participle.Error
		if errors.As(err, &parseErr) {
			column, reason = parseErr.Position().Column, parseErr.Message()
		}
		return nil, &Error{text, column, reason}
	}
	c := compiler{text: text, fields: of.ProtoReflect().Descriptor().Fields()}
	match := c.or(tree)
	if c.err != nil {
		return nil, c.err
	}
	return &Filter{match}, nil
}

// matcher reports whether a row is selected.
type matcher func(m protoreflect.Message) bool

// compiler turns a parsed expression into a matcher, and keeps the first error.
type compiler struct {
	text   string
	fields protoreflect.FieldDescriptors
	err    *Error
}

func (c *compiler) fail(at lexer.Position, format string, args ...any) matcher {
	if c.err == nil {
		c.err = &Error{c.text, at.Column, fmt.Sprintf(format, args...)}
	}
	return func(protoreflect.Message) bool { return false }
}

func (c *compiler) or(e *orExpr) matcher {
	var terms []matcher
	for _, t := range e.Terms {
		terms = append(terms, c.and(t))
	}
	return func(m protoreflect.Message) bool {
		return slices.ContainsFunc(terms, func(t matcher) bool { return t(m) })
	}
}

func (c *compiler) and(e *andExpr) matcher {
	var terms []matcher
	for _, t := range e.Terms {
		terms = append(terms, c.not(t))
	}
	return func(m protoreflect.Message) bool {
		return !slices.ContainsFunc(terms, func(t matcher) bool { return !t(m) })
	}
}

func (c *compiler) not(e *notExpr) matcher {
	var inner matcher
	if e.In != nil {
		inner = c.or(e.In)
	} else {
		inner = c.compare(e.Cmp)
	}
	if !e.Not {
		return inner
	}
	return func(m protoreflect.Message) bool { return !inner(m) }
}

// column returns the field with a name, whose suffix _s may be omitted. span reports whether the field is a duration
// in seconds.
func (c *compiler) column(name string) (f protoreflect.FieldDescriptor, span bool) {
	for _, n := range []string{name + "_s", name} {
		if f := c.fields.ByName(protoreflect.Name(n)); f != nil && !f.IsList() && f.Kind() != protoreflect.MessageKind {
			return f, strings.HasSuffix(n, "_s")
		}
	}
	return nil, false
}

// Columns returns the names of the fields that can be filtered, without the suffix _s.
func Columns(fields protoreflect.FieldDescriptors) (out []string) {
	for i := range fields.Len() {
		if f := fields.Get(i); !f.IsList() && f.Kind() != protoreflect.MessageKind {
			out = append(out, strings.TrimSuffix(string(f.Name()), "_s"))
		}
	}
	return out
}

func (c *compiler) compare(comparison *compare) matcher {
	field, span := c.column(comparison.Column)
	if field == nil {
		return c.fail(comparison.Pos, "no column %q; there are %s", comparison.Column, strings.Join(Columns(c.fields), ", "))
	}
	values := comparison.List
	if comparison.Value != nil {
		values = []*value{comparison.Value}
	}
	switch field.Kind() {
	case protoreflect.BoolKind:
		return c.compareBool(comparison, field, values)
	case protoreflect.StringKind:
		return c.compareText(comparison, field, values)
	}
	if len(values) == 0 {
		return c.fail(comparison.Pos, "%s is a number: compare it, as in %s > 0", comparison.Column, comparison.Column)
	}
	var numbers []float64
	for _, v := range values {
		n, ok := parseNumber(v.Text, span)
		if !ok && span {
			return c.fail(v.Pos, "%s is a span of time: %q is none, such as 30s, 5m or 2h", comparison.Column, v.Text)
		} else if !ok {
			return c.fail(v.Pos, "%s is a number: %q is none", comparison.Column, v.Text)
		}
		numbers = append(numbers, n)
	}
	test, ok := numberTests[comparison.Op]
	if !ok {
		return c.fail(comparison.Pos, "%s is a number: %s compares texts", comparison.Column, comparison.Op)
	}
	return func(m protoreflect.Message) bool {
		x := numberOf(m, field)
		return slices.ContainsFunc(numbers, func(y float64) bool { return test(x, y) })
	}
}

// numberTests holds the comparisons of numbers by operator; "" stands for the operator "in".
var numberTests = map[string]func(x, y float64) bool{
	"":   func(x, y float64) bool { return x == y },
	"=":  func(x, y float64) bool { return x == y },
	"!=": func(x, y float64) bool { return x != y },
	"<":  func(x, y float64) bool { return x < y },
	"<=": func(x, y float64) bool { return x <= y },
	">":  func(x, y float64) bool { return x > y },
	">=": func(x, y float64) bool { return x >= y },
}

// numberOf returns the value of a numeric field.
func numberOf(m protoreflect.Message, field protoreflect.FieldDescriptor) float64 {
	switch field.Kind() {
	case protoreflect.DoubleKind:
		return m.Get(field).Float()
	case protoreflect.Int64Kind:
		return float64(m.Get(field).Int())
	}
	return float64(m.Get(field).Uint())
}

// parseNumber parses a number or, if span is set, also a duration, which it returns in seconds.
func parseNumber(text string, span bool) (float64, bool) {
	if n, err := strconv.ParseFloat(text, 64); err == nil {
		return n, true
	}
	if !span {
		return 0, false
	}
	if days, ok := strings.CutSuffix(text, "d"); ok {
		n, err := strconv.ParseFloat(days, 64)
		return n * 24 * 3600, err == nil
	}
	d, err := time.ParseDuration(text)
	return d.Seconds(), err == nil
}

func (c *compiler) compareBool(comparison *compare, field protoreflect.FieldDescriptor, values []*value) matcher {
	if len(values) == 0 {
		return func(m protoreflect.Message) bool { return m.Get(field).Bool() }
	}
	want, err := strconv.ParseBool(values[0].Text)
	if err != nil || len(values) > 1 || (comparison.Op != "=" && comparison.Op != "!=") {
		return c.fail(comparison.Pos, "%s is true or false: write %s, or not %s", comparison.Column, comparison.Column, comparison.Column)
	}
	return func(m protoreflect.Message) bool { return (m.Get(field).Bool() == want) == (comparison.Op == "=") }
}

func (c *compiler) compareText(comparison *compare, field protoreflect.FieldDescriptor, values []*value) matcher {
	if len(values) == 0 {
		return c.fail(comparison.Pos, "%s is a text: compare it, as in %s = something", comparison.Column, comparison.Column)
	}
	has := func(m protoreflect.Message) bool {
		x := m.Get(field).String()
		return slices.ContainsFunc(values, func(v *value) bool { return x == v.Text })
	}
	switch comparison.Op {
	case "", "=":
		return has
	case "!=":
		return func(m protoreflect.Message) bool { return !has(m) }
	case "~":
		return func(m protoreflect.Message) bool { return strings.Contains(m.Get(field).String(), values[0].Text) }
	}
	return c.fail(comparison.Pos, "%s is a text: compare it with =, != or ~", comparison.Column)
}
