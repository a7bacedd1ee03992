package reportdelta

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"meadowsill/internal/fleet"
)

// Digest returns the xxhash64 of all members of a normalized report, in hex.
func Digest(r fleet.Report) string {
	hash := xxhash.New()
	b := make(hashBuffer, 0, 512)
	b.text(r.Node, r.Zone)
	b.numbers(r.Incarnation, r.Sequence, r.Revision, uint64(r.WindowMS), r.AppliedListVersion, flag(r.Ready), flag(r.Draining))
	b.text(r.AppliedRoot, r.ListRoot)
	b.numbers(uint64(len(r.Services)), uint64(len(r.Zones)), uint64(len(r.Tenants)), uint64(len(r.Applied)))
	b.text(r.Services...)
	b.flush(hash)
	for i := range r.Zones {
		b.zone(&r.Zones[i])
		b.flush(hash)
	}
	for i := range r.Tenants {
		b.tenant(&r.Tenants[i])
		b.flush(hash)
	}
	for i := range r.Applied {
		b.item(&r.Applied[i])
		b.flush(hash)
	}
	return fmt.Sprintf("%016x", hash.Sum64())
}

// hashBuffer collects the bytes to hash next: each text preceded by its length, each number in 8 bytes.
type hashBuffer []byte

func (b *hashBuffer) flush(hash *xxhash.Digest) {
	hash.Write(*b)
	*b = (*b)[:0]
}

func (b *hashBuffer) text(texts ...string) {
	for _, s := range texts {
		*b = binary.LittleEndian.AppendUint64(*b, uint64(len(s)))
		*b = append(*b, s...)
	}
}

func (b *hashBuffer) numbers(values ...uint64) {
	for _, n := range values {
		*b = binary.LittleEndian.AppendUint64(*b, n)
	}
}

func (b *hashBuffer) rates(values ...float64) {
	for _, f := range values {
		b.numbers(math.Float64bits(f + 0)) // adding 0 makes -0 equal to 0
	}
}

func flag(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}

func (b *hashBuffer) zone(z *fleet.ZoneEvidence) {
	b.text(z.Zone)
	b.numbers(uint64(z.Attempts), uint64(z.Lost), uint64(z.Servers), uint64(z.LostServers), uint64(z.Answered), uint64(z.Listed), uint64(z.Started))
	b.rates(z.Rate)
}

func (b *hashBuffer) tenant(t *fleet.TenantAck) {
	b.text(t.Name, t.Digest, t.RejectReason)
	b.numbers(t.UID, t.Committed, t.Staged, uint64(t.Open))
	b.rates(t.Offered, t.Admitted, t.Rate)
}

func (b *hashBuffer) item(a *fleet.AppliedItem) {
	b.text(a.Key, a.Digest, a.ChangedBy, string(a.Body))
	b.numbers(uint64(a.SinceMS))
}

// compactBody removes insignificant space from an item's body, so that the body is the same before and after encoding.
func compactBody(body json.RawMessage) json.RawMessage {
	var out bytes.Buffer
	if len(body) == 0 || json.Compact(&out, body) != nil {
		return body
	}
	return out.Bytes()
}
