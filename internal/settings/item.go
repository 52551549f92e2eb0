package settings

import (
	"cmp"
	"slices"
	"strconv"

	"citrontray.example/citrontray/internal/finding"
)

// Position is a position in a settings file; the zero value means none.
type Position struct{ Line, Column int }

// Field is a field of an item as text, not yet validated.
type Field struct {
	Name   string
	List   bool
	Values []string
	At     Position
}

// Item is the text form of one setting: a path and its fields. The file format,
// the stored document and the command line all use it.
type Item struct {
	Path   Path
	At     Position
	Fields []Field
}

// Change replaces the value at a path, or deletes it.
type Change struct {
	Item
	Delete bool
}

// location returns the location of a field in findings; "" is the item itself.
func (i Item) location(field string) string {
	loc := string(i.Path)
	at := i.At
	if field != "" {
		loc += " " + field
		if f, ok := i.field(field); ok && f.At.Line > 0 {
			at = f.At
		}
	}
	if at.Line > 0 {
		loc += " at " + strconv.Itoa(at.Line) + ":" + strconv.Itoa(at.Column)
	}
	return loc
}

// field returns the named field.
func (i Item) field(name string) (Field, bool) {
	at := slices.IndexFunc(i.Fields, func(f Field) bool { return f.Name == name })
	if at < 0 {
		return Field{}, false
	}
	return i.Fields[at], true
}

// equal reports whether both items have the same path and fields.
func (i Item) equal(o Item) bool {
	same := func(a, b Field) bool {
		return a.Name == b.Name && a.List == b.List && slices.Equal(a.Values, b.Values)
	}
	return i.Path == o.Path && slices.EqualFunc(i.Fields, o.Fields, same)
}

// Items returns all settings as items, sorted by path.
func (s *Settings) Items() []Item {
	out := make([]Item, 0, len(s.Services)+len(s.Routes)+len(s.Callers))
	for _, k := range kinds {
		out = append(out, k.items(s)...)
	}
	slices.SortFunc(out, func(a, b Item) int { return cmp.Compare(a.Path, b.Path) })
	return out
}

// fromItems builds settings from items and validates each item by itself.
func fromItems(items []Item, found *finding.List) *Settings {
	s := &Settings{}
	for _, item := range items {
		k := kindOf(item.Path)
		if k == nil {
			found.Add(item.location(""), "is not the path of a setting", "see the settings reference for the paths")
			continue
		}
		k.parse(s, item, found)
	}
	return s
}
