package settings

import (
	"cmp"
	"maps"
	"slices"

	"citrontray.example/citrontray/internal/finding"
)

// compareNames orders the names of fields and the paths of changes.
func compareNames(a, b string) int { return cmp.Compare(a, b) }

// With returns the settings after the changes, validated as a whole. The error
// is a *finding.Error with all problems. It does not modify s.
func (s *Settings) With(changes []Change) (*Settings, error) {
	byPath := make(map[Path]Item)
	for _, item := range s.Items() {
		byPath[item.Path] = item
	}
	var found finding.List
	for _, c := range changes {
		if !c.Delete {
			byPath[c.Path] = c.Item
			continue
		}
		if _, ok := byPath[c.Path]; !ok {
			found.Add(c.location(""), "does not exist", "")
		}
		delete(byPath, c.Path)
	}
	items := slices.SortedFunc(maps.Values(byPath), func(a, b Item) int { return cmp.Compare(a.Path, b.Path) })
	next := fromItems(items, &found)
	next.check(byPath, &found)
	next.checkImmutable(s, byPath, &found)
	if err := found.Err(); err != nil {
		return nil, err
	}
	next.Revision, next.Number = s.Revision, s.Number
	next.History, next.unknownFields = s.History, s.unknownFields
	next.index = newIndex(next)
	return next, nil
}

// Difference is a path whose value differs between two settings.
type Difference struct {
	Path Path
	// Before and After are in the file format, "" if the path does not exist.
	Before, After string
}

// Diff returns the differences between old and next, sorted by path.
func Diff(old, next *Settings) []Difference {
	before, after := itemsByPath(old), itemsByPath(next)
	paths := maps.Clone(before)
	maps.Copy(paths, after)
	var out []Difference
	for _, p := range slices.Sorted(maps.Keys(paths)) {
		was, had := before[p]
		is, has := after[p]
		if had == has && was.equal(is) {
			continue
		}
		d := Difference{Path: p}
		if had {
			d.Before = Format([]Item{was})
		}
		if has {
			d.After = Format([]Item{is})
		}
		out = append(out, d)
	}
	return out
}

func itemsByPath(s *Settings) map[Path]Item {
	out := make(map[Path]Item)
	for _, item := range s.Items() {
		out[item.Path] = item
	}
	return out
}
