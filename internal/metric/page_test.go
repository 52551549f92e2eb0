package metric_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// constructors are the methods of a tally scope that create a metric by name.
var constructors = []string{"Counter", "Gauge", "Histogram", "Timer"}

// namesInCode returns the names of all metrics that the code below root
// creates.
func namesInCode(t *testing.T, root string) map[string]bool {
	t.Helper()
	names := make(map[string]bool)
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if name, ok := metricName(n); ok {
				names[name] = true
			}
			return true
		})
		return nil
	})
	assert.NilError(t, err)
	return names
}

// metricName returns the name in a call such as scope.Gauge("name").
func metricName(n ast.Node) (string, bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return "", false
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !slices.Contains(constructors, method.Sel.Name) {
		return "", false
	}
	literal, ok := call.Args[0].(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	name, err := strconv.Unquote(literal.Value)
	return name, err == nil
}

// TestPageListsAllMetrics checks that the operators' metrics page lists exactly
// the metrics that the code creates.
func TestPageListsAllMetrics(t *testing.T) {
	root := filepath.Join("..", "..")
	code := namesInCode(t, filepath.Join(root, "internal"))
	page, err := os.ReadFile(filepath.Join(root, "docs", "operators", "metrics.md"))
	assert.NilError(t, err)
	listed := make(map[string]bool)
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z0-9_]+)`").FindAllStringSubmatch(string(page), -1) {
		listed[m[1]] = true
	}
	assert.DeepEqual(t, slices.Sorted(maps.Keys(listed)), slices.Sorted(maps.Keys(code)))
}
