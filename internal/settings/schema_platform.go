package settings

import "citrontray.example/citrontray/internal/place"

// delegationFields returns the fields of delegations at both levels.
func delegationFields() []field[Delegation] {
	type row = Delegation
	return []field[row]{
		{"below", typeList, "paths that the credential may write, including all paths below them", "", true, listField(func(r *row) *[]Path { return &r.Below }, validSubtree)},
		{"credential", typeText, "sha256: and the hash, as citrontray credential prints it", "", true, hashField(func(r *row) *[32]byte { return &r.CredentialHash })},
	}
}

// validSubtree reports whether s is valid as the root of a delegated subtree.
func validSubtree(s string) bool {
	parts := Path(s).parts()
	if parts[0] != teamsRoot && parts[0] != platformRoot {
		return false
	}
	for _, p := range parts {
		if !validName(p) {
			return false
		}
	}
	return true
}

// delegationRows returns the delegations of both levels, shared by two kinds.
func delegationRows(s *Settings) *[]Delegation { return &s.Delegations }

func teamDelegationKind() kind {
	return &scoped[Delegation]{
		table: table[Delegation]{
			pathPattern: "teams/*/delegations/*",
			description: "An operator of a team: a credential that may write below some paths of the team.",
			fields:      delegationFields(),
			rows:        delegationRows,
			setNames:    func(r *Delegation, names []string) { r.Team, r.Operator = Team(names[0]), names[1] },
			rowNames:    func(r *Delegation) []string { return []string{string(r.Team), r.Operator} },
		},
		belongs: func(r *Delegation) bool { return r.Team != "" },
	}
}

func delegationKind() kind {
	return &scoped[Delegation]{
		table: table[Delegation]{
			pathPattern: "platform/delegations/*",
			description: "An operator of the platform: a credential that may write below some paths.",
			fields:      delegationFields(),
			rows:        delegationRows,
			setNames:    func(r *Delegation, names []string) { r.Operator = names[0] },
			rowNames:    func(r *Delegation) []string { return []string{r.Operator} },
		},
		belongs: func(r *Delegation) bool { return r.Team == "" },
	}
}

// scoped is a kind that shares its rows with other kinds; belongs selects its own.
type scoped[R any] struct {
	table[R]
	belongs func(*R) bool
}

// items implements kind.
func (k *scoped[R]) items(s *Settings) []Item {
	var out []Item
	rows := *k.rows(s)
	for i := range rows {
		if k.belongs(&rows[i]) {
			out = append(out, k.item(&rows[i]))
		}
	}
	return out
}

func drainFields() []field[Drain] {
	return []field[Drain]{
		{"reason", typeText, "reason, for other operators", "", true, textField(func(r *Drain) *string { return &r.Reason }, maxTextBytes)},
	}
}

func drainRows(s *Settings) *[]Drain { return &s.Drains }

func drainTargetKind() kind {
	return &scoped[Drain]{
		table: table[Drain]{
			pathPattern: "platform/drains/targets/*", fields: drainFields(), rows: drainRows,
			description: "A target that gets no new work; its shards are moved away.",
			setNames:    func(r *Drain, names []string) { r.Target = place.Target(names[0]) },
			rowNames:    func(r *Drain) []string { return []string{string(r.Target)} },
		},
		belongs: func(r *Drain) bool { return r.Target != "" },
	}
}

func drainZoneKind() kind {
	return &scoped[Drain]{
		table: table[Drain]{
			pathPattern: "platform/drains/zones/*", fields: drainFields(), rows: drainRows,
			description: "An availability zone whose targets get no new work.",
			setNames:    func(r *Drain, names []string) { r.Zone = place.Zone(names[0]) },
			rowNames:    func(r *Drain) []string { return []string{string(r.Zone)} },
		},
		belongs: func(r *Drain) bool { return r.Zone != "" },
	}
}

func lossFields() []field[Loss] {
	return []field[Loss]{
		{"by", typeText, "who declares it", "", true, textField(func(r *Loss) *string { return &r.By }, maxTextBytes)},
		{"reason", typeText, "how it was verified that it is off and stays off", "", true, textField(func(r *Loss) *string { return &r.Reason }, maxTextBytes)},
	}
}

func lossRows(s *Settings) *[]Loss { return &s.Losses }

func lossTargetKind() kind {
	return &scoped[Loss]{
		table: table[Loss]{
			pathPattern: "platform/losses/targets/*", fields: lossFields(), rows: lossRows,
			description: "A target declared lost: its shards get new owners at once. It must be switched off first.",
			setNames:    func(r *Loss, names []string) { r.Target = place.Target(names[0]) },
			rowNames:    func(r *Loss) []string { return []string{string(r.Target)} },
		},
		belongs: func(r *Loss) bool { return r.Target != "" },
	}
}

func lossHostKind() kind {
	return &scoped[Loss]{
		table: table[Loss]{
			pathPattern: "platform/losses/hosts/*", fields: lossFields(), rows: lossRows,
			description: "An entry host declared lost: it is assumed to renew no grants. It must be switched off first.",
			setNames:    func(r *Loss, names []string) { r.Host = place.Host(names[0]) },
			rowNames:    func(r *Loss) []string { return []string{string(r.Host)} },
		},
		belongs: func(r *Loss) bool { return r.Host != "" },
	}
}

func lossZoneKind() kind {
	return &scoped[Loss]{
		table: table[Loss]{
			pathPattern: "platform/losses/zones/*", fields: lossFields(), rows: lossRows,
			description: "An availability zone declared lost: other zones take its shards. The whole zone must be switched off or isolated permanently.",
			setNames:    func(r *Loss, names []string) { r.Zone = place.Zone(names[0]) },
			rowNames:    func(r *Loss) []string { return []string{string(r.Zone)} },
		},
		belongs: func(r *Loss) bool { return r.Zone != "" },
	}
}
