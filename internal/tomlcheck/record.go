package tomlcheck

import (
	"fmt"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Record is one occurrence of a table with its checked values. The getters return
// the zero value for a key without a valid value. They panic for keys that the
// schema does not have, which is a programming error.
type Record struct {
	table  *Table
	pos    Pos
	values map[string]checkedValue
	// hasSyntaxError suppresses findings about missing keys.
	hasSyntaxError bool
}

// checkedValue is a value with its position. An invalid value is not returned
// by the getters but counts as given.
type checkedValue struct {
	value   Value
	pos     Pos
	invalid bool
	given   bool
}

// Pos returns the position of the table's header.
func (r *Record) Pos() Pos {
	return r.pos
}

// KeyPos returns the position of a key, or of the table's header if the file does
// not set the key. It is the zero Pos if no file has the table.
func (r *Record) KeyPos(key string) Pos {
	r.mustHaveKey(key)
	if v, ok := r.values[key]; ok && v.given {
		return v.pos
	}
	return r.pos
}

// Object returns the name of the record for findings, for example `vm "gent-01"`.
func (r *Record) Object() string {
	if r.table.Label != "" {
		if v, ok := r.values[r.table.Label]; ok && !v.invalid {
			return fmt.Sprintf("%s %q", r.table.Name, v.value.Text)
		}
	}
	if r.table.Name == "" {
		return ""
	}
	return r.table.header()
}

// Valid reports whether the key has a valid value, from the file or by default.
func (r *Record) Valid(key string) bool {
	r.mustHaveKey(key)
	v, ok := r.values[key]
	return ok && !v.invalid
}

// Given reports whether the file sets the key, to a valid value or not.
func (r *Record) Given(key string) bool {
	r.mustHaveKey(key)
	return r.values[key].given
}

// HasSyntaxError reports whether a syntax error hides part of the record.
func (r *Record) HasSyntaxError() bool {
	return r.hasSyntaxError
}

func (r *Record) mustHaveKey(key string) {
	if r.table.field(key) == nil {
		panic(fmt.Sprintf("table %q has no key %q", r.table.Name, key))
	}
}

// value returns the valid value of a key, or the zero value.
func (r *Record) value(key string) Value {
	r.mustHaveKey(key)
	v := r.values[key]
	if v.invalid {
		return Value{}
	}
	return v.value
}

// String returns a text value.
func (r *Record) String(key string) string {
	return r.value(key).Text
}

// Strings returns a list value.
func (r *Record) Strings(key string) []string {
	return r.value(key).List
}

// Int returns an integer, a number of thousandths of a core or a size in bytes.
func (r *Record) Int(key string) int64 {
	return r.value(key).Int
}

// Float returns a value of type Number.
func (r *Record) Float(key string) float64 {
	return r.value(key).Float
}

// Bool returns a boolean.
func (r *Record) Bool(key string) bool {
	return r.value(key).Int == 1
}

// Duration returns a duration, or a time of day as the time since midnight.
func (r *Record) Duration(key string) time.Duration {
	return time.Duration(r.value(key).Int)
}

// Resources returns the amounts of the keys cores, memory and accelerators, each
// with the given prefix.
func (r *Record) Resources(prefix string) types.Resources {
	return types.Resources{
		MilliCPU:     r.Int(prefix + "cores"),
		MemoryBytes:  r.Int(prefix + "memory"),
		Accelerators: r.Int(prefix + "accelerators"),
	}
}

// Add adds a finding about a key of the record to the report.
func (r *Record) Add(report *Report, key, problem, remedy string) {
	report.Add(r.KeyPos(key), r.Object(), key, problem, remedy)
}

// Document is the content of a set of files.
type Document struct {
	schema  Schema
	records map[string][]*Record
	// incomplete is set if a fault hides a whole table.
	incomplete bool
}

// Incomplete reports whether a fault, such as an unknown header, hides a whole
// table. References to undeclared names may then be a consequence of the fault.
func (d *Document) Incomplete() bool {
	return d.incomplete
}

// All returns the records of a table, in the order of the files given to Decode
// and of the lines in each file.
func (d *Document) All(table string) []*Record {
	return d.records[table]
}

// One returns the record of a table that is not an array, or a record with the
// defaults if no file has the table. It panics if the schema does not have the
// table.
func (d *Document) One(table string) *Record {
	if list := d.records[table]; len(list) > 0 {
		return list[0]
	}
	r := newRecord(d.schema.table(table), Pos{})
	r.setDefaults()
	return r
}

func newRecord(t *Table, pos Pos) *Record {
	return &Record{table: t, pos: pos, values: make(map[string]checkedValue)}
}

// setDefaults sets the default values of keys that are not given. It panics for
// an invalid default, which is a mistake in the schema.
func (r *Record) setDefaults() {
	for i := range r.table.Fields {
		f := &r.table.Fields[i]
		if _, ok := r.values[f.Key]; ok || f.Default == "" {
			continue
		}
		v, err := f.parse(f.Default, nil)
		if err != nil {
			panic(fmt.Sprintf("default of %s.%s: %v", r.table.Name, f.Key, err))
		}
		r.values[f.Key] = checkedValue{value: v}
	}
}
