package settings

import (
	"slices"

	"citrontray.example/citrontray/internal/finding"
)

// kind is one sort of setting: its paths and fields.
type kind interface {
	// pattern is the kind's path with * for each name.
	pattern() Path
	matches(parts []string) bool
	// read checks item and adds its row to s; findings keep it out.
	read(s *Settings, item Item, found *finding.List)
	items(s *Settings) []Item
	describe() Kind
	// has reports whether the kind has a field of that name.
	has(field string) bool
}

// form tells how the value of a field is written.
type form string

// The forms of fields.
const (
	formText     form = "text"
	formCount    form = "number"
	formBytes    form = "number of bytes"
	formPercent  form = "number, in percent"
	formRate     form = "number per second"
	formSwitch   form = "true or false"
	formDuration form = "duration, such as 2s or 500ms"
	formList     form = "list"
)

// field is one typed field of the rows R.
type field[R any] struct {
	name  string
	form  form
	about string
	// fallback is the value where the file names none; required fields have
	// none and must be named.
	fallback string
	required bool
	access[R]
}

// table is the kind of the rows R.
type table[R any] struct {
	paths  Path
	about  string
	fields []field[R]
	// rows returns where s keeps the rows.
	rows func(s *Settings) *[]R
	// names takes the parts of the path that stand for *, path gives them back.
	names func(row *R, names []string)
	path  func(row *R) []string
}

func (t *table[R]) pattern() Path { return t.paths }

func (t *table[R]) matches(parts []string) bool {
	want := t.paths.parts()
	return slices.EqualFunc(want, parts, func(w, p string) bool { return w == p || w == "*" })
}

// read implements kind.
func (t *table[R]) read(s *Settings, item Item, found *finding.List) {
	var row R
	var names []string
	parts := item.Path.parts()
	for i, w := range t.paths.parts() {
		if w != "*" {
			continue
		}
		names = append(names, parts[i])
		if !validName(parts[i]) {
			found.Add(item.place(""), "has a name that is not allowed", "use small letters, digits and . _ - inside, 63 bytes at most")
		}
	}
	t.names(&row, names)
	t.unknown(item, found)
	for _, f := range t.fields {
		values, ok := item.field(f.name)
		if !ok {
			if f.required {
				found.Add(item.place(f.name), "is required", string(f.form))
				continue
			}
			if f.fallback == "" {
				continue
			}
			values.Values = []string{f.fallback}
		} else if !values.List && len(values.Values) != 1 || f.form != formList && values.List {
			found.Add(item.place(f.name), "has the wrong form", string(f.form))
			continue
		}
		if err := f.read(&row, values.Values); err != nil {
			found.Add(item.place(f.name), err.Error(), string(f.form))
		}
	}
	rows := t.rows(s)
	*rows = append(*rows, row)
}

// unknown reports the fields that the kind does not have.
func (t *table[R]) unknown(item Item, found *finding.List) {
	for _, f := range item.Fields {
		if !t.has(f.Name) {
			found.Add(item.place(f.Name), "is not a field here", "see the settings reference")
		}
	}
}

// has implements kind.
func (t *table[R]) has(name string) bool {
	for i := range t.fields {
		if t.fields[i].name == name {
			return true
		}
	}
	return false
}

// items implements kind.
func (t *table[R]) items(s *Settings) []Item {
	rows := *t.rows(s)
	out := make([]Item, 0, len(rows))
	for i := range rows {
		out = append(out, t.item(&rows[i]))
	}
	return out
}

// item returns the text form of a row, without fields at their fallback.
func (t *table[R]) item(row *R) Item {
	names := t.path(row)
	parts := t.paths.parts()
	for i, p := range parts {
		if p == "*" {
			parts[i], names = names[0], names[1:]
		}
	}
	item := Item{Path: join(parts...)}
	for _, f := range t.fields {
		values := f.show(row)
		list := f.form == formList
		if len(values) == 0 || !list && values[0] == f.fallback {
			continue
		}
		item.Fields = append(item.Fields, Field{Name: f.name, List: list, Values: values})
	}
	return item
}

// kindOf returns the kind that a path belongs to, or nil.
func kindOf(p Path) kind {
	parts := p.parts()
	for _, k := range kinds {
		if k.matches(parts) {
			return k
		}
	}
	return nil
}

// IsList reports whether the field of that name is a list at path.
func IsList(path Path, name string) bool {
	k := kindOf(path)
	if k == nil {
		return false
	}
	for _, f := range k.describe().Fields {
		if f.Name == name {
			return f.Form == string(formList)
		}
	}
	return false
}

// Kind describes one sort of setting for the reference page.
type Kind struct {
	Paths  Path
	About  string
	Fields []FieldKind
}

// FieldKind describes one field for the reference page.
type FieldKind struct {
	Name, Form, About, Fallback string
	Required                    bool
}

// Kinds describes all settings, in the order of the reference page.
func Kinds() []Kind {
	out := make([]Kind, 0, len(kinds))
	for _, k := range kinds {
		out = append(out, k.describe())
	}
	return out
}

func (t *table[R]) describe() Kind {
	k := Kind{Paths: t.paths, About: t.about}
	for _, f := range t.fields {
		k.Fields = append(k.Fields, FieldKind{f.name, string(f.form), f.about, f.fallback, f.required})
	}
	return k
}
