package tomlcheck

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Decode decodes and checks files against the schema. The document holds all
// values that could be decoded; it is complete only if the report is OK.
func (s Schema) Decode(files []File) (*Document, *Report) {
	d := &decoder{
		doc:    &Document{schema: s, records: make(map[string][]*Record)},
		report: &Report{},
	}
	for _, f := range files {
		d.decodeFile(f)
	}
	d.finish()
	d.report.Sort()
	return d.doc, d.report
}

type decoder struct {
	doc      *Document
	report   *Report
	parser   unstable.Parser
	fileName string
	// newlineOffsets holds the offsets of the newlines of the current file.
	newlineOffsets []int
	// offset is the start of the parser's input within the file.
	offset int
	// current is the record that receives the next keys, or nil.
	current *Record
	// inUnknownTable is set below an unknown header. Its keys are not reported.
	inUnknownTable bool
}

// decodeFile decodes one file. After a syntax error it continues at the next
// table header, so that one error does not hide all other faults.
func (d *decoder) decodeFile(f File) {
	d.fileName = f.Name
	d.newlineOffsets = findNewlines(f.Data)
	d.offset = 0
	d.inUnknownTable = false
	d.current = d.rootRecord()
	for {
		rest := f.Data[d.offset:]
		d.parser.Reset(rest)
		for d.parser.NextExpression() {
			d.decodeExpression(d.parser.Expression())
		}
		err := d.parser.Error()
		if err == nil {
			return
		}
		at := d.reportSyntaxError(rest, err)
		next := nextHeader(rest, at)
		if next < 0 {
			return
		}
		d.offset += next
	}
}

func findNewlines(data []byte) []int {
	var ends []int
	for i, c := range data {
		if c == '\n' {
			ends = append(ends, i)
		}
	}
	return ends
}

// reportSyntaxError adds a finding for the error and returns its offset in the
// parser's input.
func (d *decoder) reportSyntaxError(rest []byte, err error) int {
	// An error without a position is reported at the end of the input.
	at := len(rest)
	var parserErr *unstable.ParserError
	if errors.As(err, &parserErr) {
		// Highlight is a subslice of rest, so the difference of the capacities is its
		// offset.
		if off := cap(rest) - cap(parserErr.Highlight); off >= 0 && off <= len(rest) && parserErr.Highlight != nil {
			at = off
		}
	}
	if d.current != nil {
		d.current.hasSyntaxError = true
	}
	lineStart := bytes.LastIndexByte(rest[:at], '\n') + 1
	// A fault in a header or outside of a record may hide a whole table.
	if d.current == nil || bytes.HasPrefix(rest[lineStart:], []byte("[")) {
		d.doc.incomplete = true
	}
	d.report.Add(d.pos(at), "", "", "TOML syntax error: "+err.Error(), "correct the syntax of this line")
	return at
}

// nextHeader returns the offset of the first line after offset start that begins
// with '[', or -1.
func nextHeader(data []byte, start int) int {
	i := bytes.Index(data[start:], []byte("\n["))
	if i < 0 {
		return -1
	}
	return start + i + 1
}

// pos returns the position in the file of an offset in the parser's input.
func (d *decoder) pos(offset int) Pos {
	line, _ := slices.BinarySearch(d.newlineOffsets, d.offset+offset)
	return Pos{File: d.fileName, Line: line + 1}
}

func (d *decoder) decodeExpression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table, unstable.ArrayTable:
		d.header(n)
	case unstable.KeyValue:
		d.decodeKeyValue(d.current, n)
	}
}

// keyPath returns the dotted key of a node and its position.
func (d *decoder) keyPath(n *unstable.Node) (string, Pos) {
	var parts []string
	pos := d.pos(0)
	it := n.Key()
	for it.Next() {
		if len(parts) == 0 {
			pos = d.pos(int(it.Node().Raw.Offset))
		}
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, "."), pos
}

func (d *decoder) header(n *unstable.Node) {
	name, pos := d.keyPath(n)
	array := n.Kind == unstable.ArrayTable
	d.current = nil
	d.inUnknownTable = false
	t := d.doc.schema.table(name)
	switch {
	case t == nil || name == "":
		d.inUnknownTable = true
		d.doc.incomplete = true
		d.report.Add(pos, "", name, fmt.Sprintf("unknown table %q", name), "use "+suggest(name, d.doc.schema.names()))
	case t.Array != array:
		d.report.Add(pos, "", name, "the table has the wrong kind of header", "write "+t.header())
		// The keys are still checked, but the record is not added to the document.
		d.current = newRecord(t, pos)
		d.doc.incomplete = true
	default:
		d.current = d.addRecord(t, pos)
	}
}

// addRecord adds a record to the document and returns it. A table that is not an
// array may occur once in all files. A repeated one gets a finding and is not
// added; its record is returned all the same, so that its keys are checked.
func (d *decoder) addRecord(t *Table, pos Pos) *Record {
	r := newRecord(t, pos)
	if list := d.doc.records[t.Name]; !t.Array && len(list) > 0 {
		d.report.Add(pos, "", t.Name, fmt.Sprintf("table %s is already given at %s", t.header(), list[0].pos),
			"keep one of the two")
		return r
	}
	d.doc.records[t.Name] = append(d.doc.records[t.Name], r)
	return r
}

// rootRecord returns the record for keys before the first header, or nil if the
// schema has no root table.
func (d *decoder) rootRecord() *Record {
	t := d.doc.schema.table("")
	if t == nil {
		return nil
	}
	if list := d.doc.records[""]; len(list) > 0 {
		return list[0]
	}
	return d.addRecord(t, Pos{File: d.fileName})
}

func (d *decoder) decodeKeyValue(r *Record, n *unstable.Node) {
	key, pos := d.keyPath(n)
	if r == nil {
		d.reportKeyOutsideTable(key, pos)
		return
	}
	f := r.table.field(key)
	if f == nil {
		d.report.Add(pos, r.Object(), key, "unknown key in "+r.table.header(), "use "+suggest(key, r.table.keys()))
		return
	}
	if old, ok := r.values[key]; ok {
		d.report.Add(pos, r.Object(), key, fmt.Sprintf("the key is already given at %s", old.pos), "keep one of the two")
		return
	}
	v, ok := d.decodeFieldValue(r, f, n.Value(), pos)
	r.values[key] = checkedValue{value: v, pos: pos, invalid: !ok, given: true}
}

// reportKeyOutsideTable reports a key before the first header of a file whose
// schema has no root table.
func (d *decoder) reportKeyOutsideTable(key string, pos Pos) {
	if d.inUnknownTable {
		return
	}
	d.report.Add(pos, "", key, "the key comes before the first table",
		"move it below the header of one of "+strings.Join(d.doc.schema.names(), ", "))
}

func (d *decoder) decodeFieldValue(r *Record, f *Field, n *unstable.Node, pos Pos) (Value, bool) {
	text, list, ok := readNode(f, n)
	if !ok {
		d.report.Add(pos, r.Object(), f.Key, fmt.Sprintf("got %s, want %s", kindNoun(n.Kind), f.Type),
			"write "+f.Key+" = "+typeInfos[f.Type].example)
		return Value{}, false
	}
	v, err := f.parse(text, list)
	if err != nil {
		d.report.Add(pos, r.Object(), f.Key, err.Error(), "write "+f.Key+" = "+f.example())
		return Value{}, false
	}
	if err := f.checkRange(v); err != nil {
		d.report.Add(pos, r.Object(), f.Key, fmt.Sprintf("%s is out of range", text), "use a value "+f.rangePhrase())
		return Value{}, false
	}
	return v, true
}

func (f *Field) example() string {
	if f.Type == Choice {
		return `"` + f.Choices[0] + `"`
	}
	return typeInfos[f.Type].example
}

// rangePhrase returns the range for a remedy, for example "from 1 to 8".
func (f *Field) rangePhrase() string {
	if f.Min != "" && f.Max != "" {
		return "from " + f.rangeText()
	}
	return f.rangeText()
}

// readNode returns the text or the list of a value. ok reports whether the field
// accepts the TOML type of the value.
func readNode(f *Field, n *unstable.Node) (text string, list []string, ok bool) {
	switch f.Type {
	case Names, Addresses:
		return readList(n)
	case Int:
		return string(n.Data), nil, n.Kind == unstable.Integer
	case Number, Cores:
		return string(n.Data), nil, n.Kind == unstable.Integer || n.Kind == unstable.Float
	case Bool:
		return string(n.Data), nil, n.Kind == unstable.Bool
	default:
		return string(n.Data), nil, n.Kind == unstable.String
	}
}

func readList(n *unstable.Node) (string, []string, bool) {
	if n.Kind != unstable.Array {
		return "", nil, false
	}
	list := []string{}
	it := n.Children()
	for it.Next() {
		if it.Node().Kind != unstable.String {
			return "", nil, false
		}
		list = append(list, string(it.Node().Data))
	}
	return "", list, true
}

func kindNoun(k unstable.Kind) string {
	switch k {
	case unstable.String:
		return "a string"
	case unstable.Integer:
		return "an integer"
	case unstable.Float:
		return "a decimal fraction"
	case unstable.Bool:
		return "a boolean"
	case unstable.Array:
		return "a list"
	case unstable.InlineTable:
		return "an inline table"
	default:
		return "a date or time"
	}
}

// finish reports missing required keys and sets defaults.
func (d *decoder) finish() {
	for i := range d.doc.schema {
		t := &d.doc.schema[i]
		for _, r := range d.doc.records[t.Name] {
			d.checkRequired(r)
			r.setDefaults()
		}
	}
}

func (d *decoder) checkRequired(r *Record) {
	if r.hasSyntaxError {
		return
	}
	for i := range r.table.Fields {
		f := &r.table.Fields[i]
		if _, ok := r.values[f.Key]; f.Required && !ok {
			d.report.Add(r.pos, r.Object(), f.Key, "the required key is missing", "add "+f.Key+" = "+f.example())
		}
	}
}
