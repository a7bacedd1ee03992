package agentclient

import (
	"hash/fnv"
	"io"
	"strconv"
	"strings"

	"meadowsill/policy"
)

// ServerID makes the module's number of a name, the same at every node: the module's order of servers hangs on
// it. Names that end in eight hex digits hold it; of others it is a hash.
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
