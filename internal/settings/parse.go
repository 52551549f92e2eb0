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

// MaxFileBytes bounds a settings file.
const MaxFileBytes = 1 << 20

// maxDepth bounds the nesting of a file: the top, a setting, a list.
const maxDepth = 16

// Parse reads a settings file: YAML whose top is a mapping of paths to
// mappings of fields, with comments; a path with null is deleted. The error is
// a *finding.Error with every problem of the form; values are checked by With.
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

// tooDeep reports whether the file nests brackets deeper than any setting
// does: a file of a million [ would cost the parser a stack as deep.
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

// addSyntax records an error of the YAML parser with its place.
func addSyntax(found *finding.List, err error) {
	var at yaml.Error
	if errors.As(err, &at) && at.GetToken() != nil {
		pos := at.GetToken().Position
		found.Add(fmt.Sprintf("file at %d:%d", pos.Line, pos.Column), at.GetMessage(), "")
		return
	}
	found.Add("file", err.Error(), "")
}

// checkDuplicates records the paths that stand twice in a file.
func checkDuplicates(changes []Change, found *finding.List) {
	first := make(map[Path]Position, len(changes))
	for _, c := range changes {
		if at, ok := first[c.Path]; ok {
			found.Addf(c.location(""), "stands in the file twice, first at %d:%d", at.Line, at.Column)
			continue
		}
		first[c.Path] = c.At
	}
}

// parseDocument reads one YAML document.
func parseDocument(body ast.Node, found *finding.List) []Change {
	if body == nil || body.Type() == ast.NullType {
		return nil
	}
	top, ok := body.(ast.MapNode)
	if !ok {
		addAtNode(found, "file", body, "is not a mapping of paths", "write path: and its fields below")
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
			found.Add(change.location(""), "is not a mapping of fields", "write its fields below it")
		}
		changes = append(changes, change)
	}
	return changes
}

// parseFields reads the fields of one setting, sorted by name.
func parseFields(path Path, node ast.MapNode, found *finding.List) []Field {
	var fields []Field
	for it := node.MapRange(); it.Next(); {
		field := Field{Name: keyText(it.Key()), At: positionOf(it.Key())}
		place := Item{Path: path, Fields: []Field{field}}.location(field.Name)
		switch value := it.Value().(type) {
		case *ast.SequenceNode:
			field.List = true
			for _, v := range value.Values {
				if t, ok := scalarText(v); ok {
					field.Values = append(field.Values, t)
					continue
				}
				found.Add(place, "holds something that is not a plain value", "write a list of plain values")
			}
		default:
			t, ok := scalarText(value)
			if !ok {
				found.Add(place, "is neither a plain value nor a list", "")
				continue
			}
			field.Values = []string{t}
		}
		fields = append(fields, field)
	}
	slices.SortFunc(fields, func(a, b Field) int { return compareNames(a.Name, b.Name) })
	return fields
}

// scalarText returns the text of a plain value as it was written.
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

// keyText returns the text of a mapping's key.
func keyText(node ast.MapKeyNode) string {
	if t, ok := scalarText(node); ok {
		return t
	}
	return node.String()
}

// positionOf returns where a node stands.
func positionOf(node ast.Node) Position {
	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return Position{}
	}
	pos := node.GetToken().Position
	return Position{Line: pos.Line, Column: pos.Column}
}

// addAtNode records a problem at a node.
func addAtNode(found *finding.List, place string, node ast.Node, problem, mend string) {
	at := positionOf(node)
	found.Add(fmt.Sprintf("%s at %d:%d", place, at.Line, at.Column), problem, mend)
}
