package settings

import (
	"strconv"
	"strings"
)

// Format formats items as a settings file that Parse accepts.
func Format(items []Item) string {
	var b strings.Builder
	for i, item := range items {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(string(item.Path))
		b.WriteString(":")
		if len(item.Fields) == 0 {
			b.WriteString(" {}")
		}
		b.WriteByte('\n')
		for _, f := range item.Fields {
			b.WriteString("  " + f.Name + ":" + formatField(f) + "\n")
		}
	}
	return b.String()
}

// formatField formats the value of a field, with a leading space.
func formatField(f Field) string {
	if !f.List {
		return " " + formatScalar(f.Values[0])
	}
	quoted := make([]string, len(f.Values))
	for i, v := range f.Values {
		quoted[i] = formatScalar(v)
	}
	return " [" + strings.Join(quoted, ", ") + "]"
}

// isPlainScalar reports whether v needs no quotes in YAML: it consists of letters,
// digits and / . _ and is not null or an alias of true or false, such as yes.
func isPlainScalar(v string) bool {
	switch strings.ToLower(v) {
	case "", "null", "~", "yes", "no", "on", "off", "y", "n":
		return false
	}
	for _, r := range v {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		case strings.ContainsRune("/._", r):
		default:
			return false
		}
	}
	return true
}

// formatScalar formats v as a YAML scalar that parses back to v.
func formatScalar(v string) string {
	if isPlainScalar(v) || isPlainScalar(strings.ReplaceAll(v, "-", "")) && v[0] != '-' {
		return v
	}
	return strconv.Quote(v)
}
