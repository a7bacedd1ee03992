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

// The durable copy is a log: a line that names the format, a base with every item, then the differences since, each a
// record. A record is a line with the length of its body, the body's xxhash64 and a checksum of the line itself, then
// the body, a line of JSON. As the line has its own checksum, a damaged length is never taken for a record that
// was cut short at the end of the file.
const (
	logFormat    = "fleet-intent 2\n"
	recordPrefix = "%08x %016x"
	recordHead   = len("00000000 0000000000000000 00000000\n")
)

// baseRecord is the body of the first record: every item of a scope.
type baseRecord struct {
	Node     string   `json:"node"`
	Services []string `json:"services"` // the scope; none: every service
	// Incomplete: the scope had more services since, of which nothing has been read.
	Incomplete bool         `json:"incomplete,omitempty"`
	Revision   uint64       `json:"revision"`
	Items      []fleet.Item `json:"items"`
}

// differenceRecord is the body of each further record: the items that changed after Since, up to Revision. Since is the
// revision of the record before, so that a lost, repeated or reordered record is noticed.
type differenceRecord struct {
	Since    uint64       `json:"since"`
	Revision uint64       `json:"revision"`
	Items    []fleet.Item `json:"items"`
}

// errTruncatedRecord is met at the end of a log whose last record was not written to its end.
var errTruncatedRecord = errors.New("copy: the last record is cut short")

// appendRecord adds a record to a log.
func appendRecord(log []byte, record any) ([]byte, error) {
	body, err := json.Marshal(record)
	if err != nil {
		return nil, err
	}
	body = append(body, '\n')
	log = append(log, recordLine(uint32(len(body)), xxhash.Sum64(body))...)
	return append(log, body...), nil
}

// recordLine is the line before a body of a length and a checksum.
func recordLine(length uint32, sum uint64) string {
	prefix := fmt.Sprintf(recordPrefix, length, sum)
	return fmt.Sprintf("%s %08x\n", prefix, uint32(xxhash.Sum64String(prefix)))
}

// encodeBase returns a file that holds a base alone.
func encodeBase(base baseRecord) ([]byte, error) {
	raw, err := appendRecord([]byte(logFormat), base)
	if err == nil && len(raw) > maxBaseBytes {
		err = fmt.Errorf("copy: %d bytes, at most %d", len(raw), maxBaseBytes)
	}
	return raw, err
}

// nextRecord reads the record that a log begins with into record and gives the rest. The error is errTruncatedRecord where
// the log ends before the record does; any other means damage.
func nextRecord(log []byte, record any) (rest []byte, err error) {
	if len(log) < recordHead {
		return nil, errTruncatedRecord
	}
	line := string(log[:recordHead])
	var length uint32
	var sum uint64
	if _, err := fmt.Sscanf(line, recordPrefix, &length, &sum); err != nil || line != recordLine(length, sum) {
		return nil, errors.New("copy: a record's line is damaged")
	}
	log = log[recordHead:]
	if uint64(len(log)) < uint64(length) {
		return nil, errTruncatedRecord
	}
	body := log[:length]
	if got := xxhash.Sum64(body); got != sum {
		return nil, fmt.Errorf("copy: a record's checksum is %016x, its body has %016x", sum, got)
	}
	if err := unmarshalStrict(body, record); err != nil {
		return nil, err
	}
	return log[length:], nil
}

// unmarshalStrict reads JSON that is UTF-8 throughout, also where a body is kept as it is.
func unmarshalStrict(body []byte, value any) error {
	if !utf8.Valid(body) {
		return errors.New("copy: not UTF-8")
	}
	if err := json.Unmarshal(body, value); err != nil {
		return fmt.Errorf("copy: %w", err)
	}
	return nil
}

// storedCopy is what a file of a durable copy holds.
type storedCopy struct {
	copy       *IntentCopy
	services   []string // the scope that it is of; none: every service
	incomplete bool     // services of the scope are missing: a complete read is due
	baseSize   int64    // bytes up to the end of the base
	truncated  bool     // a last record that was cut short has been left out
	oldFormat  bool     // it is of the format before the log
}

// decodeCopy reads the file of a durable copy, of this format or the one before. One that is damaged, of another node or of
// another kind is an error; nothing of it is used. A last record that is cut short is left out: nobody
// has been promised what it holds, as a record counts only once all of it is on disk.
func decodeCopy(raw []byte, node string) (storedCopy, error) {
	if len(raw) > maxFileBytes {
		return storedCopy{}, fmt.Errorf("copy: %d bytes, at most %d", len(raw), maxFileBytes)
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

// decodeBase reads the first record of a log. It is written before the file has its name, so it is never cut short.
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

// newStoredCopy makes a copy of the items of a base.
func newStoredCopy(base baseRecord, node string) (storedCopy, error) {
	if base.Node != node {
		return storedCopy{}, fmt.Errorf("copy: of node %q, this is %q", base.Node, node)
	}
	if err := checkItems(base.Items, 0, base.Revision); err != nil {
		return storedCopy{}, err
	}
	stored := storedCopy{copy: &IntentCopy{}, services: base.Services, incomplete: base.Incomplete}
	_, err := stored.copy.Apply(fleet.Intent{Revision: base.Revision, Full: true, Items: base.Items})
	return stored, err
}

// applyRecord takes the difference that a log begins with into the copy and gives the rest of the log.
func (s *storedCopy) applyRecord(log []byte) (rest []byte, err error) {
	var difference differenceRecord
	if rest, err = nextRecord(log, &difference); err != nil {
		return nil, err
	}
	if difference.Since != s.copy.Revision || difference.Revision <= difference.Since {
		return nil, fmt.Errorf("copy: a difference from revision %d to %d follows revision %d", difference.Since, difference.Revision, s.copy.Revision)
	}
	if err := checkItems(difference.Items, difference.Since, difference.Revision); err != nil {
		return nil, err
	}
	_, err = s.copy.Apply(fleet.Intent{Revision: difference.Revision, Items: difference.Items})
	return rest, err
}

// checkItems reads items through: each once, and of a revision above since, up to revision.
func checkItems(items []fleet.Item, since, revision uint64) error {
	seen := make(map[string]bool, len(items))
	for i := range items {
		item := &items[i]
		if err := item.Check(); err != nil {
			return fmt.Errorf("copy: items[%d]: %w", i, err)
		}
		if item.Revision <= since || item.Revision > revision {
			return fmt.Errorf("copy: %s: revision %d is not above %d, up to %d", item.Key, item.Revision, since, revision)
		}
		if seen[item.Key] {
			return fmt.Errorf("copy: %s twice", item.Key)
		}
		seen[item.Key] = true
	}
	return nil
}

// oldFormatLine is the first line of the format before the log: the copy's revision and the checksum of its one body.
const oldFormatLine = "fleet-intent 1 %d %016x\n"

// decodeOldFormat reads the format before the log. It has no scope: it holds every service.
func decodeOldFormat(raw []byte, node string) (storedCopy, error) {
	line, body, _ := bytes.Cut(raw, []byte("\n"))
	var revision, sum uint64
	if _, err := fmt.Sscanf(string(line)+"\n", oldFormatLine, &revision, &sum); err != nil {
		return storedCopy{}, errors.New("copy: its first line is not a copy's")
	}
	if got := xxhash.Sum64(body); got != sum {
		return storedCopy{}, fmt.Errorf("copy: checksum %016x, its body has %016x", sum, got)
	}
	var base baseRecord
	if err := unmarshalStrict(body, &base); err != nil {
		return storedCopy{}, err
	}
	if base.Revision != revision {
		return storedCopy{}, fmt.Errorf("copy: of revision %d, the line says %d", base.Revision, revision)
	}
	base.Services, base.Incomplete = nil, false
	stored, err := newStoredCopy(base, node)
	stored.baseSize, stored.oldFormat = int64(len(raw)), true
	return stored, err
}
