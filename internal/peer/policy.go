package peer

// maySend reports whether a process of role may send a message of kind to
// another process.
func maySend(role Role, kind Kind) bool {
	switch kind {
	case KindCell:
		return role == RoleLead
	case KindSync:
		return role == RoleLead || role == RoleEntry || role == RoleOperator
	case KindLoad:
		return role == RoleEntry
	case KindRelay:
		return role == RoleEntry || role == RoleLead
	case KindReach:
		return role == RoleLead
	case KindStatus:
		return true
	}
	return false
}

// mayServe reports whether a process of role may respond to a message of kind.
// The caller checks it before it sends: an entry process whose address was
// mistaken for that of a lead process can't provide documents.
func mayServe(role Role, kind Kind) bool {
	switch kind {
	case KindCell, KindSync, KindLoad:
		return role == RoleLead
	case KindRelay:
		return role == RoleEntry || role == RoleLead
	case KindReach:
		return role == RoleLead
	case KindStatus:
		return role == RoleLead || role == RoleEntry
	}
	return false
}
