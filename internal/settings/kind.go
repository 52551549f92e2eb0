package settings

import (
	"slices"

	"citrontray.example/citrontray/internal/finding"
)

// kind describes and parses all settings at paths of one pattern.
type kind interface {
	// pattern is the path pattern, with * for each name.
	pattern() Path
	matches(parts []string) bool
	// parse validates item and appends its row to s. Problems go to found.
	parse(s *Settings, item Item, found *finding.List)
	items(s *Settings) []Item
	describe() KindDoc
	// hasField reports whether the kind has the named field.
	hasField(field string) bool
}

// valueType describes the values of a field on the reference page.
type valueType string

// Value types of fields.
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

// field is a typed field of rows of type R.
type field[R any] struct {
	name        string
	valueType   valueType
	description string
	// defaultText is the value if the field is omitted. Required fields have no
	// default.
	defaultText string
	required    bool
	textCodec[R]
}

// table is the kind whose rows have type R.
type table[R any] struct {
	pathPattern Path
	description string
	fields      []field[R]
	// rows returns the slice of s that holds the rows.
	rows func(s *Settings) *[]R
	// setNames sets the names of a row from the path segments that match *;
	// rowNames returns them.
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
			found.Add(item.location(""), "has an invalid name", "use at most 63 lower-case letters, digits and . _ -, with a letter or digit at both ends")
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
			found.Add(item.location(f.name), "has the wrong type", string(f.valueType))
			continue
		}
		if err := f.parse(&row, values.Values); err != nil {
			found.Add(item.location(f.name), err.Error(), string(f.valueType))
		}
	}
	rows := t.rows(s)
	*rows = append(*rows, row)
}

// checkUnknownFields reports the fields of item that the kind does not have.
func (t *table[R]) checkUnknownFields(item Item, found *finding.List) {
	for _, f := range item.Fields {
		if !t.hasField(f.Name) {
			found.Add(item.location(f.Name), "is not a field of this setting", "see the settings reference")
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

// item returns the text form of a row. Fields with their default are omitted.
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

// kindOf returns the kind whose pattern matches p, or nil.
func kindOf(p Path) kind {
	parts := p.parts()
	for _, k := range kinds {
		if k.matches(parts) {
			return k
		}
	}
	return nil
}

// IsList reports whether the named field of the setting at path is a list.
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

// KindDoc documents the settings of one path pattern on the reference page.
type KindDoc struct {
	Pattern     Path
	Description string
	Fields      []FieldDoc
}

// FieldDoc documents a field on the reference page.
type FieldDoc struct {
	Name, Type, Description, Default string
	Required                         bool
}

// Kinds documents all settings, in the order of the reference page.
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
