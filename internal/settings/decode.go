package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Problem is one refused key.
type Problem struct {
	File string
	Line int
	Key  string // dotted path
	Text string
}

// Error returns "file:line: key: text".
func (p Problem) Error() string {
	if p.Key == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Text)
}

// Problems is every refused key of one file.
type Problems []Problem

// Error returns one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	return v
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// Decode parses JSON with comments into out, which must point to a struct
// with json and validate tags, and checks it. The error is Problems.
func Decode(file string, text []byte, out any) error {
	tree, err := hujson.Parse(text)
	if err != nil {
		return Problems{{File: file, Line: lineOf(err), Text: err.Error()}}
	}
	d := decoder{file: file, text: text, lines: map[string]int{}}
	d.walk("", tree, reflect.TypeOf(out).Elem())
	if len(d.problems) > 0 {
		return d.problems
	}
	tree.Standardize()
	if err := d.unmarshal(tree.Pack(), out); err != nil {
		return err
	}
	return d.check(out)
}

// At returns the problem of one key of a text that Decode has accepted, for
// checks that concern several keys.
func At(file string, text []byte, key, problem string) Problems {
	tree, err := hujson.Parse(text)
	if err != nil {
		return Problems{{File: file, Line: lineOf(err), Text: err.Error()}}
	}
	d := decoder{file: file, text: text, lines: map[string]int{}}
	d.walk("", tree, nil)
	return Problems{{file, d.nearest(key), key, problem}}
}

// lineOf reads the line number from a hujson syntax error.
func lineOf(err error) int {
	line := 1
	if i := strings.Index(err.Error(), "line "); i >= 0 {
		fmt.Sscanf(err.Error()[i:], "line %d", &line)
	}
	return line
}

type decoder struct {
	file     string
	text     []byte
	lines    map[string]int // dotted key to line
	problems Problems
}

func (d *decoder) line(offset int) int {
	offset = min(offset, len(d.text))
	return 1 + bytes.Count(d.text[:offset], []byte{'\n'})
}

// walk records the line of each key and refuses keys that t does not declare.
func (d *decoder) walk(path string, v hujson.Value, t reflect.Type) {
	switch n := v.Value.(type) {
	case *hujson.Object:
		d.walkObject(path, n, t)
	case *hujson.Array:
		for i, e := range n.Elements {
			d.walk(fmt.Sprintf("%s[%d]", path, i), e, elem(t))
		}
	}
}

func elem(t reflect.Type) reflect.Type {
	if t != nil && (t.Kind() == reflect.Slice || t.Kind() == reflect.Map || t.Kind() == reflect.Pointer) {
		return t.Elem()
	}
	return nil
}

func (d *decoder) walkObject(path string, o *hujson.Object, t reflect.Type) {
	if t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		key := join(path, name)
		line := d.line(m.Name.StartOffset)
		d.lines[key] = line
		if seen[name] {
			d.problems = append(d.problems, Problem{d.file, line, key, "key stands twice"})
		}
		seen[name] = true
		next, ok := fieldType(t, name)
		if !ok {
			d.problems = append(d.problems, Problem{d.file, line, key, "unknown key"})
			continue
		}
		d.walk(key, m.Value, next)
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldType(t reflect.Type, name string) (reflect.Type, bool) {
	if t == nil {
		return nil, true
	}
	if t.Kind() == reflect.Map {
		return t.Elem(), true
	}
	if t.Kind() != reflect.Struct {
		return nil, true
	}
	for i := range t.NumField() {
		if jsonName(t.Field(i)) == name {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

func (d *decoder) unmarshal(standard []byte, out any) error {
	err := json.Unmarshal(standard, out)
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		line := d.lines[te.Field]
		if line == 0 {
			line = d.line(int(te.Offset))
		}
		return Problems{{d.file, line, te.Field, fmt.Sprintf("want %s, got %s", te.Type, te.Value)}}
	}
	if err != nil {
		return Problems{{File: d.file, Line: 1, Text: err.Error()}}
	}
	return nil
}

func (d *decoder) check(out any) error {
	err := validate.Struct(out)
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return errors.WithStack(err)
	}
	var ps Problems
	for _, f := range fields {
		_, key, _ := strings.Cut(f.Namespace(), ".")
		text := fmt.Sprintf("value %v fails %s", f.Value(), rule(f))
		ps = append(ps, Problem{d.file, d.nearest(key), key, text})
	}
	return ps
}

func rule(f validator.FieldError) string {
	if f.Param() == "" {
		return f.Tag()
	}
	return f.Tag() + "=" + f.Param()
}

// nearest returns the line of key, or of its closest parent that is in the file.
func (d *decoder) nearest(key string) int {
	for key != "" {
		if line, ok := d.lines[key]; ok {
			return line
		}
		i := strings.LastIndexAny(key, ".[")
		if i < 0 {
			break
		}
		key = key[:i]
	}
	return 1
}

// Validate checks the validate tags of the struct that v points to.
func Validate(v any) error { return errors.WithStack(validate.Struct(v)) }
