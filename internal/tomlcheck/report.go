// Package tomlcheck checks TOML files against a schema and finds all faults in
// one pass.
//
// A Schema lists tables and fields with type, default and range. Decode returns
// records of checked values with their lines, and a Report of findings. The
// same schema renders the reference tables of docs/CONFIG.md.
package tomlcheck

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/boragecrank/boragecrank/internal/apperr"
)

// Pos is a position in a file. Line counts from 1; 0 means the file as a whole.
type Pos struct {
	File string
	Line int
}

// String returns file:line, or only the file if Line is 0.
func (p Pos) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d", p.File, p.Line)
}

// Finding is one fault in a file, or a warning.
type Finding struct {
	File string `json:"file"`
	Line int    `json:"line,omitempty"`
	// Object is the record with the fault, for example `vm "gent-01"`.
	Object string `json:"object,omitempty"`
	// Key is the key within the record.
	Key     string `json:"key,omitempty"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
	// Warning is set for content that can be accepted but probably does not do
	// what was meant.
	Warning bool `json:"warning,omitempty"`
}

// String returns the finding as one line without a newline.
func (f Finding) String() string {
	parts := []string{Pos{f.File, f.Line}.String()}
	if f.Warning {
		parts = append(parts, "warning")
	}
	if f.Object != "" {
		parts = append(parts, f.Object)
	}
	if f.Key != "" {
		parts = append(parts, f.Key)
	}
	return strings.Join(parts, ": ") + ": " + f.Problem + "; " + f.Remedy
}

// Report is a list of findings.
type Report struct {
	Findings []Finding `json:"findings"`
}

// Add adds a finding unless the report has an equal one.
func (r *Report) Add(pos Pos, object, key, problem, remedy string) {
	r.AddFinding(Finding{File: pos.File, Line: pos.Line, Object: object, Key: key, Problem: problem, Remedy: remedy})
}

// AddFinding adds a finding unless the report has an equal one.
func (r *Report) AddFinding(f Finding) {
	if !slices.Contains(r.Findings, f) {
		r.Findings = append(r.Findings, f)
	}
}

// OK reports whether there are no faults. Warnings are not faults. A nil report is
// OK.
func (r *Report) OK() bool {
	return r.Faults() == 0
}

// Faults returns the number of findings that are not warnings.
func (r *Report) Faults() int {
	if r == nil {
		return 0
	}
	n := 0
	for _, f := range r.Findings {
		if !f.Warning {
			n++
		}
	}
	return n
}

// Merge adds the findings of another report, which may be nil. Equal findings are
// added once.
func (r *Report) Merge(o *Report) {
	if o == nil {
		return
	}
	for _, f := range o.Findings {
		if !slices.Contains(r.Findings, f) {
			r.Findings = append(r.Findings, f)
		}
	}
}

// Sort orders the findings by file and line.
func (r *Report) Sort() {
	slices.SortStableFunc(r.Findings, func(a, b Finding) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
}

// Text returns one line for each finding.
func (r *Report) Text() string {
	if r == nil {
		return ""
	}
	var b strings.Builder
	for _, f := range r.Findings {
		b.WriteString(f.String())
		b.WriteByte('\n')
	}
	return b.String()
}

// JSON returns the report as indented JSON: {"findings": [...]}.
func (r *Report) JSON() ([]byte, error) {
	out := Report{Findings: []Finding{}}
	if r != nil && len(r.Findings) > 0 {
		out.Findings = r.Findings
	}
	return json.MarshalIndent(out, "", "  ")
}

// FindingsError is an error with the findings of a report.
type FindingsError struct {
	Report *Report
}

// Error returns the text of the report.
func (e *FindingsError) Error() string {
	return strings.TrimSuffix(e.Report.Text(), "\n")
}

// Err returns nil if there are no faults, and otherwise an error of kind
// invalid about the given object that wraps a FindingsError.
func (r *Report) Err(object string) error {
	if r.OK() {
		return nil
	}
	problem := fmt.Sprintf("%d faults", r.Faults())
	if r.Faults() == 1 {
		problem = "1 fault"
	}
	return apperr.Wrap(&FindingsError{Report: r}, apperr.KindInvalid, object, problem,
		"correct the listed faults")
}

// ReportOf returns the report of an error that Err returned, or nil for any other
// error.
func ReportOf(err error) *Report {
	var e *FindingsError
	if errors.As(err, &e) {
		return e.Report
	}
	return nil
}
