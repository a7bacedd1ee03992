package agent

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"meadowsill/internal/fleet"
)

// The durable copy is a log: a line that names the format, a base with every item, then the deltas since the base. The base and
// each delta are a record. A record is a header line and a body. The header has the length of the body, the body's xxhash64 and a
// checksum of the header itself; the body is a line of JSON. Because the header has its own checksum, a record with a damaged length
// is never mistaken for one that was truncated at the end of the file.
const (
	logFormat          = "fleet-intent 2\n"
	recordHeaderFormat = "%08x %016x"
	recordHeaderSize   = len("00000000 0000000000000000 00000000\n")
)

// baseRecord is the body of the first record: every item of a scope.
type baseRecord struct {
	Node     string   `json:"node"`
	Services []string `json:"services"` // the scope; empty: every service
	// Incomplete is set if services were added to the scope after the base and none of their items has been read.
	Incomplete bool         `json:"incomplete,omitempty"`
	Revision   uint64       `json:"revision"`
	Items      []fleet.Item `json:"items"`
}

// differenceRecord is the body of each further record: the items that changed after Since, up to Revision. Since is the
// revision of the preceding record, so that a lost, repeated or reordered record is detected.
type differenceRecord struct {
	Since    uint64       `json:"since"`
	Revision uint64       `json:"revision"`
	Items    []fleet.Item `json:"items"`
}

// errTruncatedRecord reports that the log ends before its last record is complete.
var errTruncatedRecord = errors.New("copy: the last record is truncated")

// appendRecord appends a record to a log.
func appendRecord(log []byte, record any) ([]byte, error) {
	body, err := json.Marshal(record)
	if err != nil {
		return nil, err
	}
	body = append(body, '\n')
	log = append(log, recordHeader(uint32(len(body)), xxhash.Sum64(body))...)
	return append(log, body...), nil
}

// recordHeader returns the header line for a body with a length and a checksum.
func recordHeader(length uint32, sum uint64) string {
	prefix := fmt.Sprintf(recordHeaderFormat, length, sum)
	return fmt.Sprintf("%s %08x\n", prefix, uint32(xxhash.Sum64String(prefix)))
}

// encodeBase returns the content of a file that holds only a base.
func encodeBase(base baseRecord) ([]byte, error) {
	raw, err := appendRecord([]byte(logFormat), base)
	if err == nil && len(raw) > maxBaseBytes {
		err = fmt.Errorf("copy: %d bytes, at most %d are allowed", len(raw), maxBaseBytes)
	}
	return raw, err
}

// nextRecord decodes the first record of log into record and returns the rest of the log. The error is errTruncatedRecord if
// the log ends before the record does; any other error means that the log is damaged.
func nextRecord(log []byte, record any) (rest []byte, err error) {
	if len(log) < recordHeaderSize {
		return nil, errTruncatedRecord
	}
	header := string(log[:recordHeaderSize])
	var length uint32
	var sum uint64
	if _, err := fmt.Sscanf(header, recordHeaderFormat, &length, &sum); err != nil || header != recordHeader(length, sum) {
		return nil, errors.New("copy: damaged record header")
	}
	log = log[recordHeaderSize:]
	if uint64(len(log)) < uint64(length) {
		return nil, errTruncatedRecord
	}
	body := log[:length]
	if got := xxhash.Sum64(body); got != sum {
		return nil, fmt.Errorf("copy: record has checksum %016x, its body has %016x", sum, got)
	}
	if err := unmarshalStrict(body, record); err != nil {
		return nil, err
	}
	return log[length:], nil
}

// unmarshalStrict decodes JSON and requires valid UTF-8 throughout, also in a raw message that is kept as it is.
func unmarshalStrict(body []byte, value any) error {
	if !utf8.Valid(body) {
		return errors.New("copy: not UTF-8")
	}
	if err := json.Unmarshal(body, value); err != nil {
		return fmt.Errorf("copy: %w", err)
	}
	return nil
}

// storedCopy is the decoded file of a durable copy.
type storedCopy struct {
	copy       *IntentCopy
	services   []string // the scope of the copy; empty: every service
	incomplete bool     // services of the scope are missing, so a complete read is needed
	baseSize   int64    // bytes up to the end of the base
	truncated  bool     // a truncated last record was dropped
	oldFormat  bool     // the file has the format that preceded the log
}

// decodeCopy decodes the file of a durable copy, in this format or the previous one. A file that is damaged, of another node or of
// another kind is an error, and none of it is used. A truncated last record is dropped: nothing depends on its content yet, because a
// record counts as saved only once all of it is on disk.
func decodeCopy(raw []byte, node string) (storedCopy, error) {
	if len(raw) > maxFileBytes {
		return storedCopy{}, fmt.Errorf("copy: %d bytes, at most %d are allowed", len(raw), maxFileBytes)
	}
	log, ok := bytes.CutPrefix(raw, []byte(logFormat))
	if !ok {
		return decodeOldFormat(raw, node)
	}
	stored, log, err := decodeBase(log, node)
	if err != nil {
		return storedCopy{}, err
	}
	stored.baseSize = int64(len(raw) - len(log))
	for len(log) > 0 {
		rest, err := stored.applyRecord(log)
		if errors.Is(err, errTruncatedRecord) {
			stored.truncated = true
			break
		}
		if err != nil {
			return storedCopy{}, err
		}
		log = rest
	}
	return stored, nil
}

// decodeBase decodes the first record of a log. It is never truncated, because it is written before the file gets its name.
func decodeBase(log []byte, node string) (storedCopy, []byte, error) {
	var base baseRecord
	rest, err := nextRecord(log, &base)
	if err != nil {
		return storedCopy{}, nil, err
	}
	if err := fleet.ValidScope(base.Services); err != nil {
		return storedCopy{}, nil, fmt.Errorf("copy: %w", err)
	}
	stored, err := newStoredCopy(base, node)
	return stored, rest, err
}

// newStoredCopy returns a copy of the items of a base.
func newStoredCopy(base baseRecord, node string) (storedCopy, error) {
	if base.Node != node {
		return storedCopy{}, fmt.Errorf("copy: belongs to node %q, this is node %q", base.Node, node)
	}
	if err := checkItems(base.Items, 0, base.Revision); err != nil {
		return storedCopy{}, err
	}
	stored := storedCopy{copy: &IntentCopy{}, services: base.Services, incomplete: base.Incomplete}
	_, err := stored.copy.Apply(fleet.Intent{Revision: base.Revision, Full: true, Items: base.Items})
	return stored, err
}

// applyRecord applies the first record of log, a delta, to the copy and returns the rest of the log.
func (s *storedCopy) applyRecord(log []byte) (rest []byte, err error) {
	var delta differenceRecord
	if rest, err = nextRecord(log, &delta); err != nil {
		return nil, err
	}
	if delta.Since != s.copy.Revision || delta.Revision <= delta.Since {
		return nil, fmt.Errorf("copy: a delta from revision %d to %d follows revision %d", delta.Since, delta.Revision, s.copy.Revision)
	}
	if err := checkItems(delta.Items, delta.Since, delta.Revision); err != nil {
		return nil, err
	}
	_, err = s.copy.Apply(fleet.Intent{Revision: delta.Revision, Items: delta.Items})
	return rest, err
}

// checkItems checks that each item is valid and has a revision above since, up to revision, and that each key occurs once.
func checkItems(items []fleet.Item, since, revision uint64) error {
	seen := make(map[string]bool, len(items))
	for i := range items {
		item := &items[i]
		if err := item.Check(); err != nil {
			return fmt.Errorf("copy: items[%d]: %w", i, err)
		}
		if item.Revision <= since || item.Revision > revision {
			return fmt.Errorf("copy: %s: revision %d is not above %d and up to %d", item.Key, item.Revision, since, revision)
		}
		if seen[item.Key] {
			return fmt.Errorf("copy: %s occurs twice", item.Key)
		}
		seen[item.Key] = true
	}
	return nil
}

// oldFormatLine is the first line of the format that preceded the log: the copy's revision and the checksum of its single body.
const oldFormatLine = "fleet-intent 1 %d %016x\n"

// decodeOldFormat decodes the format that preceded the log. A file in it has no scope and holds every service.
func decodeOldFormat(raw []byte, node string) (storedCopy, error) {
	line, body, _ := bytes.Cut(raw, []byte("\n"))
	var revision, sum uint64
	if _, err := fmt.Sscanf(string(line)+"\n", oldFormatLine, &revision, &sum); err != nil {
		return storedCopy{}, errors.New("copy: the first line has no known format")
	}
	if got := xxhash.Sum64(body); got != sum {
		return storedCopy{}, fmt.Errorf("copy: first line has checksum %016x, the body has %016x", sum, got)
	}
	var base baseRecord
	if err := unmarshalStrict(body, &base); err != nil {
		return storedCopy{}, err
	}
	if base.Revision != revision {
		return storedCopy{}, fmt.Errorf("copy: body has revision %d, the first line has %d", base.Revision, revision)
	}
	base.Services, base.Incomplete = nil, false
	stored, err := newStoredCopy(base, node)
	stored.baseSize, stored.oldFormat = int64(len(raw)), true
	return stored, err
}
