package gossip

import (
	"fmt"
	"strings"

	"cinderroad/internal/shared/membership"
)

// nameSeparator separates the node from the role in a member's name.
const nameSeparator = "/"

// memberName returns the name of a process. A name that is too long is replaced by a hash of the node and the name's
// end.
func memberName(node string, role Role) string {
	name := node + nameSeparator + string(role)
	if len(name) <= maxNameLength {
		return name
	}
	return fmt.Sprintf("%016x", membership.Key(node)) + name[len(name)-maxNameLength+16:]
}

// nodeName returns the node in a member's name.
func nodeName(member string) string {
	if i := strings.LastIndex(member, nameSeparator); i >= 0 {
		return member[:i]
	}
	return member
}

// roleOf returns the role in a member's name.
func roleOf(member string) Role { return Role(member[strings.LastIndex(member, nameSeparator)+1:]) }
