package agentclient

import (
	"hash/fnv"
	"io"
	"strconv"
	"strings"

	"meadowsill/policy"
)

// ServerID derives the module's numeric server id from a name. It is the same at every node because the module orders
// servers by it. For a name with eight hex digits after its first hyphen it is their value, for other names a hash.
func ServerID(name string) policy.ServerID {
	if _, digits, ok := strings.Cut(name, "-"); ok && len(digits) == 8 {
		if v, err := strconv.ParseUint(digits, 16, 32); err == nil {
			return policy.ServerID(v)
		}
	}
	h := fnv.New32a()
	io.WriteString(h, name)
	return policy.ServerID(h.Sum32())
}
