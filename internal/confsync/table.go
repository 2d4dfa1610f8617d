package confsync

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
)

// HeadKey is the key of the head row, which lists the parts of the accepted
// configuration.
const HeadKey = "config/head"

// VersionKey is the key of the row that holds only the accepted version. It is
// separate from the head row, which has 1.6 KB for an inventory of the target
// size, because every process that reads the table reads this row every one or
// two seconds.
const VersionKey = "config/version"

// versionRow is the value of the version row.
type versionRow struct {
	Version types.Version `json:"version"`
}

// DecodeVersion decodes the version row. It returns 0 if the row does not exist.
func DecodeVersion(r platform.Row) (types.Version, error) {
	if r.Revision == 0 {
		return 0, nil
	}
	var v versionRow
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return 0, fmt.Errorf("configuration version is malformed: %w", err)
	}
	return v.Version, nil
}

// PartKey returns the key of the row that holds a part's content.
func PartKey(name string) string { return "config/part/" + name }

// DecodeHead decodes the value of the head row.
func DecodeHead(value []byte) (config.Head, error) {
	var h config.Head
	if err := json.Unmarshal(value, &h); err != nil {
		return config.Head{}, fmt.Errorf("configuration head is malformed: %w", err)
	}
	return h, nil
}

// Load reads the accepted configuration from the table and puts it into effect
// if it is newer than the current one. It also records that the table answered,
// and confirms the accepted version as of when the read was sent.
func (s *Syncer) Load(ctx context.Context, table platform.Table) error {
	sent := s.now()
	rows, err := table.Get(ctx, VersionKey)
	if err != nil {
		return err
	}
	s.TableReached(sent)
	version, err := DecodeVersion(rows[0])
	if err != nil || version == 0 {
		return err
	}
	if version > s.Version() {
		return s.loadHead(ctx, table)
	}
	s.Confirm(sent, version)
	return nil
}

// loadHead reads the head and the parts that changed since the current version.
func (s *Syncer) loadHead(ctx context.Context, table platform.Table) error {
	sent := s.now()
	rows, err := table.Get(ctx, HeadKey)
	if err != nil {
		return err
	}
	head, err := DecodeHead(rows[0].Value)
	if err != nil {
		return err
	}
	if err := s.loadParts(ctx, table, head); err != nil {
		return err
	}
	s.Confirm(sent, head.Version)
	return nil
}

// loadParts reads the parts that changed since the current version. A part that
// has been replaced by a later change in the meantime has a different hash and is
// rejected; the next load reads the later head.
func (s *Syncer) loadParts(ctx context.Context, table platform.Table, head config.Head) error {
	d := config.Delta{From: s.Version(), Head: head}
	var keys []string
	var refs []config.Ref
	for _, ref := range head.Parts {
		if ref.Version > d.From {
			keys = append(keys, PartKey(ref.Name))
			refs = append(refs, ref)
		}
	}
	rows, err := table.Get(ctx, keys...)
	if err != nil {
		return err
	}
	for i, row := range rows {
		d.Parts = append(d.Parts, config.Part{Ref: refs[i], Body: row.Value})
	}
	return s.Apply(d)
}

// Accept commits, by compare-and-set, a configuration that was edited from the
// version base. It returns an error of kind conflict if another version has been
// accepted since base, an error of kind unavailable if the table cannot be read, in
// which case nothing was changed, and an error of kind uncertain if the change
// may or may not have been accepted. Other errors report rows that cannot be
// decoded.
func Accept(ctx context.Context, table platform.Table, base types.Version, next *config.Config) error {
	rows, err := table.Get(ctx, HeadKey)
	if err != nil {
		return errUnavailable(err)
	}
	accepted, err := acceptedVersion(rows[0])
	if err != nil {
		return err
	}
	if accepted != base {
		return errConflict(base, accepted)
	}
	txn, err := acceptTxn(rows[0].Revision, base, next)
	if err != nil {
		return err
	}
	result, err := table.Commit(ctx, txn)
	if err != nil {
		return verifyAccepted(ctx, table, next, err)
	}
	if !result.Committed {
		accepted, err := acceptedVersion(result.Rows[0])
		if err != nil {
			return err
		}
		return errConflict(base, accepted)
	}
	return nil
}

func acceptedVersion(r platform.Row) (types.Version, error) {
	if r.Revision == 0 {
		return 0, nil
	}
	head, err := DecodeHead(r.Value)
	return head.Version, err
}

func acceptTxn(revision uint64, base types.Version, next *config.Config) (platform.Txn, error) {
	head, err := json.Marshal(next.Head())
	if err != nil {
		return platform.Txn{}, err
	}
	version, err := json.Marshal(versionRow{Version: next.Version()})
	if err != nil {
		return platform.Txn{}, err
	}
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: HeadKey, Revision: revision}},
		Writes:     []platform.Write{{Key: HeadKey, Value: head}, {Key: VersionKey, Value: version}},
		Reads:      []string{HeadKey},
	}
	for _, p := range next.DeltaSince(base).Parts {
		txn.Writes = append(txn.Writes, platform.Write{Key: PartKey(p.Name), Value: p.Body})
	}
	return txn, nil
}

// verifyAccepted reads the head row back to determine whether a commit that
// returned an error took effect.
func verifyAccepted(ctx context.Context, table platform.Table, next *config.Config, cause error) error {
	rows, err := table.Get(ctx, HeadKey)
	if err != nil {
		return errUncertain(cause)
	}
	if rows[0].Revision == 0 {
		return errUncertain(cause)
	}
	head, err := DecodeHead(rows[0].Value)
	if err != nil {
		return err
	}
	if head.Version < next.Version() {
		// The commit may still take effect. Only a further change, such as the
		// operator applying again, makes its compare-and-set fail.
		return errUncertain(cause)
	}
	if head.Version == next.Version() && !sameRefs(head, next.Head()) {
		return errConflict(next.Version()-1, head.Version)
	}
	return nil
}

func sameRefs(a, b config.Head) bool {
	if len(a.Parts) != len(b.Parts) {
		return false
	}
	for i := range a.Parts {
		if a.Parts[i] != b.Parts[i] {
			return false
		}
	}
	return true
}

func errUnavailable(cause error) error {
	return apperr.Wrap(cause, apperr.KindUnavailable, "configuration", "the table does not answer, so no change can be accepted",
		"apply again when the table answers; the current configuration stays in effect")
}

func errUncertain(cause error) error {
	return apperr.Wrap(cause, apperr.KindUncertain, "configuration", "the answer of the table was lost; the change may have been accepted",
		"read the accepted version with `boragecrank config`, then apply again if it has not changed")
}

func errConflict(base, accepted types.Version) error {
	return apperr.New(apperr.KindConflict, "configuration",
		fmt.Sprintf("it was edited from version %d, but version %d has been accepted since", base, accepted),
		"read the accepted configuration with `boragecrank diff`, merge the edits, and apply again")
}
