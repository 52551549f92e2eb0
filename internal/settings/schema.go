package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// Limits of values.
const (
	maxShards      = 1 << 16
	maxSlots       = 1 << 12
	maxConnections = 1 << 16
	maxMoves       = 6000 // per minute and zone
	maxPercent     = 1000
	maxBodyBytes   = 64 << 20
	maxRate        = 1e7 // requests per second; also bounds bursts and concurrency
	maxTextBytes   = 256
	minTimeout     = 10 * time.Millisecond
	maxTimeout     = 10 * time.Minute
	maxHold        = 30 * 24 * time.Hour
	// minHold exceeds the time of a call to a slow store. Leaders renew their
	// leases by such calls, so a shorter hold would stop service while the store
	// is merely slow.
	minHold   = 20 * time.Second
	maxWarmUp = time.Hour
)

// kinds lists all kinds of settings, in the order of the reference page.
var kinds = []kind{
	serviceKind(), routeKind(), callerKind(), limitKind(),
	teamDelegationKind(), delegationKind(),
	drainTargetKind(), drainZoneKind(),
	lossTargetKind(), lossHostKind(), lossZoneKind(),
}

func serviceKind() kind {
	type row = Service
	return &table[row]{
		pathPattern: "teams/*/services/*",
		description: "A service with its own key space. Its targets are those in the platform's fleet list and those in targets.",
		rows:        func(s *Settings) *[]row { return &s.Services },
		setNames:    func(r *row, names []string) { r.Team, r.Name = Team(names[0]), key.Service(names[1]) },
		rowNames:    func(r *row) []string { return []string{string(r.Team), string(r.Name)} },
		fields: []field[row]{
			{"shards", typeCount, "number of shards of the key space, a power of two; cannot be changed for an existing service", "1024", false, intField(func(r *row) *key.ShardCount { return &r.Shards }, 1, maxShards)},
			{"zones", typeList, "availability zones that may own shards", "", true, listField(func(r *row) *[]place.Zone { return &r.Zones }, validName)},
			{"targets", typeList, "targets that are missing from the platform's fleet list, each as name zone IP:port", "", false, targetListField()},
			{"slots", typeCount, "concurrent requests per target", "3", false, intField(func(r *row) *int { return &r.Slots }, 1, maxSlots)},
			{"connections", typeCount, "connections per target, summed over all entry hosts", "110", false, intField(func(r *row) *int { return &r.Connections }, 1, maxConnections)},
			{"terms", typeBool, "whether the targets reject orders of prior leaders", "true", false, boolField(func(r *row) *bool { return &r.ChecksTerms })},
			{"hold", typeDuration, "how long a zone serves without the store; with forever it keeps serving, and an operator must declare a lost zone", forever, false, holdField()},
			{"moves", typeCount, "maximum number of planned shard moves per minute and zone", "60", false, intField(func(r *row) *int { return &r.MovesPerMinute }, 0, maxMoves)},
			{"imbalance", typePercent, "maximum load of the busiest target above the mean before shards are moved", "20", false, intField(func(r *row) *int { return &r.ImbalancePercent }, 1, maxPercent)},
			{"warm", typeDuration, "warm-up time of a new target, during which its load is ramped up", "10s", false, durationField(func(r *row) *time.Duration { return &r.WarmUp }, time.Millisecond, maxWarmUp)},
			{"body", typeBytes, "maximum body size of a request or a response", "1048576", false, intField(func(r *row) *int64 { return &r.BodyBytes }, 1, maxBodyBytes)},
			{"shares", typeList, "other teams that may route to the service, each as team=key prefix", "", false, shareListField()},
		},
	}
}

func targetListField() textCodec[Service] {
	read := func(r *Service, values []string) error {
		r.Targets = nil
		for _, v := range values {
			parts := strings.Fields(v)
			if len(parts) != 3 || !validName(parts[0]) || !validName(parts[1]) {
				return errors.New(`contains a target that is not "name zone IP:port"`)
			}
			addr, err := netip.ParseAddrPort(parts[2])
			if err != nil {
				return errors.New("contains a target without a valid IP:port")
			}
			r.Targets = append(r.Targets, ServiceTarget{place.Target(parts[0]), place.Zone(parts[1]), addr})
		}
		return nil
	}
	show := func(r *Service) []string {
		out := make([]string, 0, len(r.Targets))
		for _, t := range r.Targets {
			out = append(out, string(t.Target)+" "+string(t.Zone)+" "+t.Addr.String())
		}
		return out
	}
	return textCodec[Service]{read, show}
}

func shareListField() textCodec[Service] {
	read := func(r *Service, values []string) error {
		r.Shares = nil
		for _, v := range values {
			team, prefix, ok := strings.Cut(v, "=")
			if !ok || !validName(team) || len(prefix) > maxTextBytes {
				return errors.New("contains a share that is not team=prefix")
			}
			r.Shares = append(r.Shares, Share{Team(team), prefix})
		}
		return nil
	}
	show := func(r *Service) []string {
		out := make([]string, 0, len(r.Shares))
		for _, s := range r.Shares {
			out = append(out, string(s.Team)+"="+s.Prefix)
		}
		return out
	}
	return textCodec[Service]{read, show}
}

func routeKind() kind {
	type row = Route
	return &table[row]{
		pathPattern: "teams/*/routes/*",
		description: "A route maps requests of callers to a service.",
		rows:        func(s *Settings) *[]row { return &s.Routes },
		setNames:    func(r *row, names []string) { r.Team, r.Name = Team(names[0]), names[1] },
		rowNames:    func(r *row) []string { return []string{string(r.Team), r.Name} },
		fields: []field[row]{
			{"service", typeText, "name of the service", "", true, textField(func(r *row) *key.Service { return &r.Service }, maxNameBytes)},
			{"callers", typeList, "callers of the same team that may use the route", "", true, listField(func(r *row) *[]Caller { return &r.Callers }, validName)},
			{"methods", typeList, "HTTP methods", "", true, listField(func(r *row) *[]string { return &r.Methods }, validMethod)},
			{"path", typeText, "pattern of the URL path, such as /balance/{key}", "", true, textField(func(r *row) *string { return &r.Path }, maxTextBytes)},
			{"source", typeText, "part of the request that holds the key: path, query or header", "path", false, enumField(func(r *row) *KeySource { return &r.KeySource }, KeyInPath, KeyInQuery, KeyInHeader)},
			{"key", typeText, "name of the path segment, query parameter or header", "key", false, textField(func(r *row) *string { return &r.KeyName }, maxNameBytes)},
			{"prefix", typeText, "prefix of all keys that the route accepts", "", false, textField(func(r *row) *string { return &r.KeyPrefix }, maxTextBytes)},
			{"class", typeText, "interactive, registering or bulk", "", true, enumField(func(r *row) *Class { return &r.Class }, Interactive, Registering, Bulk)},
			{"idempotent", typeBool, "whether a request may run again; false for work that must run at most once", "false", false, boolField(func(r *row) *bool { return &r.Idempotent })},
			{"timeout", typeDuration, "maximum time of a request, queueing included", "10s", false, durationField(func(r *row) *time.Duration { return &r.Timeout }, minTimeout, maxTimeout)},
		},
	}
}

func callerKind() kind {
	type row = CallerRow
	return &table[row]{
		pathPattern: "teams/*/callers/*",
		description: "A caller with the hash of its bearer credential. Caller names are unique in the deployment.",
		rows:        func(s *Settings) *[]row { return &s.Callers },
		setNames:    func(r *row, names []string) { r.Team, r.Name = Team(names[0]), Caller(names[1]) },
		rowNames:    func(r *row) []string { return []string{string(r.Team), string(r.Name)} },
		fields: []field[row]{
			{"tenant", typeText, "callers of one tenant may see the same data", "", true, textField(func(r *row) *Tenant { return &r.Tenant }, maxNameBytes)},
			{"credential", typeText, "sha256: and the hash, as citrontray credential prints it", "", true, hashField(func(r *row) *[32]byte { return &r.CredentialHash })},
		},
	}
}

func limitKind() kind {
	type row = Limit
	return &table[row]{
		pathPattern: "teams/*/limits/*/*",
		description: "A limit on the requests of one caller in one class; the path ends in caller/class.",
		rows:        func(s *Settings) *[]row { return &s.Limits },
		setNames: func(r *row, names []string) {
			r.Team, r.Caller, r.Class = Team(names[0]), Caller(names[1]), Class(names[2])
		},
		rowNames: func(r *row) []string { return []string{string(r.Team), string(r.Caller), string(r.Class)} },
		fields: []field[row]{
			{"rate", typeRate, "requests per second, over all hosts", "", true, floatField(func(r *row) *float64 { return &r.PerSecond }, maxRate)},
			{"burst", typeCount, "burst size: requests above the rate that are accepted at once", "100", false, intField(func(r *row) *int { return &r.Burst }, 1, maxRate)},
			{"concurrent", typeCount, "requests in flight on one host", "1000", false, intField(func(r *row) *int { return &r.Concurrent }, 1, maxRate)},
		},
	}
}

// validMethod reports whether s is an HTTP method that routes may list.
func validMethod(s string) bool {
	switch s {
	case "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE":
		return true
	}
	return false
}

// holdField returns the codec of Service.Hold.
func holdField() textCodec[Service] {
	codec := durationField(func(r *Service) *time.Duration { return &r.Hold }, 0, maxHold)
	read := codec.parse
	codec.parse = func(row *Service, values []string) error {
		if err := read(row, values); err != nil {
			return err
		}
		if row.Hold != 0 && row.Hold < minHold {
			return fmt.Errorf("is neither %s nor at least %v; a shorter hold would stop service while the store is merely slow", forever, minHold)
		}
		return nil
	}
	return codec
}
