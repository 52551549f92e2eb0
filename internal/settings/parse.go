package settings

import (
	"errors"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"citrontray.example/citrontray/internal/finding"
)

// MaxFileBytes bounds the size of a settings file.
const MaxFileBytes = 1 << 20

// maxDepth bounds the nesting of brackets. Valid settings need three levels: the
// file, a setting and a list.
const maxDepth = 16

// Parse parses a settings file: YAML with a mapping of paths to mappings of
// fields. A null value deletes the path. The error is a *finding.Error with all
// syntax problems; With validates the values.
func Parse(file []byte) ([]Change, error) {
	var found finding.List
	if len(file) > MaxFileBytes {
		found.Addf("file", "is longer than %d bytes", MaxFileBytes)
		return nil, found.Err()
	}
	if tooDeep(file) {
		found.Addf("file", "nests brackets deeper than %d", maxDepth)
		return nil, found.Err()
	}
	tree, err := parser.ParseBytes(file, 0)
	if err != nil {
		addSyntax(&found, err)
		return nil, found.Err()
	}
	var changes []Change
	for _, doc := range tree.Docs {
		changes = append(changes, parseDocument(doc.Body, &found)...)
	}
	checkDuplicates(changes, &found)
	return changes, found.Err()
}

// tooDeep reports whether brackets are nested deeper than maxDepth. The YAML
// parser recurses once per level: a file of a million [ would need a stack of a
// million frames.
func tooDeep(file []byte) bool {
	depth := 0
	for _, b := range file {
		switch b {
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		case '\n':
			depth = min(depth, 0)
		}
		if depth > maxDepth {
			return true
		}
	}
	return false
}

// addSyntax records a syntax error of the YAML parser with its location.
func addSyntax(found *finding.List, err error) {
	var at yaml.Error
	if errors.As(err, &at) && at.GetToken() != nil {
		pos := at.GetToken().Position
		found.Add(fmt.Sprintf("file at %d:%d", pos.Line, pos.Column), at.GetMessage(), "")
		return
	}
	found.Add("file", err.Error(), "")
}

// checkDuplicates records the paths that occur more than once in a file.
func checkDuplicates(changes []Change, found *finding.List) {
	first := make(map[Path]Position, len(changes))
	for _, c := range changes {
		if at, ok := first[c.Path]; ok {
			found.Addf(c.location(""), "occurs twice in the file, first at %d:%d", at.Line, at.Column)
			continue
		}
		first[c.Path] = c.At
	}
}

// parseDocument parses one YAML document.
func parseDocument(body ast.Node, found *finding.List) []Change {
	if body == nil || body.Type() == ast.NullType {
		return nil
	}
	top, ok := body.(ast.MapNode)
	if !ok {
		addAtNode(found, "file", body, "is not a mapping of paths", "write path: and the fields of the setting below it")
		return nil
	}
	var changes []Change
	for it := top.MapRange(); it.Next(); {
		change := Change{Item: Item{Path: Path(keyText(it.Key())), At: positionOf(it.Key())}}
		switch value := it.Value().(type) {
		case *ast.NullNode:
			change.Delete = true
		case ast.MapNode:
			change.Fields = parseFields(change.Path, value, found)
		default:
			found.Add(change.location(""), "is not a mapping of fields", "write the fields of the setting below its path")
		}
		changes = append(changes, change)
	}
	return changes
}

// parseFields parses the fields of one setting and sorts them by name.
func parseFields(path Path, node ast.MapNode, found *finding.List) []Field {
	var fields []Field
	for it := node.MapRange(); it.Next(); {
		field := Field{Name: keyText(it.Key()), At: positionOf(it.Key())}
		loc := Item{Path: path, Fields: []Field{field}}.location(field.Name)
		switch value := it.Value().(type) {
		case *ast.SequenceNode:
			field.List = true
			for _, v := range value.Values {
				if t, ok := scalarText(v); ok {
					field.Values = append(field.Values, t)
					continue
				}
				found.Add(loc, "contains a value that is not a scalar", "write a list of scalars")
			}
		default:
			t, ok := scalarText(value)
			if !ok {
				found.Add(loc, "is neither a scalar nor a list", "")
				continue
			}
			field.Values = []string{t}
		}
		fields = append(fields, field)
	}
	slices.SortFunc(fields, func(a, b Field) int { return compareNames(a.Name, b.Name) })
	return fields
}

// scalarText returns the source text of a scalar.
func scalarText(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return n.GetToken().Value, true
	}
	return "", false
}

// keyText returns the source text of a mapping key.
func keyText(node ast.MapKeyNode) string {
	if t, ok := scalarText(node); ok {
		return t
	}
	return node.String()
}

// positionOf returns the position of a node in the file.
func positionOf(node ast.Node) Position {
	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return Position{}
	}
	pos := node.GetToken().Position
	return Position{Line: pos.Line, Column: pos.Column}
}

// addAtNode records a problem at the position of a node.
func addAtNode(found *finding.List, location string, node ast.Node, problem, hint string) {
	at := positionOf(node)
	found.Add(fmt.Sprintf("%s at %d:%d", location, at.Line, at.Column), problem, hint)
}
