package quarantine

// DecisionPath is the URL path, at a daemon's admin address, to which operators post a
// decision on a request. Its actions are ActionLift and ActionForbid.
const DecisionPath = "/quarantine/{fingerprint}/{action}"

// The actions of DecisionPath.
const (
	ActionLift   = "lift"
	ActionForbid = "forbid"
)
