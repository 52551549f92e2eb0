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
	// parse checks item and adds its row to s; findings keep it out.
	parse(s *Settings, item Item, found *finding.List)
	items(s *Settings) []Item
	describe() KindDoc
	// hasField reports whether the kind has a field of that name.
	hasField(field string) bool
}

// valueType tells how the value of a field is written.
type valueType string

// The forms of fields.
const (
	typeText     valueType = "text"
	typeCount    valueType = "number"
	typeBytes    valueType = "number of bytes"
	typePercent  valueType = "number, in percent"
	typeRate     valueType = "number per second"
	typeBool     valueType = "true or false"
	typeDuration valueType = "duration, such as 2s or 500ms"
	typeList     valueType = "list"
)

// field is one typed field of the rows R.
type field[R any] struct {
	name        string
	valueType   valueType
	description string
	// defaultText is the value where the file names none; required fields have
	// none and must be named.
	defaultText string
	required    bool
	textCodec[R]
}

// table is the kind of the rows R.
type table[R any] struct {
	pathPattern Path
	description string
	fields      []field[R]
	// rows returns where s keeps the rows.
	rows func(s *Settings) *[]R
	// setNames takes the parts of the path that stand for *, path gives them back.
	setNames func(row *R, names []string)
	rowNames func(row *R) []string
}

func (t *table[R]) pattern() Path { return t.pathPattern }

func (t *table[R]) matches(parts []string) bool {
	want := t.pathPattern.parts()
	return slices.EqualFunc(want, parts, func(w, p string) bool { return w == p || w == "*" })
}

// parse implements kind.
func (t *table[R]) parse(s *Settings, item Item, found *finding.List) {
	var row R
	var names []string
	parts := item.Path.parts()
	for i, w := range t.pathPattern.parts() {
		if w != "*" {
			continue
		}
		names = append(names, parts[i])
		if !validName(parts[i]) {
			found.Add(item.location(""), "has a name that is not allowed", "use small letters, digits and . _ - inside, 63 bytes at most")
		}
	}
	t.setNames(&row, names)
	t.checkUnknownFields(item, found)
	for _, f := range t.fields {
		values, ok := item.field(f.name)
		if !ok {
			if f.required {
				found.Add(item.location(f.name), "is required", string(f.valueType))
				continue
			}
			if f.defaultText == "" {
				continue
			}
			values.Values = []string{f.defaultText}
		} else if !values.List && len(values.Values) != 1 || f.valueType != typeList && values.List {
			found.Add(item.location(f.name), "has the wrong form", string(f.valueType))
			continue
		}
		if err := f.parse(&row, values.Values); err != nil {
			found.Add(item.location(f.name), err.Error(), string(f.valueType))
		}
	}
	rows := t.rows(s)
	*rows = append(*rows, row)
}

// checkUnknownFields reports the fields that the kind does not have.
func (t *table[R]) checkUnknownFields(item Item, found *finding.List) {
	for _, f := range item.Fields {
		if !t.hasField(f.Name) {
			found.Add(item.location(f.Name), "is not a field here", "see the settings reference")
		}
	}
}

// hasField implements kind.
func (t *table[R]) hasField(name string) bool {
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
	names := t.rowNames(row)
	parts := t.pathPattern.parts()
	for i, p := range parts {
		if p == "*" {
			parts[i], names = names[0], names[1:]
		}
	}
	item := Item{Path: join(parts...)}
	for _, f := range t.fields {
		values := f.format(row)
		list := f.valueType == typeList
		if len(values) == 0 || !list && values[0] == f.defaultText {
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
			return f.Type == string(typeList)
		}
	}
	return false
}

// KindDoc describes one sort of setting for the reference page.
type KindDoc struct {
	Pattern     Path
	Description string
	Fields      []FieldDoc
}

// FieldDoc describes one field for the reference page.
type FieldDoc struct {
	Name, Type, Description, Default string
	Required                         bool
}

// Kinds describes all settings, in the order of the reference page.
func Kinds() []KindDoc {
	out := make([]KindDoc, 0, len(kinds))
	for _, k := range kinds {
		out = append(out, k.describe())
	}
	return out
}

func (t *table[R]) describe() KindDoc {
	k := KindDoc{Pattern: t.pathPattern, Description: t.description}
	for _, f := range t.fields {
		k.Fields = append(k.Fields, FieldDoc{f.name, string(f.valueType), f.description, f.defaultText, f.required})
	}
	return k
}
