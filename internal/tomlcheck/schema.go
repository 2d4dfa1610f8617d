package tomlcheck

import (
	"fmt"
	"strings"
)

// Type is the type of a field. It determines the notation and the checks of the
// value.
type Type uint8

// Types of fields.
const (
	// String is any text.
	String Type = iota + 1
	// Name is a name of an object: letters, digits, '.', '_' and '-'.
	Name
	// Names is a list of distinct names.
	Names
	// Int is an integer.
	Int
	// Number is an integer or a decimal fraction.
	Number
	// Cores is a number of processor cores, a multiple of 0.001.
	Cores
	// Size is an amount of memory with its unit, for example "60GB".
	Size
	// Duration is a duration with its unit, for example "800ms".
	Duration
	// Bool is true or false.
	Bool
	// TimeOfDay is a local time, for example "20:00".
	TimeOfDay
	// Zone is the name of an IANA time zone.
	Zone
	// Address is an IP address and a port.
	Address
	// Addresses is a list of distinct addresses.
	Addresses
	// URL is an http or https URL whose host is an IP address.
	URL
	// Choice is one of the listed words.
	Choice
)

// typeInfo holds the texts that describe a type in messages and documentation.
type typeInfo struct {
	noun    string
	example string
}

var typeInfos = map[Type]typeInfo{
	String:    {"a string", `"text"`},
	Name:      {"a name", `"gent-01"`},
	Names:     {"a list of names", `["one", "two"]`},
	Int:       {"an integer", `8`},
	Number:    {"a number", `0.5`},
	Cores:     {"a number of cores", `16 or 0.5`},
	Size:      {"a size", `"60GB" or "512MiB"`},
	Duration:  {"a duration", `"800ms", "5m" or "1h30m"`},
	Bool:      {"a boolean", `true`},
	TimeOfDay: {"a time of day", `"20:00"`},
	Zone:      {"a time zone", `"Europe/Brussels"`},
	Address:   {"an IP address and port", `"10.0.0.1:8080"`},
	Addresses: {"a list of IP addresses with ports", `["10.0.0.1:8080"]`},
	URL:       {"a URL with an IP address", `"http://10.0.0.1:9000"`},
	Choice:    {"a word", `"info"`},
}

// String returns a noun with its article, for example "a duration".
func (t Type) String() string {
	return typeInfos[t].noun
}

// Field is one key of a table.
type Field struct {
	Key      string
	Type     Type
	Required bool
	// Default, Min and Max are in the notation of files, without quotes. Empty
	// means the zero value for Default and no limit for Min and Max.
	Default string
	Min     string
	Max     string
	// Choices are the allowed words of a field of type Choice.
	Choices []string
	Doc     string
}

// Table is one table of a schema. It has no nested tables.
type Table struct {
	// Name is the name in the header. It is empty for the root table, whose keys
	// come before the first header.
	Name string
	// Array is set for a table that is written as [[name]] and may occur more
	// than once.
	Array bool
	// Label is the key whose value identifies a record in findings.
	Label  string
	Doc    string
	Fields []Field
}

// Schema is the set of known tables.
type Schema []Table

func (s Schema) table(name string) *Table {
	for i := range s {
		if s[i].Name == name {
			return &s[i]
		}
	}
	return nil
}

func (t *Table) field(key string) *Field {
	for i := range t.Fields {
		if t.Fields[i].Key == key {
			return &t.Fields[i]
		}
	}
	return nil
}

// header returns the header of the table as it is written in a file.
func (t *Table) header() string {
	switch {
	case t.Name == "":
		return "top of the file"
	case t.Array:
		return "[[" + t.Name + "]]"
	default:
		return "[" + t.Name + "]"
	}
}

// Markdown renders the schema as reference documentation: for each table a
// heading, its purpose and a table of its keys.
func (s Schema) Markdown() string {
	var b strings.Builder
	for i := range s {
		t := &s[i]
		fmt.Fprintf(&b, "### `%s`\n\n%s\n\n", t.header(), t.Doc)
		b.WriteString("| key | type | default | range | meaning |\n| --- | --- | --- | --- | --- |\n")
		for j := range t.Fields {
			b.WriteString(t.Fields[j].markdownRow())
		}
		b.WriteByte('\n')
	}
	return b.String()
}

func (f *Field) markdownRow() string {
	def := "none"
	switch {
	case f.Required:
		def = "required"
	case f.Default != "":
		def = "`" + f.literal(f.Default) + "`"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s |\n", f.Key, f.Type, def, f.rangeText(), f.Doc)
}

// literal returns a value as it is written in a TOML file.
func (f *Field) literal(v string) string {
	switch f.Type {
	case Int, Number, Cores, Bool:
		return v
	default:
		return `"` + v + `"`
	}
}

// rangeText returns the range for the reference table, for example "1 to 8".
func (f *Field) rangeText() string {
	switch {
	case len(f.Choices) > 0:
		return strings.Join(f.Choices, ", ")
	case f.Min != "" && f.Max != "":
		return f.Min + " to " + f.Max
	case f.Min != "":
		return "from " + f.Min
	case f.Max != "":
		return "up to " + f.Max
	default:
		return "any"
	}
}
