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

// Digest is the xxhash64, in hex, over all members of a normalized report.
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

// hashBuffer is what is hashed next: texts with their lengths, numbers in 8 bytes each.
type hashBuffer []byte

func (b *hashBuffer) flush(hash *xxhash.Digest) {
	hash.Write(*b)
	*b = (*b)[:0]
}

func (b *hashBuffer) text(all ...string) {
	for _, s := range all {
		*b = binary.LittleEndian.AppendUint64(*b, uint64(len(s)))
		*b = append(*b, s...)
	}
}

func (b *hashBuffer) numbers(all ...uint64) {
	for _, n := range all {
		*b = binary.LittleEndian.AppendUint64(*b, n)
	}
}

func (b *hashBuffer) rates(all ...float64) {
	for _, f := range all {
		b.numbers(math.Float64bits(f + 0)) // -0 and 0 are equal
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

func (b *hashBuffer) item(h *fleet.AppliedItem) {
	b.text(h.Key, h.Digest, h.ChangedBy, string(h.Body))
	b.numbers(uint64(h.SinceMS))
}

// compactBody takes the space out of an item's body, so that it is the same after it was sent.
func compactBody(body json.RawMessage) json.RawMessage {
	var out bytes.Buffer
	if len(body) == 0 || json.Compact(&out, body) != nil {
		return body
	}
	return out.Bytes()
}
