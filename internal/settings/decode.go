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

// Problem describes one invalid key of a file.
type Problem struct {
	File string
	Line int
	Key  string // dotted path; empty: the problem concerns the whole file
	Text string
}

// Error returns "file:line: key: text".
func (p Problem) Error() string {
	if p.Key == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Text)
}

// Problems lists the problems found in one file.
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

// jsonName returns the name that the json tag of a field declares.
func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// Decode parses JSON with comments into out and checks it. out must point to a
// struct with json and validate tags. Decode refuses unknown and duplicate keys.
// Errors in the text are returned as Problems; the file name is used only in
// them.
func Decode(file string, text []byte, out any) error {
	tree, err := hujson.Parse(text)
	if err != nil {
		return Problems{{File: file, Line: syntaxErrorLine(err), Text: err.Error()}}
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

// ProblemAt returns a problem with the line of the given key. Callers use it for
// checks across several keys, on a text that Decode has accepted.
func ProblemAt(file string, text []byte, key, problem string) Problems {
	tree, err := hujson.Parse(text)
	if err != nil {
		return Problems{{File: file, Line: syntaxErrorLine(err), Text: err.Error()}}
	}
	d := decoder{file: file, text: text, lines: map[string]int{}}
	d.walk("", tree, nil)
	return Problems{{file, d.lineOfNearest(key), key, problem}}
}

// syntaxErrorLine extracts the line number from a hujson syntax error. It returns
// 1 if the error has none.
func syntaxErrorLine(err error) int {
	line := 1
	if i := strings.Index(err.Error(), "line "); i >= 0 {
		fmt.Sscanf(err.Error()[i:], "line %d", &line)
	}
	return line
}

// decoder decodes one file and collects its problems.
type decoder struct {
	file     string
	text     []byte
	lines    map[string]int // line of each dotted key
	problems Problems
}

// lineAt returns the line, counted from 1, of a byte offset.
func (d *decoder) lineAt(offset int) int {
	offset = min(offset, len(d.text))
	return 1 + bytes.Count(d.text[:offset], []byte{'\n'})
}

// walk records the line of each key below path and adds a problem for each key
// that t does not declare. A nil t accepts all keys.
func (d *decoder) walk(path string, v hujson.Value, t reflect.Type) {
	switch n := v.Value.(type) {
	case *hujson.Object:
		d.walkObject(path, n, t)
	case *hujson.Array:
		for i, e := range n.Elements {
			d.walk(fmt.Sprintf("%s[%d]", path, i), e, elementType(t))
		}
	}
}

// elementType returns the element type of a slice, map or pointer, and nil for
// other types.
func elementType(t reflect.Type) reflect.Type {
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
		key := joinKey(path, name)
		line := d.lineAt(m.Name.StartOffset)
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

func joinKey(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldType returns the type of the named JSON key in t and whether t has such a
// key. Types other than structs and maps have every key, of unknown type (nil).
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

// unmarshal decodes standard JSON into out and adds line and key to type errors.
func (d *decoder) unmarshal(standard []byte, out any) error {
	err := json.Unmarshal(standard, out)
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		line := d.lines[te.Field]
		if line == 0 {
			line = d.lineAt(int(te.Offset))
		}
		return Problems{{d.file, line, te.Field, fmt.Sprintf("want %s, got %s", te.Type, te.Value)}}
	}
	if err != nil {
		return Problems{{File: d.file, Line: 1, Text: err.Error()}}
	}
	return nil
}

// check applies the validate tags and returns a problem for each violated rule.
func (d *decoder) check(out any) error {
	err := validate.Struct(out)
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return errors.WithStack(err)
	}
	var ps Problems
	for _, f := range fields {
		_, key, _ := strings.Cut(f.Namespace(), ".")
		text := fmt.Sprintf("value %v fails %s", f.Value(), ruleText(f))
		ps = append(ps, Problem{d.file, d.lineOfNearest(key), key, text})
	}
	return ps
}

// ruleText returns the violated rule as its validate tag spells it.
func ruleText(f validator.FieldError) string {
	if f.Param() == "" {
		return f.Tag()
	}
	return f.Tag() + "=" + f.Param()
}

// lineOfNearest returns the line of key or, if key is absent, of its closest
// ancestor in the file. It returns 1 if there is none.
func (d *decoder) lineOfNearest(key string) int {
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

// Validate applies the validate tags of the struct that v points to.
func Validate(v any) error { return errors.WithStack(validate.Struct(v)) }
