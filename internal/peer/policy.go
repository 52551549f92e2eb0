package peer

// asks reports whether a process of role may send a message of kind to
// another process.
func asks(role Role, kind Kind) bool {
	switch kind {
	case KindCell:
		return role == RoleLead
	case KindSpread:
		return role == RoleLead || role == RoleEntry || role == RoleOperator
	case KindLoad, KindWork:
		return role == RoleEntry
	case KindStatus:
		return true
	}
	return false
}

// answers reports whether a process of role may answer a message of kind. The
// caller checks it before it sends: an entry whose address was given to a lead
// by mistake can't hand out documents.
func answers(role Role, kind Kind) bool {
	switch kind {
	case KindCell, KindSpread, KindLoad:
		return role == RoleLead
	case KindWork:
		return role == RoleEntry
	case KindStatus:
		return role == RoleLead || role == RoleEntry
	}
	return false
}
