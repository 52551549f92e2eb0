package settings

import (
	"cmp"
	"slices"
	"strconv"

	"citrontray.example/citrontray/internal/finding"
)

// Position is a place in a settings file; the zero value stands for none.
type Position struct{ Line, Column int }

// Field is one field of an item as text, before its type is checked.
type Field struct {
	Name   string
	List   bool
	Values []string
	At     Position
}

// Item is the text form of one setting: a path and its fields. The file
// format, the store's document and the command line all pass through it.
type Item struct {
	Path   Path
	At     Position
	Fields []Field
}

// Change sets the whole value of a path, or deletes it.
type Change struct {
	Item
	Delete bool
}

// location names a field of the item in a finding.
func (i Item) location(field string) string {
	place := string(i.Path)
	at := i.At
	if field != "" {
		place += " " + field
		if f, ok := i.field(field); ok && f.At.Line > 0 {
			at = f.At
		}
	}
	if at.Line > 0 {
		place += " at " + strconv.Itoa(at.Line) + ":" + strconv.Itoa(at.Column)
	}
	return place
}

// field returns the field of that name.
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

// Items returns all settings in their text form, sorted by path.
func (s *Settings) Items() []Item {
	out := make([]Item, 0, len(s.Services)+len(s.Routes)+len(s.Callers))
	for _, k := range kinds {
		out = append(out, k.items(s)...)
	}
	slices.SortFunc(out, func(a, b Item) int { return cmp.Compare(a.Path, b.Path) })
	return out
}

// fromItems makes settings of items and checks each by itself.
func fromItems(items []Item, found *finding.List) *Settings {
	s := &Settings{}
	for _, item := range items {
		k := kindOf(item.Path)
		if k == nil {
			found.Add(item.location(""), "is not a path of a setting", "see the settings reference for the paths")
			continue
		}
		k.parse(s, item, found)
	}
	return s
}
